"""Pattern: callers that retry against a group whose primary is lost.

In the seconds of a zone cut every request to the group used to wait for almost
half of its time and to take a token, and so did each retry: callers reached
their deadlines, and their organisation had no tokens when the group had a
primary again.
"""

import re
import unittest

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.places.evacuation import (
    Evacuations,
    ZoneEvacuation,
)
from comfreystair.controllers.positions import Position
from comfreystair.controllers.primary_tracking import PrimaryRecord
from comfreystair.controllers.store_position import StorePosition
from comfreystair.coordination.rate_limiter import RateLimiter
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.manifest.serving import (
    Client,
    Consistency,
    ServingRoute,
    build_plan,
)
from comfreystair.observability.counters import Counters
from comfreystair.peers.messages import definitions
from comfreystair.pooling.manager import PoolManager
from comfreystair.pooling.targets import TargetEntry
from comfreystair.sessions.execution import StatementExecutor
from comfreystair.sessions.manager import SessionManager
from comfreystair.sessions.session import Session
from comfreystair.sessions.statements import (
    Answer,
    Failure,
    Statement,
    StatementKind,
)
from comfreystair.sessions.target_selector import TargetSelector
from tests.coordination.fakes import FakeLog, FakePeers

GROUP = 'permits'
CALLERS = 140
RETRIES = 3
STABLE = PrimaryRecord(
    'one', 1, is_changing=False, position=StorePosition(1, 5)
)
CHANGING = STABLE._replace(is_changing=True, position=StorePosition(1, 6))
WRITE = Statement('w', StatementKind.write, 'WRITE a b')
READ = Statement('r', StatementKind.read, 'READ a')
BEGIN = Statement('b', StatementKind.begin, 'BEGIN')


def build_route(consistency: Consistency) -> ServingRoute:
    """Return the route of a database named like its consistency."""
    return ServingRoute(
        consistency.name, GROUP, consistency, 1.5, 0.6, 0.2, 1, False
    )


class FakeAttempts:
    """Counts the attempts at targets, all of which succeed."""

    def __init__(self) -> None:
        """Initialise without attempts."""
        self.targets: list[str] = []

    async def run(self, _session, selected, _request) -> Answer:
        """Record an attempt."""
        self.targets.append(selected.entry.ident)
        return Answer((), 'signed')


class Keeper:
    """Grants tokens and counts the requests for them."""

    def __init__(self, peers: FakePeers) -> None:
        """Serve the requests of all instances."""
        self.requests = 0
        peers.serve('k:1', 'grant', self.grant)

    async def grant(self, _request) -> object:
        """Grant one token."""
        self.requests += 1
        return definitions.Grant(tokens=1, retry_seconds=0, is_keeper=True)


