"""How long a failover waits for instances that do not confirm."""

import unittest
from unittest import mock

import curio
import msgspec

from comfreystair.clocks import read_clock
from comfreystair.controllers.places.evacuation import (
    Evacuations,
    ZoneEvacuation,
)
from comfreystair.controllers.positions import Position
from comfreystair.controllers.primary_failover import ReplicationStatus
from comfreystair.controllers.primary_tracking import (
    CONTACT_TTL_SECONDS,
    PROOF_TTL_SECONDS,
    PrimaryRecord,
)
from comfreystair.controllers.store_position import StorePosition
from comfreystair.coordination import failover
from comfreystair.coordination.exceptions import FailoverError
from comfreystair.coordination.failover import FailoverCoordinator
from comfreystair.coordination.failover_notices import FailoverNotices
from comfreystair.coordination.records import (
    GROUPS_PREFIX,
    INSTANCES_PREFIX,
    GroupRecord,
    InstanceRecord,
    encode_record,
)
from comfreystair.coordination.state import FleetState
from comfreystair.manifest.serving import (
    Consistency,
    ServingRoute,
    build_plan,
)
from comfreystair.pooling.targets import TargetEntry, TargetReport
from tests.coordination.fakes import FakePeers, FakeStore

GROUP = 'permits'
END = Position(1, 7)


def build_instance(
    name: str, zone: str, needs_contact: bool = True
) -> InstanceRecord:
    """Return the registration of an instance."""
    return InstanceRecord(
        name, zone, f'{name}:1', name, needs_contact=needs_contact
    )


OWN = build_instance('own', 'norte')


class RecordingLog:
    """Keeps the events in order, and the fields of the last of each name."""

    def __init__(self) -> None:
        """Initialise without events."""
        self.names: list[str] = []
        self.events: dict[str, dict[str, object]] = {}

    def write(self, event: str, **fields: object) -> None:
        """Record an event."""
        self.names.append(event)
        self.events[event] = fields


class FakeProber:
    """Targets whose primary can't be reached until one is promoted."""

    def __init__(self) -> None:
        """Initialise with two replicas."""
        self.promoted = ''
        self.doubtful: frozenset[str] = frozenset()
        self.received = {'two': END, 'three': END}
        self.step_downs: list[TargetReport | None] = []

    async def step_down(
        self, _entry: TargetEntry, _term: int
    ) -> TargetReport | None:
        """Give the next prepared report, or no answer."""
        return self.step_downs.pop(0) if self.step_downs else None

    async def query_group(
        self, _group: str, doubtful: frozenset[str]
    ) -> list[ReplicationStatus]:
        """Return the replicas and record which targets are doubtful."""
        self.doubtful = doubtful
        return [
            ReplicationStatus(ident, False, 1, received, False)
            for ident, received in self.received.items()
        ]

    async def query_status(self, entry: TargetEntry) -> TargetReport:
        """Report the promoted target as primary."""
        is_primary = entry.ident == self.promoted
        return TargetReport(is_primary, 1 + is_primary, END)

    async def promote(self, _group: str, target: str, _token: int) -> bool:
        """Promote a target at once."""
        self.promoted = target
        return True


