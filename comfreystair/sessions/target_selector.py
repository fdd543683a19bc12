"""Select the target of a statement, waiting for one if that can help."""

import random
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from comfreystair.clocks import read_clock
from comfreystair.controllers.places.homes import combine_regions, is_allowed
from comfreystair.controllers.positions import Position
from comfreystair.controllers.primary_outage import (
    PrimaryOutage,
    estimate_outage,
)
from comfreystair.controllers.target_selection import Floor, choose_target
from comfreystair.coordination.state import FleetState, GroupState
from comfreystair.manifest.serving import Client, Consistency, ServingRoute
from comfreystair.pooling.manager import PoolManager
from comfreystair.pooling.targets import TargetEntry
from comfreystair.sessions.statements import Answer, build_retry_answer

# How long to wait for a change before selecting again, in seconds.
_POLL_SECONDS: Final = 0.03
# Share of a statement's time that it may wait for a primary to be known:
# under half, so that the caller can still retry at another instance.
_MAX_WAIT_SHARE: Final = 0.45
# A primary in an evacuated zone gets no request that might reach it later than
# it may: the request can wait this long at a gateway, in seconds.
_QUEUE_SECONDS: Final = 0.5
# Callers that are rejected for want of a target come back after at least this
# long, and spread over this much more.
_MIN_RETRY_SECONDS: Final = 0.2
_RETRY_SPREAD_SECONDS: Final = 0.3
# The same for callers whose regions have no target that may serve them: that
# ends with a new plan or a failover, not within a fraction of a second.
_OUTSIDE_RETRY_SECONDS: Final = 1.0
# A read's position sample is renewed at this share of the route's maximum age,
# so that reads seldom wait for one.
_SAMPLE_RENEWAL_SHARE: Final = 0.5


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
    :param client: the organisation of the caller's key, if any.
    """

    route: ServingRoute
    organisation: str
    must_be_primary: bool
    read_at: float
    floor: Floor | None
    tried: set[str]
    client: Client | None = None

    @property
    def is_restricted(self) -> bool:
        """Tell whether it may reach targets of certain regions only."""
        return is_restricted(self.route, self.client)


def is_restricted(route: ServingRoute, client: Client | None) -> bool:
    """Tell whether a route or an organisation lists regions."""
    return bool(
        route.allowed_regions or (client is not None and client.allowed_regions)
    )


async def _request_nothing(_group: str) -> None:
    """Request no sample."""


class TargetSelector:
    """Selects targets by role, log position and health."""

    def __init__(
        self,
        state: FleetState,
        pools: PoolManager,
        refresh_proofs: Callable[[], Awaitable[None]],
        is_store_reached: Callable[[], bool],
        request_sample: Callable[[str], Awaitable[None]] = _request_nothing,
    ) -> None:
        """Initialize with the state that the selection depends on.

        :param pools: connection pools, health and load of the targets.
        :param refresh_proofs: requests a new proof of the primary at once.
        :param is_store_reached: tells whether the store answers.
        :param request_sample: requests a position of a group's primary, which
            arrives later.
        """
        self._state = state
        self._pools = pools
        self._refresh_proofs = refresh_proofs
        self._is_store_reached = is_store_reached
        self._request_sample = request_sample
        self._region_rejections = 0

    @property
    def region_rejections(self) -> int:
        """Return how many requests were rejected for their allowed regions."""
        return self._region_rejections

    async def select(
        self,
        requirements: TargetRequirements,
        deadline: float,
        may_wait: bool = True,
    ) -> SelectedTarget | None:
        """Return a target, or nothing when none becomes available in time.

        When the allowed regions leave no target, it does not wait for one.

        :param may_wait: if not, the request was rejected by a target, and only
            a target at which it was not tried is returned, at once.
        """
        group = self._state.find_group(requirements.route.group)
        if not may_wait:
            selected = self._select_now(requirements, group)
            if selected and selected.entry.ident in requirements.tried:
                return None
            return selected
        give_up_at = _find_give_up_time(deadline)
        while True:
            await self._renew_sample(requirements, group)
            selected = self._select_now(requirements, group)
            if selected is not None:
                return selected
            is_late = read_clock() + self._estimate(group) >= give_up_at
            if is_late or self.lacks_allowed_target(requirements):
                return None
            await group.wait_for_change(_POLL_SECONDS)

    def is_hopeless(
        self, requirements: TargetRequirements, deadline: float
    ) -> bool:
        """Tell whether no target will become available in time."""
        if self.lacks_allowed_target(requirements):
            return True
        group = self._state.find_group(requirements.route.group)
        seconds = self._estimate(group)
        if read_clock() + seconds < _find_give_up_time(deadline):
            return False
        return self._select_now(requirements, group) is None

    def lacks_allowed_target(self, requirements: TargetRequirements) -> bool:
        """Tell whether the allowed regions leave no target for a statement.

        A statement that needs the primary has none if the present primary is
        elsewhere. While no target is listed, this is not known.
        """
        name = requirements.route.group
        entries = self._state.list_targets(name)
        if requirements.must_be_primary:
            tracker = self._state.find_group(name).primary_tracker
            primary = self._state.targets.get(
                tracker.find_primary(read_clock())
            )
            entries = [primary] if primary else entries
        return bool(entries) and not any(
            self._is_allowed(entry, requirements) for entry in entries
        )

    def is_in_allowed_region(
        self, entry: TargetEntry, route: ServingRoute, client: Client | None
    ) -> bool:
        """Tell whether a route and an organisation allow a target's region.

        The lists of the plan in force apply. A route or organisation that it
        no longer contains keeps the last list that is known of it.
        """
        plan = self._state.plan
        if plan is not None:
            route = plan.routes.get(route.database, route)
            client = plan.clients.get(client.name, client) if client else None
        allowed = combine_regions(
            one.allowed_regions for one in (route, client) if one
        )
        return is_allowed(entry.zone, allowed, self._state.zone_regions)

    def has_outage(self, name: str) -> bool:
        """Tell whether a group will probably lack a primary for a while."""
        return self._estimate(self._state.find_group(name)) > 0

    def build_rejection(self, requirements: TargetRequirements) -> Answer:
        """Return the answer to a request for which there is no target.

        The delays are spread, so that not all callers of a group return at the
        moment at which it has a primary again.
        """
        spread = random.random() * _RETRY_SPREAD_SECONDS  # noqa: S311
        if self.lacks_allowed_target(requirements):
            self._region_rejections += 1
            return build_retry_answer(
                'no target in the allowed regions, not run',
                _OUTSIDE_RETRY_SECONDS + spread,
            )
        group = self._state.find_group(requirements.route.group)
        seconds = max(self._estimate(group), _MIN_RETRY_SECONDS)
        return build_retry_answer('not run', seconds + spread)

    async def _renew_sample(
        self, requirements: TargetRequirements, group: GroupState
    ) -> None:
        """Request a position sample for reads that may not reach the primary.

        Other reads without a sample run at the primary and bring one.
        """
        now = read_clock()
        primary = group.primary_tracker.find_primary(now)
        entry = self._state.targets.get(primary)
        if requirements.must_be_primary or not requirements.is_restricted:
            return
        if entry is None or self._is_avoided(primary, group, now):
            return
        max_age = requirements.route.max_age * _SAMPLE_RENEWAL_SHARE
        since = requirements.read_at - max_age
        if group.primary_tracker.find_sample(since) is None and (
            not self._is_allowed(entry, requirements)
        ):
            await self._request_sample(requirements.route.group)

    def _is_allowed(
        self, entry: TargetEntry, requirements: TargetRequirements
    ) -> bool:
        """Tell whether a statement may reach a target's region."""
        return self.is_in_allowed_region(
            entry, requirements.route, requirements.client
        )

    def _estimate(self, group: GroupState) -> float:
        """Return how long the group will probably lack a usable primary."""
        now = read_clock()
        primary = group.primary_tracker.find_primary(now)
        if primary and not self._is_avoided(primary, group, now):
            return 0
        known = group.primary_tracker.record.primary
        outage = PrimaryOutage(
            group.unreachable_since,
            group.has_failed_probe,
            group.changing_since,
            self._is_store_reached(),
            is_evacuated=self._is_evacuated(known),
            has_successor=any(
                entry.ident != known for entry in self._list_successors(known)
            ),
        )
        return estimate_outage(outage, now)

    def _is_avoided(self, primary: str, group: GroupState, now: float) -> bool:
        """Tell whether a primary gets no requests for now.

        One that gave no status is left to the monitor, which queries it until
        it answers or is replaced: requests would only wait there.
        """
        entry = self._state.targets.get(primary)
        if entry and not self._state.may_send(entry, now + _QUEUE_SECONDS):
            return True
        health = self._pools.find_health(primary)
        return group.has_failed_probe or health.is_backing_off(now)

    def _is_evacuated(self, ident: str) -> bool:
        entry = self._state.targets.get(ident)
        return entry is not None and (
            self._state.evacuations.is_evacuated(entry.zone)
        )

    def _list_successors(self, primary: str) -> list[TargetEntry]:
        """Return the targets of a primary's group that may lead it."""
        entry = self._state.targets.get(primary)
        return self._state.list_successors(entry.group) if entry else []

    def _select_now(
        self, requirements: TargetRequirements, group: GroupState
    ) -> SelectedTarget | None:
        now = read_clock()
        primary = group.primary_tracker.find_primary(now)
        if requirements.must_be_primary:
            return self._select_primary(requirements, group, now)
        since = requirements.read_at - requirements.route.max_age
        sample = group.primary_tracker.find_sample(since)
        if sample is None:
            return self._select_primary(requirements, group, now)
        floor = Floor(sample.position, sample.asked_at)
        if (
            requirements.route.consistency is Consistency.own_writes
            and requirements.floor
        ):
            floor = max(floor, requirements.floor)
        entries = [
            target
            for target in self._state.list_targets(requirements.route.group)
            if self._is_allowed(target, requirements)
            and not self._state.evacuations.is_evacuated(target.zone)
            and target.ident not in requirements.tried
            and not (target.ident == primary and group.has_failed_probe)
        ]
        if not entries:
            return self._select_primary(requirements, group, now)
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
        self, requirements: TargetRequirements, group: GroupState, now: float
    ) -> SelectedTarget | None:
        primary = group.primary_tracker.find_primary(now)
        entry = self._state.targets.get(primary)
        if entry is None or self._is_avoided(primary, group, now):
            return None
        if not self._is_allowed(entry, requirements):
            return None
        return SelectedTarget(entry, None, is_primary=True)


def _find_give_up_time(deadline: float) -> float:
    """Return until when a statement may wait for a target."""
    now = read_clock()
    return now + (deadline - now) * _MAX_WAIT_SHARE
