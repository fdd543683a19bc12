"""Select the target of a statement, waiting for one if that can help."""

import random
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from comfreystair.clocks import read_clock
from comfreystair.controllers.positions import Position
from comfreystair.controllers.target_selection import Floor, choose_target
from comfreystair.coordination.state import FleetState, GroupState
from comfreystair.manifest.serving import Consistency, ServingRoute
from comfreystair.pooling.manager import PoolManager
from comfreystair.pooling.targets import TargetEntry

# How long to wait for a change before selecting again, in seconds.
_POLL_SECONDS: Final = 0.03
# Share of a statement's time that it may wait for a primary to be known:
# under half, so that the caller can still retry at another instance.
_MAX_WAIT_SHARE: Final = 0.45


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
        remaining = deadline - read_clock()
        give_up_at = read_clock() + remaining * _MAX_WAIT_SHARE
        while True:
            selected = self._select_now(requirements, group)
            if selected is not None:
                return selected
            if read_clock() >= give_up_at or self._is_wait_useless(group):
                return None
            await group.wait_for_change(_POLL_SECONDS)

    def _is_wait_useless(self, group: GroupState) -> bool:
        """Tell whether no primary will become available soon.

        None answers, and none can be promoted while the store is unreachable.
        """
        if self._is_store_reached():
            return False
        now = read_clock()
        primary = group.primary_tracker.find_primary(now)
        return not primary or self._pools.find_health(primary).is_backing_off(
            now
        )

    def _select_now(
        self, requirements: TargetRequirements, group: GroupState
    ) -> SelectedTarget | None:
        now = read_clock()
        primary = group.primary_tracker.find_primary(now)
        if requirements.must_be_primary:
            return self._select_primary(primary, requirements, now)
        since = requirements.read_at - requirements.route.max_age
        sample = group.primary_tracker.find_sample(since)
        if sample is None:
            return self._select_primary(primary, requirements, now)
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
        ]
        ident = choose_target(
            self._pools.list_candidates(entries, primary),
            floor,
            now,
            random.random,
        )
        entry = self._state.targets.get(ident)
        if entry is None:
            return None
        is_primary = ident == primary
        return SelectedTarget(entry, None if is_primary else floor, is_primary)

    def _select_primary(
        self, primary: str, requirements: TargetRequirements, now: float
    ) -> SelectedTarget | None:
        entry = self._state.targets.get(primary)
        if entry is None or self._pools.find_health(primary).is_backing_off(
            now
        ):
            return None
        return SelectedTarget(entry, None, is_primary=True)
