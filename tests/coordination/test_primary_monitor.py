"""When an instance starts a failover."""

import unittest

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.places.evacuation import (
    Evacuations,
    ZoneEvacuation,
)
from comfreystair.controllers.positions import ORIGIN
from comfreystair.controllers.primary_failover import ReplicationStatus
from comfreystair.controllers.primary_tracking import PrimaryRecord
from comfreystair.controllers.store_position import StorePosition
from comfreystair.coordination.primary_monitor import PrimaryMonitor
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.coordination.target_prober import Probe
from comfreystair.pooling.targets import TargetEntry, TargetReport

OWN = InstanceRecord('a', 'lima-a', '127.0.0.1:1', 'a-1')
RUN_SECONDS = 2.5
NO_ANSWER = Probe(is_answered=False, report=None)


def build_entry(ident: str, **fields: object) -> TargetEntry:
    """Return a target that accepts requests."""
    entry = TargetEntry(
        ident, 'permits', '127.0.0.1:2', 'lima-a', 2, 1, False, False
    )
    return entry._replace(**fields)


class FakeCollaborators:
    """Fake coordinator, prober, notices and log that record failovers."""

    def __init__(self) -> None:
        """Initialise without failovers, with a primary that answers."""
        self.failovers: list[tuple[str, str, bool]] = []
        self.reported: list[str] = []
        self.silent: set[str] = set()
        self.probed = Probe(True, TargetReport(True, 1, None))
        self.answering: tuple[str, ...] = ()

    async def fail_over(self, name: str, reason: str, is_planned: bool) -> None:
        """Record a failover."""
        self.failovers.append((name, reason, is_planned))

    async def probe(self, entry: TargetEntry) -> Probe:
        """Return the configured result, or wait forever for silent ones."""
        if entry.ident in self.silent:
            await curio.sleep(float(RUN_SECONDS))
        return self.probed

    async def query_group(self, _group: str) -> list[ReplicationStatus]:
        """Return a status of each target that answers."""
        return [
            ReplicationStatus(ident, False, 1, ORIGIN, False)
            for ident in self.answering
        ]

    async def is_widely_unreachable(self, _group: str) -> bool:
        """Report that no other instance reaches the primary."""
        return True

    async def report_unreachable(self, group: str) -> None:
        """Record a report to other instances."""
        self.reported.append(group)

    async def refresh_now(self) -> None:
        """Ignore the request."""

    def write(self, event: str, **fields: object) -> None:
        """Discard the event."""