class LostPrimaryTest(unittest.TestCase):
    """One instance, its callers, and a group of three targets."""

    def setUp(self) -> None:
        """Create an instance whose primary answered a moment ago."""
        now = read_clock()
        peers = FakePeers()
        self.keeper = Keeper(peers)
        self.state = FleetState(InstanceRecord('a', 'z', 'a:1', 'a'))
        self.state.keepers = {'z': InstanceRecord('k', 'z', 'k:1', 'k')}
        self.state.plan = build_plan(
            1,
            [build_route(one) for one in Consistency],
            [Client('org', ('key',), 100, 100)],
            {GROUP: 90},
            3,
        )
        self.state.plan_proved_at = now
        self.state.targets = {
            ident: TargetEntry(ident, GROUP, 't:1', 'z', 2, 1, False, False)
            for ident in ('one', 'two', 'three')
        }
        self.group = self.state.find_group(GROUP)
        self.group.update_record(STABLE, now)
        self.group.primary_tracker.add_sample(now, Position(1, 7))
        self.attempts = FakeAttempts()
        self.desk = self.build_desk(peers)

    def build_desk(self, peers: FakePeers) -> SessionManager:
        """Return the sessions of the instance."""
        pools = PoolManager('z', None)
        curio.run(
            pools.update,
            self.state.targets.values(),
            lambda _entry: 10,
            lambda _entry: True,
        )
        log = FakeLog()
        selector = TargetSelector(
            self.state, pools, self.refresh_now, lambda: True
        )
        return SessionManager(
            self.state,
            RateLimiter(self.state, peers, ('z',), log),
            StatementExecutor(self.state, selector, self.attempts, log),
            None,
            self.refresh_now,
            5,
            Counters(),
            log,
        )

    async def refresh_now(self) -> None:
        """Ignore the request."""

    def lose_primary(self) -> None:
        """Let a request to the primary and the status query fail."""
        self.group.record_failure(read_clock())
        self.group.has_failed_probe = True

    def execute_all(
        self, consistency: Consistency, statement: Statement
    ) -> list[Answer]:
        """Let every caller try a statement a few times; return the answers."""

        async def wait(_seconds: float) -> None:
            raise AssertionError('a request waits for a primary')

        async def execute() -> list[Answer]:
            answers: list[Answer] = []
            for _ in range(CALLERS * RETRIES):
                session = Session(consistency.name, 'key')
                answers.append(await self.desk.execute(session, statement))
            return answers

        self.group.wait_for_change = wait
        return curio.run(execute)

    def assert_rejected(self, answers: list[Answer], seconds: float) -> None:
        """Check that nothing ran and that callers come back spread out."""
        delays = {
            int(re.search(r'retry after (\d+) ms', one.detail).group(1))
            for one in answers
        }
        failures = {one.failure for one in answers}
        self.assertEqual(failures, {Failure.overloaded})
        self.assertTrue(all('not run' in one.detail for one in answers))
        self.assertEqual(self.attempts.targets, [])
        self.assertEqual(self.keeper.requests, 0)
        self.assertGreaterEqual(min(delays), seconds * 1000)
        self.assertGreater(len(delays), CALLERS // 2)

    def test_dark_primary_rejects_writes_at_once(self) -> None:
        """Its detection and replacement take longer than the deadline."""
        self.lose_primary()
        for statement in (WRITE, BEGIN):
            answers = self.execute_all(Consistency.bounded, statement)
            self.assert_rejected(answers, 0.9)

    def test_dark_primary_rejects_strict_reads_at_once(self) -> None:
        """Only the primary can run them."""
        self.lose_primary()
        answers = self.execute_all(Consistency.primary, READ)
        self.assert_rejected(answers, 0.9)

    def test_announced_failover_rejects_at_once(self) -> None:
        """Callers come back when it should be over."""
        self.group.update_record(CHANGING, float('-inf'))
        answers = self.execute_all(Consistency.primary, WRITE)
        self.assert_rejected(answers, 0.2)

    def test_replicas_still_serve_reads_within_their_bound(self) -> None:
        """What can be answered is answered."""
        self.lose_primary()
        answers = self.execute_all(Consistency.bounded, READ)
        self.assertEqual({one.failure for one in answers}, {None})
        self.assertEqual(set(self.attempts.targets), {'two', 'three'})

    def evacuate(self, *zones: str, free_for: float) -> None:
        """Evacuate zones that were free until some seconds ago."""
        now = read_clock()
        evacuations = Evacuations(zones, 5)
        request = ZoneEvacuation(StorePosition(1, 9), is_requested=True)
        for zone in zones:
            evacuations.update(zone, ZoneEvacuation(), now - free_for, now)
            evacuations.update(zone, request, now, now)
        self.state.evacuations = evacuations

    def test_evacuated_zone_gets_no_reads(self) -> None:
        """Guards against reads that stay in an evacuated zone."""
        self.state.targets['three'] = self.state.targets['three']._replace(
            zone='y'
        )
        self.evacuate('z', free_for=0)
        answers = self.execute_all(Consistency.bounded, READ)
        self.assertEqual({one.failure for one in answers}, {None})
        self.assertEqual(set(self.attempts.targets), {'three'})

    def test_evacuated_primary_serves_until_it_is_replaced(self) -> None:
        """Guards against writes refused before a failover has begun."""
        self.evacuate('z', free_for=0)
        answers = self.execute_all(Consistency.primary, WRITE)
        self.assertEqual({one.failure for one in answers}, {None})

    def test_evacuation_of_all_zones_rejects_at_once(self) -> None:
        """Guards against requests that wait for a target until a deadline.

        No target may lead the group or run a read.
        """
        self.evacuate('z', free_for=5)
        for statement in (WRITE, READ, BEGIN):
            answers = self.execute_all(Consistency.bounded, statement)
            self.assert_rejected(answers, 4)

    def test_primary_that_answers_again_is_used(self) -> None:
        """The status query ends the rejections."""
        self.lose_primary()
        self.group.record_answer(read_clock())
        answers = self.execute_all(Consistency.primary, WRITE)
        self.assertEqual({one.failure for one in answers}, {None})


if __name__ == '__main__':
    unittest.main()
