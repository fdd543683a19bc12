"""This instance's view of the fleet."""

import sys
from collections.abc import Mapping
from typing import Final

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.places.cold_targets import (
    ColdBounds,
    ColdStart,
    ColdTargets,
    Registration,
)
from comfreystair.controllers.places.evacuation import Evacuations
from comfreystair.controllers.places.homes import combine_regions, is_allowed
from comfreystair.controllers.primary_tracking import (
    PrimaryRecord,
    PrimaryTracker,
)
from comfreystair.controllers.replica_logs import ReplicaLogs, ReplicaRun
from comfreystair.controllers.store_position import StorePosition
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.store_era import StoreEra
from comfreystair.manifest.serving import ServingPlan
from comfreystair.pooling.targets import TargetEntry

# Later than any position in the store.
_LAST_POSITION: Final = StorePosition(sys.maxsize, sys.maxsize)


class GroupState:
    """State of one database group.

    :ivar primary_tracker: the group's record and its proof.
    :ivar running_writes: number of writes in progress at the primary.
    :ivar unreachable_since: since when requests to the primary have failed;
        nothing if it answered the last one.
    :ivar answered_at: when the primary last answered this instance.
    :ivar has_failed_probe: it gave no status since then when it was queried.
    :ivar is_promoting: this instance has ordered a promotion of which it does
        not know the outcome yet.
    :ivar changing_since: since when this instance knows that the primary is
        being replaced; nothing if it is not.
    """

    def __init__(self, needs_contact: bool) -> None:
        """Initialise a group whose primary is not known.

        :param needs_contact: see
            :class:`~comfreystair.controllers.primary_tracking.PrimaryTracker`.
        """
        self.primary_tracker = PrimaryTracker(needs_contact)
        self.running_writes = 0
        self.unreachable_since: float | None = None
        self.answered_at = float('-inf')
        self.has_failed_probe = False
        self.is_promoting = False
        self.changing_since: float | None = None
        self._changed = curio.Event()

    async def notify_waiters(self) -> None:
        """Wake all tasks in :meth:`wait_for_change`."""
        changed = self._changed
        self._changed = curio.Event()
        await changed.set()

    async def wait_for_change(self, seconds: float) -> None:
        """Wait until the group's state changes, or some seconds have passed."""
        async with curio.ignore_after(seconds):
            await self._changed.wait()

    def update_record(self, record: PrimaryRecord, asked_at: float) -> bool:
        """Update the group's record and note when a failover begins and ends.

        :param asked_at: see
            :meth:`~comfreystair.controllers.primary_tracking.PrimaryTracker.update`.
        :returns: whether the record is newer than the known one.
        """
        old_primary = self.primary_tracker.record.primary
        is_newer = self.primary_tracker.update(record, asked_at)
        newest = self.primary_tracker.record
        if not newest.is_changing:
            self.changing_since = None
        elif self.changing_since is None:
            self.changing_since = read_clock()
        if newest.primary != old_primary:
            # What was seen of the old primary says nothing of the new one.
            self.answered_at = float('-inf')
            self.unreachable_since = None
            self.has_failed_probe = False
        return is_newer

    def record_answer(self, now: float) -> None:
        """Record that the primary answered."""
        self.answered_at = now
        self.unreachable_since = None
        self.has_failed_probe = False

    def record_failure(self, since: float) -> None:
        """Record that the primary could not be reached.

        :param since: when the request that got no answer was sent. An answer
            to another request after that time counts as the newer one.
        """
        if self.unreachable_since is None:
            self.unreachable_since = max(since, self.answered_at)


