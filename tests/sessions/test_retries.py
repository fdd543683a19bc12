"""Retries of statements at targets that fail, with a budget."""

import types
import unittest

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.connections.retry_budget import RetryBudget
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.gateways import GatewaySelector
from comfreystair.manifest.serving import Consistency, build_plan
from comfreystair.pooling import local_execution as execution
from comfreystair.pooling.manager import PoolManager
from comfreystair.pooling.targets import TargetEntry
from comfreystair.sessions import attempts
from comfreystair.sessions.execution import StatementExecutor
from comfreystair.sessions.session import Session
from comfreystair.sessions.statements import Failure, build_failed_answer
from comfreystair.sessions.target_selector import TargetSelector
from tests.coordination.fakes import FakeLog, FakePeers
from tests.sessions.test_lost_primary import GROUP, READ, STABLE, build_route

ENTRY = TargetEntry('one', GROUP, 't:1', 'z', 2, 1, False, True)
FAILED = execution.Outcome(build_failed_answer(Failure.lagging))
DRAINING = execution.build_failed_outcome(
    execution.DeliveryFailure.away, 'shutting down'
)


class RetriesTest(unittest.TestCase):
    """An instance of a zone, and a primary that fails every statement."""

    def build(self, instances: int, outcome: execution.Outcome) -> None:
        """Create an instance among those of the primary's zone."""
        state = FleetState(InstanceRecord('0', 'z', '0:1', '0'))
        for number in map(str, range(1, instances)):
            state.instances[number] = InstanceRecord(number, 'z', 'a:1', number)
        state.plan = build_plan(1, [], [], {GROUP: 70}, 3)
        state.targets = {'one': ENTRY}
        state.find_group(GROUP).update_record(STABLE, read_clock())
        pools = PoolManager('z', None)
        self.outcome = outcome
        self.calls = 0
        self.budget = RetryBudget(read_clock())
        gateways = types.SimpleNamespace(run=self.run_statement)
        selector = GatewaySelector(state, FakePeers())
        control = attempts.RetryControl(self.budget, selector)
        self.executor = StatementExecutor(
            state,
            TargetSelector(state, pools, None, lambda: True),
            attempts.AttemptRunner(state, pools, gateways, FakeLog(), control),
            FakeLog(),
        )

    async def run_statement(self, _entry, _request) -> execution.Outcome:
        """Count an attempt, in place of the gateways."""
        self.calls += 1
        return self.outcome

    def read(self, count: int, organisation: str = 'office') -> set:
        """Let callers of an organisation read; return failures and details."""
        route = build_route(Consistency.primary)

        async def read_all() -> set:
            answers = [
                await self.executor.run(
                    Session('', ''), route, organisation, READ
                )
                for _ in range(count)
            ]
            return {(answer.failure, answer.detail) for answer in answers}

        return curio.run(read_all)

    def test_target_that_fails_every_request(self) -> None:
        """Guards against retries that multiply the load of such a target."""
        self.build(8, FAILED)
        answers = self.read(40)
        self.assertLess(self.calls, 50)
        self.assertEqual({one[0] for one in answers}, {Failure.overloaded})
        # The callers come back spread out.
        self.assertGreater(len(answers), 20)

    def test_callers_return_after_a_cut(self) -> None:
        """Guards against retries of all that come back at the same time."""
        self.build(8, FAILED)
        for number in range(50):
            self.read(1, f'office-{number}')
        self.assertLess(self.calls, 75)

    def test_retries_that_are_not_counted(self) -> None:
        """Guards against a budget at other gateways and in small fleets."""
        for instances, outcome in ((8, DRAINING), (7, FAILED)):
            self.build(instances, outcome)
            self.read(15)
            self.assertEqual(self.calls, 15 * attempts.MAX_ATTEMPTS)


if __name__ == '__main__':
    unittest.main()
