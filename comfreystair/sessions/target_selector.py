"""Find the target for a statement, waiting where waiting is of use."""

import random
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from comfreystair.clocks import read_clock
from comfreystair.controllers.positions import Position
from comfreystair.controllers.selection import Floor, choose_target
from comfreystair.coordination.state import FleetState, GroupState
from comfreystair.manifest.serving import Consistency, ServingRoute
from comfreystair.pooling.manager import PoolManager
from comfreystair.pooling.targets import TargetEntry

# How long to wait before looking again, in seconds.
_LOOK_SECONDS: Final = 0.03
# Share of a statement's time that it may wait for a primary to be known:
# under half, so that the caller can still turn to another instance.
_WAIT_SHARE: Final = 0.45


class Place(NamedTuple):
    """Where a statement runs.

    :param floor: position that the log must hold, absent at a primary.
    :param is_primary: the target is used as the primary.
    """

    entry: TargetEntry
    floor: Floor | None
    is_primary: bool

    @property
    def position(self) -> Position | None:
        """Return the position that the log must hold."""
        return self.floor.position if self.floor else None


class Need(NamedTuple):
    """What a statement needs of its target.

    :param read_at: when the read or its transaction began.
    :param floor: position of the session's own writes.
    :param tried: targets that failed it already.
    """

    route: ServingRoute
    organisation: str
    must_be_primary: bool
    read_at: float
    floor: Floor | None
    tried: set[str]


class TargetSelector:
    """Choose targets from what the fleet and this instance know."""

    def __init__(
        self,
        state: FleetState,
        board: PoolManager,
        hurry: Callable[[], Awaitable[None]],
        is_store_reached: Callable[[], bool],
    ) -> None:
        """Take the parts.

        :param hurry: asks for a proof now.
        """
        self._state = state
        self._board = board
        self._hurry = hurry
        self._is_store_reached = is_store_reached

    async def find(self, need: Need, deadline: float) -> Place | None:
        """Return a place, or nothing when there will be none in time."""
        group = self._state.find_group(need.route.group)
        remaining = deadline - read_clock()
        give_up_at = read_clock() + remaining * _WAIT_SHARE
        while True:
            place = self._look(need, group)
            if place is not None:
                return place
            if read_clock() >= give_up_at or self._is_hopeless(group):
                return None
            await group.wait(_LOOK_SECONDS)

    def _is_hopeless(self, group: GroupState) -> bool:
        """Tell whether no primary answers, and none can be promoted soon."""
        if self._is_store_reached():
            return False
        now = read_clock()
        primary = group.leadership.find_primary(now)
        return not primary or self._board.find_health(primary).is_paused(now)

    def _look(self, need: Need, group: GroupState) -> Place | None:
        now = read_clock()
        primary = group.leadership.find_primary(now)
        if need.must_be_primary:
            return self._use_primary(primary, need, now)
        since = need.read_at - need.route.max_age
        sample = group.leadership.find_sample(since)
        if sample is None:
            return self._use_primary(primary, need, now)
        floor = Floor(sample.position, sample.asked_at)
        if need.route.consistency is Consistency.own_writes and need.floor:
            floor = max(floor, need.floor)
        entries = [
            one
            for one in self._state.list_targets(need.route.group)
            if one.ident not in need.tried
        ]
        ident = choose_target(
            self._board.list_candidates(entries, primary),
            floor,
            now,
            random.random,
        )
        entry = self._state.targets.get(ident)
        if entry is None:
            return None
        is_primary = ident == primary
        return Place(entry, None if is_primary else floor, is_primary)

    def _use_primary(
        self, primary: str, need: Need, now: float
    ) -> Place | None:
        entry = self._state.targets.get(primary)
        if entry is None or self._board.find_health(primary).is_paused(now):
            return None
        return Place(entry, None, is_primary=True)
