"""Requests of routes and organisations that list regions.

The primary is in the region ``sur``; replicas are in both regions and in a
zone that the settings do not contain.
"""

import unittest

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.positions import Position
from comfreystair.controllers.primary_tracking import PrimaryRecord
from comfreystair.controllers.store_position import StorePosition
from comfreystair.coordination.position_sampler import PositionSampler
from comfreystair.coordination.rate_limiter import RateLimiter
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.coordination.target_prober import Probe
from comfreystair.gateways import PinnedTransaction
from comfreystair.manifest.serving import (
    PUBLIC_CLIENT,
    Client,
    Consistency,
    ServingRoute,
    build_plan,
)
from comfreystair.observability.counters import Counters
from comfreystair.platform.lines import parse_statement
from comfreystair.pooling.local_execution import Outcome
from comfreystair.pooling.manager import PoolManager
from comfreystair.pooling.targets import TargetEntry, TargetReport
from comfreystair.sessions.attempts import AttemptRunner
from comfreystair.sessions.execution import StatementExecutor
from comfreystair.sessions.manager import SessionManager
from comfreystair.sessions.session import Session
from comfreystair.sessions.statements import DONE, Answer, Failure
from comfreystair.sessions.target_selector import TargetSelector
from comfreystair.sessions.transactions import TransactionManager
from tests.coordination.fakes import FakeLog, FakePeers
from tests.sessions.test_lost_primary import Keeper

GROUP = 'permits'
ZONES = {'norte-a': 'norte', 'sur-a': 'sur'}
TARGETS = {'home': 'norte-a', 'far': 'sur-a', 'lead': 'sur-a', 'lost': 'este'}
RECORD = PrimaryRecord('lead', 1, False, StorePosition(1, 5))
END = Position(1, 7)
LAGGING = Answer(failure=Failure.lagging)


def build_entry(ident: str) -> TargetEntry:
    """Return a target in its zone."""
    zone = TARGETS[ident]
    return TargetEntry(ident, GROUP, f'{ident}:1', zone, 2, 1, False, False)


class FakeGateways:
    """Records which target each request reaches."""

    def __init__(self) -> None:
        """Answer all requests with success, but for those given."""
        self.reached: list[str] = []
        self.rolled_back: list[str] = []
        self.answers: list[Answer] = []
        self.on_run = None

    async def run(self, entry, _request) -> Outcome:
        """Run a statement."""
        self.reached.append(entry.ident)
        if self.on_run is not None:
            self.on_run()
        return Outcome(self.answers.pop() if self.answers else DONE)

    async def begin(self, entry, _request, _is_read_only):
        """Begin a transaction."""
        self.reached.append(entry.ident)
        return Outcome(DONE), PinnedTransaction(entry, None, 'handle')

    async def run_pinned(self, pinned, request) -> Outcome:
        """Run a statement of a transaction."""
        return await self.run(pinned.entry, request)

    async def rollback(self, pinned) -> None:
        """Roll a transaction back."""
        self.rolled_back.append(pinned.entry.ident)


