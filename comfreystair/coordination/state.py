"""What this instance believes about the fleet."""

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.leadership import LeadershipController
from comfreystair.coordination.records import InstanceRecord
from comfreystair.manifest.serving import ServingPlan
from comfreystair.pooling.targets import TargetEntry


class GroupState:
    """One database group: its leadership and what runs at its primary."""

    def __init__(self) -> None:
        """Start knowing nothing."""
        self.leadership = LeadershipController()
        self.writes = 0
        self.missed_since: float | None = None
        self.answered_at = float('-inf')
        self._changed = curio.Event()

    async def announce(self) -> None:
        """Wake whoever waits for a primary."""
        changed = self._changed
        self._changed = curio.Event()
        await changed.set()

    async def wait(self, seconds: float) -> None:
        """Wait until something changes, or time ends."""
        async with curio.ignore_after(seconds):
            await self._changed.wait()

    def hear(self, now: float) -> None:
        """Take in that the primary answered."""
        self.answered_at = now
        self.missed_since = None

    def miss(self, now: float) -> None:
        """Take in that the primary did not answer."""
        if self.missed_since is None:
            self.missed_since = now


class FleetState:
    """The newest knowledge, with its age."""

    def __init__(self, own: InstanceRecord) -> None:
        """Start with this instance alone."""
        self.own = own
        self.plan: ServingPlan | None = None
        self.plan_proved_at = float('-inf')
        self.store_read_at = float('-inf')
        self.targets: dict[str, TargetEntry] = {}
        self.lists_read_at = float('-inf')
        self.instances: dict[str, InstanceRecord] = {own.name: own}
        self.recent: dict[str, tuple[InstanceRecord, float]] = {
            own.name: (own, read_clock())
        }
        self.keepers: dict[str, InstanceRecord] = {}
        self.is_draining = False
        self._groups: dict[str, GroupState] = {}

    @property
    def groups(self) -> dict[str, GroupState]:
        """Return the groups by name."""
        return self._groups

    def find_group(self, name: str) -> GroupState:
        """Return a group's state, a new one if it is not known."""
        group = self._groups.get(name)
        if group is None:
            group = GroupState()
            self._groups[name] = group
        return group

    def list_targets(self, group: str) -> list[TargetEntry]:
        """Return a group's targets."""
        return [one for one in self.targets.values() if one.group == group]

    def find_plan_age(self, now: float) -> float:
        """Return for how long the plan has not been proved the newest."""
        return now - self.plan_proved_at
