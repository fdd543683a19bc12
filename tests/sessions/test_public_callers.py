"""Callers without a key, and an organisation that is named like them.

Such an organisation used to have no rate limit.
"""

import unittest

import curio

from comfreystair.clocks import read_clock
from comfreystair.coordination.rate_limiter import RateLimiter
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.manifest.serving import (
    PUBLIC_CLIENT,
    Client,
    Consistency,
    ServingRoute,
    build_plan,
)
from comfreystair.observability.counters import Counters
from comfreystair.platform.lines import parse_statement
from comfreystair.sessions.manager import SessionManager
from comfreystair.sessions.session import Session
from comfreystair.sessions.statements import DONE, Answer, Failure
from tests.coordination.fakes import FakeLog, FakePeers

KEY = 'key-of-the-organisation'
READ = parse_statement('1', 'READ a')
ROUTE = ServingRoute(
    'open', 'permits', Consistency.bounded, 1.5, 0.6, 0.2, 1, True
)


class FakeExecutor:
    """Runs every statement."""

    def reject_hopeless(self, *_request) -> None:
        """Reject nothing."""

    async def run(self, *_request) -> Answer:
        """Return success."""
        return DONE


class PublicCallersTest(unittest.TestCase):
    """A route that needs no key, and no keeper that grants tokens."""

    def setUp(self) -> None:
        """Create the sessions of an instance."""
        state = FleetState(InstanceRecord('a', 'z', 'a:1', 'a'))
        client = Client(PUBLIC_CLIENT, (KEY,), 1, 1)
        state.plan = build_plan(1, [ROUTE], [client], {'permits': 9}, 3)
        state.plan_proved_at = read_clock()
        self.desk = SessionManager(
            state,
            RateLimiter(state, FakePeers(), ('z',), FakeLog()),
            FakeExecutor(),
            None,
            None,
            5,
            Counters(),
            FakeLog(),
        )

    def read(self, key: str) -> Failure | None:
        """Return the failure of a caller's read."""
        session = Session('open', key)
        return curio.run(self.desk.execute, session, READ).failure

    def test_organisation_named_public_is_limited(self) -> None:
        """Guards against an organisation that escapes its rate limit."""
        self.assertEqual(self.read(KEY), Failure.overloaded)

    def test_caller_without_a_key_is_not_limited(self) -> None:
        """There is no organisation whose limit would apply."""
        self.assertIsNone(self.read(''))


if __name__ == '__main__':
    unittest.main()