class HomesTest(unittest.TestCase):
    """One instance with its callers."""

    def setUp(self) -> None:
        """Know the targets, the primary and a position of it."""
        self.state = FleetState(
            InstanceRecord('a', 'norte-a', 'a:1', 'a'), ZONES
        )
        self.state.targets = {ident: build_entry(ident) for ident in TARGETS}
        self.tracker = self.state.find_group(GROUP).primary_tracker
        self.tracker.update(RECORD, read_clock())
        self.tracker.add_sample(read_clock(), END)
        self.gateways = FakeGateways()
        peers = FakePeers()
        self.keeper = Keeper(peers)
        self.state.keepers = {'z': InstanceRecord('k', 'z', 'k:1', 'k')}
        pools, log = PoolManager('norte-a', None), FakeLog()
        curio.run(
            pools.update,
            self.state.targets.values(),
            lambda _entry: 10,
            lambda _entry: True,
        )
        self.selector = TargetSelector(
            self.state,
            pools,
            self.refresh,
            lambda: True,
            PositionSampler(self.state, self).request,
        )
        attempts = AttemptRunner(self.state, pools, self.gateways, log)
        parts = (self.state, self.selector, attempts)
        self.desk = SessionManager(
            self.state,
            RateLimiter(self.state, peers, ('z',), log),
            StatementExecutor(*parts, log),
            TransactionManager(*parts, self.gateways),
            self.refresh,
            5,
            Counters(),
            log,
        )
        self.put_in_force()

    async def refresh(self) -> None:
        """Ignore the request."""

    async def probe(self, _entry: TargetEntry) -> Probe:
        """Return the primary's status."""
        return Probe(is_answered=True, report=TargetReport(True, 1, END))

    def put_in_force(self, client: str = '', route: str = '') -> None:
        """Allow an organisation and its routes some regions."""
        regions = frozenset(route.split())
        self.state.plan = build_plan(
            1,
            [
                ServingRoute(
                    one.name, GROUP, one, 1.5, 0.6, 0.2, 1, True, regions
                )
                for one in Consistency
            ],
            [Client(PUBLIC_CLIENT, ('key',), 9, 9, frozenset(client.split()))],
            {GROUP: 90},
            3,
        )
        self.state.plan_proved_at = read_clock()

    def add_list(self) -> None:
        """Allow the organisation one region from now on."""
        self.put_in_force(client='norte')

    def execute(
        self, *texts: str, route: str = 'bounded', key: str = 'key'
    ) -> list[Answer]:
        """Return the answers to the statements of one session."""
        session = Session(route, key)

        async def run() -> list[Answer]:
            return [
                await self.desk.execute(session, parse_statement('1', text))
                for text in texts
            ]

        return curio.run(run)

    def read_often(self, **caller: str) -> set[str]:
        """Return the targets that single reads and transactions reach."""
        for _ in range(50):
            self.execute('READ a', **caller)
            self.execute('BEGIN READ', 'READ a', 'COMMIT', **caller)
        return set(self.gateways.reached)

    def assert_rejected(self, answers: list[Answer]) -> None:
        """Check that requests were rejected at once, without a token."""
        for answer in answers:
            self.assertEqual(answer.failure, Failure.overloaded)
            self.assertIn('allowed regions, not run', answer.detail)
        self.assertEqual(self.gateways.reached, [])
        self.assertEqual(self.keeper.requests, 0)
        self.assertEqual(self.selector.region_rejections, len(answers))

    def test_without_lists_all_targets_are_used(self) -> None:
        """Guards against a filter where nobody lists regions."""
        self.assertLessEqual({'home', 'far', 'lost'}, self.read_often())
        self.assertIsNone(self.execute('WRITE a b')[0].failure)

    def test_organisation_stays_in_its_region(self) -> None:
        """Guards against its requests at targets elsewhere or of no region."""
        self.put_in_force(client='norte')
        self.assertEqual(self.read_often(), {'home'})

    def test_both_lists_apply(self) -> None:
        """Guards against a list that is overridden by the other one."""
        self.put_in_force(client='norte este', route='norte sur')
        self.assertEqual(self.read_often(), {'home'})

    def test_list_applies_to_the_holder_of_a_key(self) -> None:
        """Guards against the list of an organisation that is named public."""
        self.put_in_force(client='norte')
        self.assertIn('far', self.read_often(key=''))

    def test_no_allowed_target_rejects_at_once(self) -> None:
        """Guards against a misspelt region that opens others, and waits."""
        answers: list[Answer] = []
        for client, route in (('nrote', ''), ('', 'este'), ('norte', 'sur')):
            self.put_in_force(client, route)
            answers += self.execute('READ a', 'WRITE a b', 'BEGIN READ')
        self.assert_rejected(answers)

    def test_primary_elsewhere_rejects_at_once(self) -> None:
        """Guards against requests that wait for it or take a token."""
        self.put_in_force(route='norte')
        answers = self.execute('WRITE a b', 'BEGIN')
        answers += self.execute('READ a', 'BEGIN READ', route='primary')
        self.assert_rejected(answers)

    def test_replica_at_home_reads_while_primary_is_elsewhere(self) -> None:
        """Guards against reads that never get a position, or only lag once."""
        self.put_in_force(client='norte')
        self.tracker._samples.clear()
        self.gateways.answers = [LAGGING]
        self.assertIsNone(self.execute('READ a')[0].failure)
        self.assertEqual(self.gateways.reached, ['home', 'home'])

    def test_retry_follows_the_plan_in_force(self) -> None:
        """Guards against a retry under the lists of the first attempt."""
        self.put_in_force(client='sur')
        self.gateways.on_run = self.add_list
        self.gateways.answers = [LAGGING]
        self.execute('READ a')
        self.assertEqual(self.gateways.reached[1:], ['home'])

    def test_transaction_ends_when_a_list_is_added(self) -> None:
        """Guards against later statements and commits at its target."""
        for last in ('READ a', 'COMMIT'):
            self.put_in_force()
            self.gateways.on_run = self.add_list
            answers = self.execute('BEGIN', 'WRITE a b', last)
            self.assertIsNone(answers[1].failure)
            self.assertEqual(answers[2].failure, Failure.aborted)
        self.assertEqual(self.gateways.reached, ['lead'] * 4)
        self.assertEqual(self.gateways.rolled_back, ['lead'] * 2)

    def test_transaction_does_not_start_elsewhere(self) -> None:
        """Guards against a first statement that runs, or waits to be."""
        session = Session('bounded', 'key')

        async def run() -> Answer:
            await self.desk.execute(session, parse_statement('1', 'BEGIN'))
            self.add_list()
            began_at = read_clock()
            answer = await self.desk.execute(
                session, parse_statement('2', 'WRITE a b')
            )
            self.assertLess(read_clock() - began_at, 0.1)
            return answer

        self.assertIn('allowed regions, not run', curio.run(run).detail)
        self.assertEqual(self.gateways.reached, [])

    def test_resting_transaction_is_rolled_back(self) -> None:
        """Guards against locks that stay until its caller comes back."""
        session = Session('bounded', 'key')
        self.desk.sessions.add(session)

        async def run() -> None:
            for text in ('BEGIN', 'WRITE a b'):
                await self.desk.execute(session, parse_statement('1', text))
            session.reader_task = object()
            self.put_in_force(client='norte')
            await self.desk._rollback_idle_since(0)

        curio.run(run)
        self.assertEqual(self.gateways.rolled_back, ['lead'])


if __name__ == '__main__':
    unittest.main()
