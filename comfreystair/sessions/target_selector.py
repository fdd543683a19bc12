"""Select the target of a statement, waiting for one if that can help."""

import random
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from comfreystair.clocks import read_clock
from comfreystair.controllers.positions import Position
from comfreystair.controllers.primary_outage import (
    PrimaryOutage,
    estimate_outage,
)
from comfreystair.controllers.target_selection import Floor, choose_target
from comfreystair.coordination.state import FleetState, GroupState
from comfreystair.manifest.serving import Consistency, ServingRoute
from comfreystair.pooling.manager import PoolManager
from comfreystair.pooling.targets import TargetEntry
from comfreystair.sessions.statements import Answer, build_retry_answer

# How long to wait for a change before selecting again, in seconds.
_POLL_SECONDS: Final = 0.03
# Share of a statement's time that it may wait for a primary to be known:
# under half, so that the caller can still retry at another instance.
_MAX_WAIT_SHARE: Final = 0.45
# Callers that are rejected for want of a target come back after at least this
# long, and spread over this much more.
_MIN_RETRY_SECONDS: Final = 0.2
_RETRY_SPREAD_SECONDS: Final = 0.3


class SelectedTarget(NamedTuple):
    """The target that a statement runs at.

    :param floor: log position that it must have applied, absent at a primary.
    :param is_primary: the target is used as the primary.
    """

    entry: TargetEntry
    floor: Floor | None
    is_primary: bool

    @property
    def position(self) -> Position | None:
        """Return the log position that the target must have applied."""
        return self.floor.position if self.floor else None


class TargetRequirements(NamedTuple):
    """What a statement needs of its target.

    :param read_at: when the statement or its transaction began, by the
        monotonic clock.
    :param floor: log position of the session's own writes.
    :param tried: targets at which the statement has already failed.
    """

    route: ServingRoute
    organisation: str
    must_be_primary: bool
    read_at: float
    floor: Floor | None
    tried: set[str]


class TargetSelector:
    """Selects targets by role, log position and health."""

    def __init__(
        self,
        state: FleetState,
        pools: PoolManager,
        refresh_proofs: Callable[[], Awaitable[None]],
        is_store_reached: Callable[[], bool],
    ) -> None:
        """Initialize with the state that the selection depends on.

        :param pools: connection pools, health and load of the targets.
        :param refresh_proofs: requests a new proof of the primary at once.
        :param is_store_reached: tells whether the store answers.
        """
        self._state = state
        self._pools = pools
        self._refresh_proofs = refresh_proofs
        self._is_store_reached = is_store_reached

    async def select(
        self, requirements: TargetRequirements, deadline: float
    ) -> SelectedTarget | None:
        """Return a target, or nothing when none becomes available in time."""
        group = self._state.find_group(requirements.route.group)
        give_up_at = _find_give_up_time(deadline)
        while True:
            selected = self._select_now(requirements, group)
            if selected is not None:
                return selected
            if read_clock() + self._estimate(group) >= give_up_at:
                return None
            await group.wait_for_change(_POLL_SECONDS)

    def is_hopeless(
        self, requirements: TargetRequirements, deadline: float
    ) -> bool:
        """Tell whether no target will become available in time."""
        group = self._state.find_group(requirements.route.group)
        seconds = self._estimate(group)
        if read_clock() + seconds < _find_give_up_time(deadline):
            return False
        return self._select_now(requirements, group) is None

    def has_outage(self, name: str) -> bool:
        """Tell whether a group will probably lack a primary for a while."""
        return self._estimate(self._state.find_group(name)) > 0

    def build_rejection(self, name: str) -> Answer:
        """Return the answer to a request for which there is no target.

        The delays are spread, so that not all callers of a group return at the
        moment at which it has a primary again.

        :param name: name of the group.
        """
        seconds = self._estimate(self._state.find_group(name))
        spread = random.random() * _RETRY_SPREAD_SECONDS  # noqa: S311
        return build_retry_answer(
            'not run', max(seconds, _MIN_RETRY_SECONDS) + spread
        )

    def _estimate(self, group: GroupState) -> float:
        """Return how long the group will probably lack a usable primary."""
        now = read_clock()
        primary = group.primary_tracker.find_primary(now)
        if primary and not self._is_avoided(primary, group, now):
            return 0
        outage = PrimaryOutage(
            group.unreachable_since,
            group.has_failed_probe,
            group.changing_since,
            self._is_store_reached(),
        )
        return estimate_outage(outage, now)

    def _is_avoided(self, primary: str, group: GroupState, now: float) -> bool:
        """Tell whether a primary gets no requests for now.

        One that gave no status is left to the monitor, which queries it until
        it answers or is replaced: requests would only wait there.
        """
        health = self._pools.find_health(primary)
        return group.has_failed_probe or health.is_backing_off(now)

    def _select_now(
        self, requirements: TargetRequirements, group: GroupState
    ) -> SelectedTarget | None:
        now = read_clock()
        primary = group.primary_tracker.find_primary(now)
        if requirements.must_be_primary:
            return self._select_primary(primary, group, now)
        since = requirements.read_at - requirements.route.max_age
        sample = group.primary_tracker.find_sample(since)
        if sample is None:
            return self._select_primary(primary, group, now)
        floor = Floor(sample.position, sample.asked_at)
        if (
            requirements.route.consistency is Consistency.own_writes
            and requirements.floor
        ):
            floor = max(floor, requirements.floor)
        entries = [
            target
            for target in self._state.list_targets(requirements.route.group)
            if target.ident not in requirements.tried
            and not (target.ident == primary and group.has_failed_probe)
        ]
        ident = choose_target(
            self._pools.list_candidates(entries, primary),
            floor,
            now,
            random.random,
            {
                one.ident
                for one in entries
                if self._state.is_cold(one.ident, now)
            },
        )
        entry = self._state.targets.get(ident)
        if entry is None:
            return None
        is_primary = ident == primary
        return SelectedTarget(entry, None if is_primary else floor, is_primary)

    def _select_primary(
        self, primary: str, group: GroupState, now: float
    ) -> SelectedTarget | None:
        entry = self._state.targets.get(primary)
        if entry is None or self._is_avoided(primary, group, now):
            return None
        return SelectedTarget(entry, None, is_primary=True)


def _find_give_up_time(deadline: float) -> float:
    """Return until when a statement may wait for a target."""
    now = read_clock()
    return now + (deadline - now) * _MAX_WAIT_SHARE
