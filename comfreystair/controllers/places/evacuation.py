"""Availability zones that operators have evacuated.

Targets of an evacuated zone must get no more requests within a bound that
counts from the operators' request. An instance does not know when that request
was made, only when the zone was last proved not to be evacuated: the request
came later, so the bound counted from that proof ends too early, never too
late.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from comfreystair.controllers.store_position import ABSENT, StorePosition

# Subtracted from the bound: what was sent before its end must arrive in time.
_MARGIN_SECONDS: Final = 0.4
_NEVER: Final = float('-inf')


class ZoneEvacuation(NamedTuple):
    """What is known of the evacuation of one availability zone.

    :param position: position in the store of the operators' request.
    :param is_requested: the zone is evacuated.
    """

    position: StorePosition = ABSENT
    is_requested: bool = False


class _ZoneState(NamedTuple):
    """The known evacuation with its times on this instance's clock.

    :param proved_at: when the newest read that proved it was sent.
    :param learned_at: when it became known here.
    :param free_at: when the newest read was sent that proved that the zone was
        not evacuated.
    """

    known: ZoneEvacuation = ZoneEvacuation()
    proved_at: float = _NEVER
    learned_at: float = _NEVER
    free_at: float = _NEVER


class Evacuations:
    """Evacuated availability zones, each with the age of that knowledge."""

    def __init__(
        self, zones: Iterable[str] = (), bound_seconds: float = 0
    ) -> None:
        """Start without knowledge: no zone counts as evacuated.

        :param zones: that can be evacuated; none where operators don't do so.
        :param bound_seconds: within which time after the operators' request
            the last request must have reached a target of the zone.
        """
        self._states = {zone: _ZoneState() for zone in zones}
        self._send_seconds = bound_seconds - _MARGIN_SECONDS

    @property
    def known(self) -> dict[str, ZoneEvacuation]:
        """Return what is known of each zone that can be evacuated."""
        return {zone: state.known for zone, state in self._states.items()}

    @property
    def evacuated(self) -> list[str]:
        """Return the evacuated zones."""
        return [
            zone
            for zone, state in self._states.items()
            if state.known.is_requested
        ]

    def find_proof_age(self, zone: str, now: float) -> float:
        """Return the age of the newest proof about a zone, in seconds."""
        return now - self._states[zone].proved_at

    def update(
        self, zone: str, found: ZoneEvacuation, asked_at: float, now: float
    ) -> bool:
        """Apply what a read of the store found.

        The answers of two reads may arrive in another order than they were
        given. An evacuation therefore ends only by a read that was sent after
        it became known here.

        :param asked_at: when the read was sent.
        :returns: whether the zone's evacuation has begun or ended.
        """
        state = self._states.get(zone)
        if state is None or _is_outdated(state, found, asked_at):
            return False
        is_change = state.known.is_requested != found.is_requested
        self._states[zone] = _ZoneState(
            found,
            max(state.proved_at, asked_at),
            now if is_change else state.learned_at,
            state.free_at if found.is_requested else asked_at,
        )
        return is_change

    def is_evacuated(self, zone: str) -> bool:
        """Tell whether a zone's targets get no new reads."""
        state = self._states.get(zone)
        return state is not None and state.known.is_requested

    def may_send(self, zone: str, now: float) -> bool:
        """Tell whether a request may still be sent to a target of a zone.

        True for a while after a zone has been evacuated, for what only its
        targets can run until another one leads or a transaction has ended.
        """
        state = self._states.get(zone)
        if state is None or not state.known.is_requested:
            return True
        return now < state.free_at + self._send_seconds


def _is_outdated(
    state: _ZoneState, found: ZoneEvacuation, asked_at: float
) -> bool:
    """Tell whether a read may have seen an older state than the known one."""
    if state.known.is_requested == found.is_requested:
        return asked_at < state.proved_at
    if found.is_requested:
        return asked_at < state.free_at
    return asked_at <= state.learned_at
