"""Statements and transactions at a target with priority admission."""

import functools
import unittest

import curio

from comfreystair.clocks import read_clock
from comfreystair.observability.admission import AdmissionReport
from comfreystair.pooling.local_execution import DeliveryFailure, LocalExecutor
from comfreystair.pooling.manager import PoolManager
from comfreystair.pooling.priority_semaphore import (
    AdmissionSemaphore,
    PrioritySemaphore,
)
from comfreystair.sessions.statements import StatementKind
from tests.coordination.fakes import FakeLog
from tests.gateways.fleet import ENTRY, FakeTarget, build_request

AIM_SECONDS = 0.2


def build_timely(organisation: str, priority: int, kind=StatementKind.read):
    """Return a request whose latency objective begins now."""
    return build_request(organisation, kind)._replace(
        priority=priority,
        aim_at=read_clock() + AIM_SECONDS,
        aim_seconds=AIM_SECONDS,
    )


class AdmissionTest(unittest.TestCase):
    """One instance and a target of three slots."""

    def setUp(self) -> None:
        """Create the instance with the switch on."""
        self.target = FakeTarget(100)
        self.log = FakeLog()
        self.report = AdmissionReport(self.log)
        self.local = self.build_local(
            functools.partial(AdmissionSemaphore, report=self.report)
        )

    def build_local(self, build_semaphore) -> LocalExecutor:
        """Return an executor with connections to the target."""
        pools = PoolManager(
            'lima-a', self.target.open, build_semaphore=build_semaphore
        )
        curio.run(pools.update, [ENTRY], lambda _: 20, lambda _: True)
        return LocalExecutor(pools, self.log)

    @property
    def semaphore(self) -> AdmissionSemaphore:
        """Return the semaphore of the target."""
        return self.local._pools.find_pool(ENTRY.ident).semaphore

    async def fill(self, seconds: float = 0.5) -> list:
        """Let begins take all slots of the target for a time."""
        self.target.begin_seconds = seconds
        kind = StatementKind.begin
        return [
            await curio.spawn(
                self.local.begin, 't', f'h-{number}',
                build_timely('red', 0, kind), False,
            )
            for number in range(ENTRY.slots)
        ]  # fmt: skip

    def test_rejection_comes_at_once_and_nothing_was_sent(self) -> None:
        """Guards against a caller that learns late, or wrongly, of a no."""

        async def scenario() -> None:
            tasks = await self.fill()
            await curio.sleep(0.3)
            request = build_timely('red', 2)
            rejected = await curio.spawn(self.local.run, 't', request)
            await curio.sleep(0)
            self.assertTrue(rejected.terminated)
            outcome = await rejected.join()
            self.assertEqual(outcome.delivery_failure, DeliveryFailure.full)
            self.assertFalse(outcome.is_sent)
            self.assertGreater(outcome.retry_seconds, 0)
            for task in tasks:
                await task.join()

        curio.run(scenario)
        self.assertNotIn('READ', ''.join(self.target.statements).upper())
        self.assertIn('{priority="2",reason="shed"} 1\n', self.report.format())
        self.assertEqual(self.log.events, ['admission_rejected'])

    def test_statement_of_open_transaction_goes_first(self) -> None:
        """Guards against a transaction that waits behind new requests."""

        async def scenario() -> None:
            request = build_timely('red', 2, StatementKind.begin)
            await self.local.begin('t', 'open', request, False)
            tasks = await self.fill(0.03)
            await curio.sleep(0.01)
            single = build_timely('red', 0)
            waiting = await curio.spawn(self.local.run, 't', single)
            await curio.sleep(0)
            late = build_timely('red', 2, StatementKind.write)
            await self.local.run_pinned('open', late)
            for task in (*tasks, waiting):
                await task.join()

        curio.run(scenario)
        order = [one for one in self.target.statements if one != 'begin']
        self.assertEqual(order, ['write', 'read'])

    def test_begin_takes_a_slot_only_when_switched_on(self) -> None:
        """Guards against a changed wait of begins with the switch off."""

        async def scenario() -> int:
            tasks = await self.fill()
            await curio.sleep(0.01)
            load = self.semaphore.load
            for task in tasks:
                await task.join()
            return load

        self.assertEqual(curio.run(scenario), ENTRY.slots)
        self.assertEqual(self.semaphore.load, 0)
        self.local = self.build_local(PrioritySemaphore)
        self.assertEqual(curio.run(scenario), 0)

    def test_cancelled_requests_leave_no_slot_taken(self) -> None:
        """Guards against slots lost to callers that went away."""

        async def scenario() -> None:
            tasks = await self.fill()
            for _ in range(3):
                request = build_timely('red', 1)
                tasks.append(await curio.spawn(self.local.run, 't', request))
            await curio.sleep(0.01)
            for task in tasks:
                await task.cancel()

        curio.run(scenario)
        self.assertEqual(self.semaphore.load, 0)
