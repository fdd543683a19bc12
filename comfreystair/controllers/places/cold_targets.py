"""Limit the requests that reach a target while it is cold.

A target is slow for some time after its start. While it is cold, the keepers
of the rate limits hold a token bucket for it, and a request is only sent with
a token. The bounds hold over the whole fleet: tokens leave a bucket before
they are granted, and none is used after it has expired.
"""

from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from comfreystair.controllers.membership import rank_by_rendezvous_hash
from comfreystair.controllers.token_buckets import GRANT_TTL_SECONDS, Limits

# The bound applies to every window of this length.
_WINDOW_SECONDS: Final = 1.0
# Time between the last check of a token's expiry and the arrival of the
# request at the target.
_TRANSIT_SECONDS: Final = 0.05
# A request that arrives in a window may have a token that was granted this
# long before the window began.
_LATE_SECONDS: Final = GRANT_TTL_SECONDS + _TRANSIT_SECONDS
# Not used of the bound. A bucket counts 0.999999 as a whole token, and a fleet
# has some tens of keepers at most.
_ROUNDING_TOKENS: Final = 0.0001
# Entries in the list of targets may be outdated by this much. After the end of
# a connection, an entry of the same run that is read sooner may have been
# written before that end.
_MAX_ENTRY_AGE_SECONDS: Final = 5.0
_NEVER: Final = float('-inf')


class ColdStart(NamedTuple):
    """What a group's targets can handle after their start.

    :param seconds: for which a target stays cold.
    :param per_second: requests a second that it handles meanwhile; 0 for no
        limit.
    """

    seconds: float
    per_second: float


class ColdBounds(NamedTuple):
    """What operators tolerate above a cold target's rate.

    In any second at most ``per_second * excess + slack`` requests may arrive.
    """

    excess: float
    slack: float


class KeeperShares(NamedTuple):
    """How the keepers share the token bucket of a cold target.

    :param zones: availability zones whose keepers have a share.
    :param limits: rate and burst of each of these keepers.
    """

    zones: tuple[str, ...]
    limits: Limits


class Registration(NamedTuple):
    """What a target's entry tells about its start.

    :param born: identifies one run of the target; a restart changes it.
    :param sequence: rises with each entry of one run.
    :param cold_seconds: for which it stays cold from when the entry was
        written.
    """

    born: int
    sequence: int
    cold_seconds: float


class _Run(NamedTuple):
    """The latest known run of a target.

    :param warm_at: when the target stops being cold, at the latest.
    :param doubted_at: when a connection to it ended, so that it may have been
        restarted since.
    """

    registration: Registration
    warm_at: float
    doubted_at: float = _NEVER


def share_tokens(
    target: str, per_second: float, bounds: ColdBounds, zones: Sequence[str]
) -> KeeperShares:
    """Share a cold target's token bucket between the keepers of the zones.

    The tokens of all buckets together are those that may be used in one
    window, less those that the rate yields in the window and in the time for
    which earlier tokens may still be used. A bucket below one token would
    never grant any, so only as many keepers have a share as there are whole
    tokens. Which ones depends on the target's id and the zones alone, so that
    keepers with different lists agree on it.

    :param zones: all availability zones of the fleet.
    :returns: no zones if the bounds are too low for a single token.
    """
    allowed = per_second * bounds.excess + bounds.slack - _ROUNDING_TOKENS
    span = _WINDOW_SECONDS + _LATE_SECONDS
    rate = min(per_second, (allowed - 1) / span)
    if rate <= 0:
        return KeeperShares((), Limits(0, 0))
    burst = allowed - rate * span
    count = min(max(int(burst), 1), len(zones))
    chosen = rank_by_rendezvous_hash(target, zones)[:count]
    return KeeperShares(tuple(chosen), Limits(rate / count, burst / count))


class ColdTargets:
    """Which targets are cold, as this instance knows."""

    def __init__(self) -> None:
        """Start without targets."""
        self._runs: dict[str, _Run] = {}

    def update(self, listed: Mapping[str, Registration], now: float) -> None:
        """Apply the listed registrations.

        A new entry says how long its target stays cold. The time counts from
        now and not from when the list was requested: the entry may have been
        written in between, and the time must not end too early.

        :param listed: registrations by the targets' ids.
        :param now: when the list arrived.
        """
        known = {
            ident: run
            for ident, run in self._runs.items()
            if ident in listed or now < run.warm_at
        }
        self._runs = {
            **known,
            **{
                ident: _apply(known.get(ident), registration, now)
                for ident, registration in listed.items()
            },
        }

    def record_end(
        self, ident: str, born: int, cold_seconds: float, now: float
    ) -> None:
        """Record that a connection to a target ended or was refused.

        The target may have been restarted under its id. It counts as cold
        until a newer entry tells.

        :param born: run of the target that the connection belonged to.
        :param cold_seconds: for which a target stays cold after its start.
        """
        run = self._runs.get(ident)
        if run is None or run.registration.born != born:
            return
        self._runs[ident] = run._replace(
            warm_at=max(run.warm_at, now + cold_seconds), doubted_at=now
        )

    def find_warm_time(self, ident: str) -> float:
        """Return when a target stops being cold; it may have passed."""
        run = self._runs.get(ident)
        return run.warm_at if run else _NEVER


def _apply(run: _Run | None, registration: Registration, now: float) -> _Run:
    """Return what is known of a target after its entry was read."""
    told = _Run(registration, now + registration.cold_seconds)
    if run is None:
        return told
    if registration == run.registration:
        return run
    kept = told._replace(
        warm_at=max(run.warm_at, told.warm_at), doubted_at=run.doubted_at
    )
    if registration.born != run.registration.born:
        # An outdated list may name the earlier run again, which was warm.
        return told if run.doubted_at > _NEVER else kept
    if now < run.doubted_at + _MAX_ENTRY_AGE_SECONDS:
        return kept
    return told
