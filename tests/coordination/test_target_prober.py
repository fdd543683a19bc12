"""Status queries to targets that are busy or do not answer."""

import unittest

import curio

from comfreystair.controllers.positions import Position
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.coordination.target_prober import TargetProber
from comfreystair.exceptions import ComfreystairError
from comfreystair.pooling.targets import TargetEntry, TargetReport
from tests.coordination.fakes import FakeLog

GROUP = 'permits'
REPORT = TargetReport(True, 1, Position(1, 7))
# More than the busy target needs, in seconds.
BUSY_SECONDS = 5.0


class FakeConnection:
    """A connection to a target that may be busy."""

    def __init__(self, reports: list[TargetReport | None]) -> None:
        """Initialise with the answers to the next queries."""
        self._reports = reports

    async def ask_status(self, seconds: float) -> TargetReport | None:
        """Return the next answer, nothing for a busy target."""
        return self._reports.pop(0)

    async def close(self) -> None:
        """Do nothing."""


class QueryGroupTest(unittest.TestCase):
    """A group with one target."""

    def setUp(self) -> None:
        """Have the target be busy for two queries."""
        state = FleetState(InstanceRecord('own', 'z', 'own:1', 'own'))
        state.targets = {
            't': TargetEntry('t', GROUP, 't:2', 'z', 2, 1, False, True)
        }
        self.reports = [None, None, REPORT]
        self.tries = 0
        self.prober = TargetProber(state, self.open, FakeLog())

    async def open(self, entry: TargetEntry, _seconds: float):
        """Open a connection; it fails when no answer is left."""
        self.tries += 1
        if entry.ident == 'odd':
            raise OverflowError('port must be 0-65535')
        if not self.reports:
            raise ComfreystairError('no answer', 'connect')
        return FakeConnection(self.reports)

    def query(self, busy_seconds: float) -> list[str]:
        """Return the ids of the targets that gave their status."""

        async def query() -> list:
            return await self.prober.query_group(
                GROUP, busy_seconds=busy_seconds
            )

        return [status.ident for status in curio.run(query)]

    def test_error_with_one_target_leaves_the_others(self) -> None:
        """Guards against an address that stops each change of primary."""
        self.reports = [REPORT]
        state = self.prober._state
        state.targets = {
            'odd': TargetEntry('odd', GROUP, 't:9', 'z', 2, 1, False, False),
            **state.targets,
        }
        self.assertEqual(self.query(0), ['t'])

    # Guards against: a target that is only busy counts as one that is down.
    def test_busy_target_is_queried_again(self) -> None:
        """It gives its status once it has a free slot."""
        self.assertEqual(self.query(BUSY_SECONDS), ['t'])
        self.assertEqual(self.tries, 3)

    def test_target_that_does_not_answer_is_not_waited_for(self) -> None:
        """It is queried once."""
        self.reports.clear()
        self.assertEqual(self.query(BUSY_SECONDS), [])
        self.assertEqual(self.tries, 1)

    def test_busy_target_is_queried_once_by_default(self) -> None:
        """A failover's own polls repeat the query."""
        self.assertEqual(self.query(0), [])
        self.assertEqual(self.tries, 1)


if __name__ == '__main__':
    unittest.main()