class FailoverTest(unittest.TestCase):
    """A primary is replaced while some instances are silent."""

    def setUp(self) -> None:
        """Create a coordinator with a proof, and a group of three targets."""
        self.state = FleetState(OWN)
        self.store = FakeStore(self.state.store_era.observe)
        self.state.targets = {
            ident: TargetEntry(
                ident, GROUP, f'{ident}:2', zone, 2, 1, False, False
            )
            for ident, zone in (
                ('one', 'sur'),
                ('two', 'este'),
                ('three', 'norte'),
            )
        }
        self.log = RecordingLog()
        self.prober = FakeProber()
        self.peers = FakePeers()
        record = GroupRecord('one', 1, is_changing=False, era=1)
        position = self.put(f'{GROUPS_PREFIX}{GROUP}', record)
        self.state.find_group(GROUP).primary_tracker.update(
            PrimaryRecord('one', 1, False, position), read_clock()
        )

    def put(self, key: str, record) -> StorePosition:
        """Write a record to the store."""
        return self.store.put(key, encode_record(record))

    def fail_over(self, *silent: InstanceRecord, uptime: float = 60) -> float:
        """Run the failover and return how long old proofs were valid."""
        for instance in silent:
            self.put(f'{INSTANCES_PREFIX}{instance.name}', instance)
        notices = FailoverNotices(
            self.state, self.peers, self.refresh_now, lambda: []
        )
        coordinator = FailoverCoordinator(
            self.state,
            self.store,
            self.prober,
            notices,
            self.prober.promote,
            self.log,
        )
        coordinator._started_at -= uptime
        curio.run(coordinator.fail_over, GROUP, 'test', False)
        return self.log.events['change_stopped_all']['validity']

    async def refresh_now(self) -> None:
        """Ignore the request."""

    def test_nobody_silent_means_no_wait(self) -> None:
        """All instances have stopped."""
        self.assertEqual(self.fail_over(), 0)

    def test_silent_zone_shortens_the_wait(self) -> None:
        """Its instances can only be in contact with others that confirmed."""
        validity = self.fail_over(
            build_instance('a', 'sur'), build_instance('b', 'sur')
        )
        self.assertEqual(validity, CONTACT_TTL_SECONDS)

    def test_two_silent_zones_need_all_proofs_expired(self) -> None:
        """They may still be in contact with each other."""
        validity = self.fail_over(
            build_instance('a', 'sur'), build_instance('b', 'este')
        )
        self.assertEqual(validity, PROOF_TTL_SECONDS)

    def test_older_build_needs_all_proofs_expired(self) -> None:
        """It goes on without contacts."""
        validity = self.fail_over(
            build_instance('a', 'sur'),
            build_instance('b', 'sur', needs_contact=False),
        )
        self.assertEqual(validity, PROOF_TTL_SECONDS)

    def test_recent_start_needs_all_proofs_expired(self) -> None:
        """It does not know yet who was listed before."""
        validity = self.fail_over(build_instance('a', 'sur'), uptime=0)
        self.assertEqual(validity, PROOF_TTL_SECONDS)

    def test_stopped_instance_is_not_waited_for(self) -> None:
        """A planned stop shortly before leaves no proof in use."""
        gone = build_instance('a', 'sur')
        self.state.recently_listed['a'] = (gone, read_clock())
        stopped = msgspec.structs.replace(gone, is_stopped=True)
        self.assertEqual(self.fail_over(stopped), 0)

    def test_followers_of_a_stopped_instance_are_told(self) -> None:
        """They may not be listed themselves and hold a proof of it."""
        stopped = msgspec.structs.replace(
            build_instance('a', 'sur'), is_stopped=True, followers=('b:1',)
        )
        self.assertEqual(self.fail_over(stopped), PROOF_TTL_SECONDS)

    def test_targets_of_a_silent_zone_are_given_less_time(self) -> None:
        """The zone is probably cut off, and so is its primary."""
        self.fail_over(build_instance('a', 'este'))
        self.assertEqual(self.prober.doubtful, {'one', 'two'})

    def test_successor_is_in_a_region_that_all_routes_allow(self) -> None:
        """Guards against writes that a failover shuts out of their region."""
        route = ServingRoute('d', GROUP, Consistency.primary, 0, 1, 1, 1, False)
        routes = [
            route._replace(database=name, allowed_regions=frozenset(regions))
            for name, regions in (('a', ()), ('b', 'xy'), ('c', 'yz'))
        ]
        # The list of another group's route does not count.
        routes.append(
            route._replace(group='other', allowed_regions=frozenset('x'))
        )
        for zones, successor in (
            ({'este': 'x', 'norte': 'y'}, 'three'),
            ({'norte': 'y'}, 'three'),
            ({'este': 'y', 'norte': 'x'}, 'two'),
        ):
            self.setUp()
            self.state.plan = build_plan(1, routes, (), {}, 3)
            self.state.zone_regions = zones
            self.fail_over()
            self.assertEqual(self.prober.promoted, successor)

    def test_demotion_does_not_wait(self) -> None:
        """A primary in a silent zone takes a while not to answer."""
        self.fail_over(build_instance('a', 'sur'))
        names = self.log.names
        self.assertLess(
            names.index('change_stepped_down'),
            names.index('change_stopped_all'),
        )

    def evacuate(self, *zones: str) -> None:
        """Evacuate some zones, as of now."""
        self.state.evacuations = Evacuations(zones, 5)
        for zone in zones:
            request = ZoneEvacuation(StorePosition(1, 9), is_requested=True)
            self.state.evacuations.update(zone, request, 1, 1)

    def test_no_target_of_an_evacuated_zone_is_promoted(self) -> None:
        """Guards against a new primary that must not be used."""
        self.evacuate('este')
        self.prober.received = {'two': Position(1, 9), 'three': END}
        self.fail_over()
        self.assertEqual(self.prober.promoted, 'three')

    def test_evacuation_loses_no_commit(self) -> None:
        """Guards against promoting a replica that lacks acknowledged commits.

        The old primary runs and only its zone is evacuated, so the failover
        waits for the replica beyond the usual time for catching up.
        """
        self.evacuate('sur')
        end = Position(1, 9)
        self.prober.step_downs = [TargetReport(False, 1, end)]
        self.prober.received = {'one': end, 'two': END, 'three': END}
        with (
            mock.patch.object(failover, '_CATCH_UP_TIMEOUTS_SECONDS', (0, 0)),
            mock.patch.object(failover, 'LEASE_TTL_SECONDS', 1.5),
            self.assertRaises(FailoverError),
        ):
            self.fail_over()
        self.assertEqual(self.prober.promoted, '')

    def test_busy_old_primary_is_asked_again_for_its_end(self) -> None:
        """Guards against a promotion before the end of the log is known."""
        self.evacuate('sur')
        end = Position(1, 9)
        report = TargetReport(False, 1, end)
        self.prober.step_downs = [None, report]
        self.prober.received = {'one': end, 'two': END, 'three': end}
        self.fail_over()
        self.assertEqual(self.prober.promoted, 'three')

    def test_silent_old_primary_is_not_waited_for(self) -> None:
        """Guards against writes that stop until an evacuation ends."""
        self.evacuate('sur')
        self.fail_over()
        self.assertIn(self.prober.promoted, {'two', 'three'})


if __name__ == '__main__':
    unittest.main()
