"""Positions of a primary that this instance's requests do not reach."""

import unittest

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.positions import Position
from comfreystair.controllers.primary_tracking import PrimaryRecord
from comfreystair.controllers.store_position import StorePosition
from comfreystair.coordination.position_sampler import PositionSampler
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.coordination.target_prober import Probe
from comfreystair.pooling.targets import TargetEntry, TargetReport

END = Position(1, 7)
GOOD = Probe(is_answered=True, report=TargetReport(True, 1, END))
DEMOTED = Probe(is_answered=True, report=TargetReport(False, 2, END))
SILENT = Probe(is_answered=False, report=None)


class PositionSamplerTest(unittest.TestCase):
    """One primary, queried by ten reads at the same time."""

    def sample(self, probe: Probe, successor: str = 'one') -> Position | None:
        """Return the position known after a query with a given outcome.

        :param successor: the primary while the query runs.
        """
        state = FleetState(InstanceRecord('a', 'z', 'a:1', 'a'))
        state.targets['one'] = TargetEntry(
            'one', 'g', 'one:1', 'z', 2, 1, False, True
        )
        self.group = state.find_group('g')
        self.queries = 0
        record = PrimaryRecord('one', 1, False, StorePosition(1, 5))
        self.group.update_record(record, read_clock())

        async def query(_entry: TargetEntry) -> Probe:
            self.queries += 1
            changed = record._replace(
                primary=successor, position=StorePosition(1, 6)
            )
            self.group.update_record(changed, read_clock())
            return probe

        self.probe = query
        sampler = PositionSampler(state, self)

        async def run() -> None:
            for _ in range(10):
                await sampler.request('g')
                await curio.sleep(0)

        curio.run(run)
        sample = self.group.primary_tracker.find_sample(0)
        return sample.position if sample else None

    def test_one_query_serves_all_reads(self) -> None:
        """Guards against a primary that is loaded with status queries."""
        self.assertEqual(self.sample(GOOD), END)
        self.assertEqual(self.queries, 1)

    def test_only_the_present_primary_gives_a_position(self) -> None:
        """Guards against stale reads after a failover."""
        self.assertIsNone(self.sample(DEMOTED))
        self.assertIsNone(self.sample(GOOD, successor='two'))

    def test_silent_primary_is_left_to_the_monitor(self) -> None:
        """Guards against a lost primary that no instance notices."""
        self.assertIsNone(self.sample(SILENT))
        self.assertIsNotNone(self.group.unreachable_since)
        self.sample(SILENT, successor='two')
        self.assertIsNone(self.group.unreachable_since)


if __name__ == '__main__':
    unittest.main()