class PrimaryMonitorTest(unittest.TestCase):
    """Conditions under which a failover starts, and does not start."""

    def setUp(self) -> None:
        """Create a group whose primary is listed and proved."""
        self.fakes = FakeCollaborators()
        self.state = FleetState(OWN)
        self.state.targets = {'one': build_entry('one')}
        self.state.lists_read_at = read_clock()
        self.group = self.state.find_group('permits')
        self.set_record(
            PrimaryRecord(
                'one', 1, is_changing=False, position=StorePosition(1, 5)
            )
        )

    def set_record(self, record: PrimaryRecord) -> None:
        """Set the group's record, proved as of now."""
        self.group.primary_tracker.update(record, read_clock())

    def run_monitor(self) -> list[tuple[str, str, bool]]:
        """Run the monitor for a while and return the failovers."""
        curio.run(self._run_monitor)
        return self.fakes.failovers

    def test_primary_that_answers_stays(self) -> None:
        """One failed request starts no failover when the status check works."""
        self.group.record_failure(read_clock())
        self.assertEqual(self.run_monitor(), [])
        self.assertIsNone(self.group.unreachable_since)

    def test_unreachable_primary_is_replaced(self) -> None:
        """A primary that stays unreachable for long enough has failed."""
        self.fakes.probed = NO_ANSWER
        self.group.record_failure(read_clock())
        failovers = self.run_monitor()
        self.assertEqual(failovers[0][1], 'primary does not answer')
        self.assertEqual(self.fakes.reported, ['permits'])

    def test_silent_primary_delays_no_other_group(self) -> None:
        """A lost zone takes several primaries, each of which gives no status.

        Queried one after the other, the last would be replaced much later.
        """
        other = self.state.find_group('pitches')
        self.state.targets['two'] = build_entry('two', group='pitches')
        record = PrimaryRecord(
            'two', 1, is_changing=False, position=StorePosition(1, 6)
        )
        other.primary_tracker.update(record, read_clock())
        self.fakes.silent = {'one'}
        self.fakes.probed = NO_ANSWER
        self.group.record_failure(read_clock())
        other.record_failure(read_clock())
        names = [name for name, _reason, _planned in self.run_monitor()]
        self.assertIn('pitches', names)

    def test_failure_counts_from_when_the_request_was_sent(self) -> None:
        """Unless the primary answered another request meanwhile."""
        now = read_clock()
        self.group.record_failure(now - 0.5)
        self.assertEqual(self.group.unreachable_since, now - 0.5)
        self.group.record_answer(now - 0.3)
        self.group.record_failure(now - 0.5)
        self.assertEqual(self.group.unreachable_since, now - 0.3)

    def test_announced_failover_is_left_to_its_holder(self) -> None:
        """Its lease keeps all others out until it has expired."""
        changing = PrimaryRecord(
            'one', 1, is_changing=True, position=StorePosition(1, 6)
        )
        self.set_record(changing)
        self.assertEqual(self.run_monitor(), [])

    def test_busy_primary_stays(self) -> None:
        """An overloaded primary has no slot for a status query either."""
        self.fakes.probed = Probe(is_answered=True, report=None)
        self.group.record_failure(read_clock())
        self.assertEqual(self.run_monitor(), [])
        self.assertFalse(self.group.has_failed_probe)

    def test_leaving_primary_is_replaced_as_planned(self) -> None:
        """A planned failover lets the successor receive the log first."""
        self.state.targets = {'one': build_entry('one', is_leaving=True)}
        self.assertIn(('permits', 'primary leaves', True), self.run_monitor())

    def test_unlisted_primary_on_old_lists_stays(self) -> None:
        """After a partition, the outdated list may lack a new primary.

        The instance must read the lists before it judges the primary.
        """
        self.set_record(
            PrimaryRecord(
                'two', 2, is_changing=False, position=StorePosition(1, 9)
            )
        )
        self.state.lists_read_at = read_clock() - 5
        self.assertEqual(self.run_monitor(), [])

    def test_unlisted_primary_on_recent_lists_is_replaced(self) -> None:
        """A primary that is missing in a recent list has left."""
        self.set_record(
            PrimaryRecord(
                'two', 2, is_changing=False, position=StorePosition(1, 9)
            )
        )
        self.assertEqual(self.run_monitor()[0][1], 'primary is gone')

    def evacuate(self, *answering: str) -> None:
        """Evacuate the primary's zone beside a replica in another one."""
        self.state.targets['two'] = build_entry('two', zone='lima-b')
        self.state.evacuations = Evacuations(['lima-a'], 5)
        request = ZoneEvacuation(StorePosition(1, 9), is_requested=True)
        self.state.evacuations.update('lima-a', request, 1, 1)
        self.fakes.answering = answering
        self.run_monitor()

    def test_evacuated_primary_is_replaced_as_planned(self) -> None:
        """Guards against a primary that is used after the evacuation."""
        self.evacuate('two')
        self.assertEqual(
            self.fakes.failovers[0],
            ('permits', "primary's zone is evacuated", True),
        )

    def test_evacuated_primary_without_successor_is_left(self) -> None:
        """Guards against stopping a primary that nobody can follow."""
        self.evacuate('one')
        self.assertEqual(self.fakes.failovers, [])

    async def _run_monitor(self) -> None:
        fakes = self.fakes
        monitor = PrimaryMonitor(
            self.state, fakes, fakes, fakes, fakes.refresh_now, fakes
        )
        task = await curio.spawn(monitor.run, daemon=True)
        for _ in range(int(RUN_SECONDS / 0.1)):
            await curio.sleep(0.1)
            if self.group.primary_tracker.find_proof_age(read_clock()) < 10:
                self.set_record(self.group.primary_tracker.record)
        await task.cancel()


if __name__ == '__main__':
    unittest.main()