class FleetState:
    """Latest known state of the fleet, and when each part was read.

    Times are readings of :func:`~comfreystair.clocks.read_clock`, in seconds.

    :ivar own: record of this instance.
    :ivar store_era: the era of the store.
    :ivar plan: the plan in force; nothing before the first.
    :ivar plan_proved_at: when the plan was last proved to be the newest.
    :ivar store_read_at: when the last read of the store was sent that got an
        answer.
    :ivar targets: listed targets, by id.
    :ivar lists_read_at: when the lists of targets and instances were read.
    :ivar instances: listed instances, by name.
    :ivar recently_listed: instances that are or were listed, by name, with the
        time of the last list that contained them. They are kept for some time
        after they are no longer listed.
    :ivar keepers: keepers of the rate limits, by availability zone.
    :ivar evacuations: availability zones that operators have evacuated.
    :ivar is_draining: this instance is shutting down.
    :ivar zone_regions: the region of each availability zone, by the settings.
    :ivar cold_bounds: bounds on the requests to cold targets; nothing if no
        target counts as cold.
    :ivar cold_targets: how long the listed targets stay cold.
    """

    def __init__(
        self,
        own: InstanceRecord,
        zone_regions: Mapping[str, str] | None = None,
    ) -> None:
        """Initialise a fleet that consists of this instance alone."""
        self.own = own
        self.zone_regions: Mapping[str, str] = zone_regions or {}
        self.store_era = StoreEra()
        self.plan: ServingPlan | None = None
        self.plan_proved_at = float('-inf')
        self.store_read_at = float('-inf')
        self.targets: dict[str, TargetEntry] = {}
        self.lists_read_at = float('-inf')
        self.instances: dict[str, InstanceRecord] = {own.name: own}
        self.recently_listed: dict[str, tuple[InstanceRecord, float]] = {
            own.name: (own, read_clock())
        }
        self.keepers: dict[str, InstanceRecord] = {}
        self.evacuations = Evacuations()
        self.is_draining = False
        self.cold_bounds: ColdBounds | None = None
        self.cold_targets = ColdTargets()
        self._groups: dict[str, GroupState] = {}
        self._replica_logs: dict[str, ReplicaLogs] = {}

    @property
    def groups(self) -> dict[str, GroupState]:
        """Return the groups by name."""
        return self._groups

    def find_group(self, name: str) -> GroupState:
        """Return a group's state; it is created if it does not exist."""
        group = self._groups.get(name)
        if group is None:
            group = GroupState(self.own.needs_contact)
            self._groups[name] = group
        return group

    def stop_using_primaries(self) -> None:
        """Stop using all primaries, as the last step of a shutdown."""
        for group in self._groups.values():
            group.primary_tracker.fence(_LAST_POSITION)

    def find_replica_logs(self, group: str) -> ReplicaLogs:
        """Return where a group's log is kept, and was lost."""
        return self._replica_logs.setdefault(group, ReplicaLogs())

    def find_sync_replicas(self, group: str) -> int:
        """Return how many replicas must receive a group's commits."""
        return self.plan.sync_replicas.get(group, 0) if self.plan else 0

    def update_targets(
        self, targets: dict[str, TargetEntry], now: float
    ) -> None:
        """Replace the listed targets and note where logs were lost."""
        self.targets = targets
        self.cold_targets.update(
            {
                ident: Registration(
                    entry.born, entry.sequence, entry.cold_seconds
                )
                for ident, entry in targets.items()
            },
            now,
        )
        listed: dict[str, dict[str, ReplicaRun]] = {}
        for entry in sorted(targets.values(), key=_get_start):
            runs = listed.setdefault(entry.group, {})
            runs[entry.address] = ReplicaRun(
                entry.ident, entry.born, entry.is_leaving
            )
        for name in listed.keys() | self._replica_logs.keys():
            self.find_replica_logs(name).update(listed.get(name, {}), now)

    def list_targets(self, group: str) -> list[TargetEntry]:
        """Return a group's targets."""
        return [one for one in self.targets.values() if one.group == group]

    def list_successors(self, group: str) -> list[TargetEntry]:
        """Return a group's targets that may lead it.

        Targets of evacuated zones may not.
        """
        return [
            entry
            for entry in self.list_targets(group)
            if not self.evacuations.is_evacuated(entry.zone)
        ]

    def may_send(self, entry: TargetEntry, now: float) -> bool:
        """Tell whether a request may be sent to a target."""
        return self.evacuations.may_send(entry.zone, now)

    def list_home_targets(self, group: str) -> frozenset[str]:
        """Return the ids of a group's targets in regions that all routes allow.

        Only the routes of the group count. If none of them lists regions, no
        target is returned, as none is to be preferred.
        """
        routes = self.plan.routes.values() if self.plan else ()
        allowed = combine_regions(
            route.allowed_regions for route in routes if route.group == group
        )
        if allowed is None:
            return frozenset()
        return frozenset(
            entry.ident
            for entry in self.list_targets(group)
            if is_allowed(entry.zone, allowed, self.zone_regions)
        )

    def find_cold_start(self, ident: str) -> ColdStart | None:
        """Return what a target can handle while it is cold.

        :returns: nothing if there is no limit, or the target is not listed.
        """
        entry = self.targets.get(ident)
        if entry is None or self.plan is None or self.cold_bounds is None:
            return None
        return self.plan.cold_starts.get(entry.group)

    def is_cold(self, ident: str, now: float) -> bool:
        """Tell whether the requests to a target are limited for now."""
        is_limited = self.find_cold_start(ident) is not None
        return is_limited and now < self.cold_targets.find_warm_time(ident)

    def find_plan_age(self, now: float) -> float:
        """Return the seconds since the plan was last proved the newest."""
        return now - self.plan_proved_at


def _get_start(entry: TargetEntry) -> int:
    return entry.born
