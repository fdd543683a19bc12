"""Sharing of 98 connections by 140 instances and 86 organisations.

Guards against refused connections and against opening a connection for every
statement. Both occur when callers of every organisation use every instance and
each instance opens its own connections to the same target. A few organisations
are large.
"""

import random
import unittest

import curio

from comfreystair.pooling.local_execution import DeliveryFailure
from tests.gateways.fleet import (
    CONNECTIONS,
    ENTRY,
    FakeTarget,
    Fleet,
    build_request,
)

INSTANCES = 140
ORGANISATIONS = 86
STATEMENTS = 2000
CONCURRENCY = 5
WARM_UP_STATEMENTS = 1000
# Opening a connection costs the target as much as a statement. After the
# warm-up, a tenth of the target's time may be spent on that.
MAX_OPENED = STATEMENTS / 10


class ConnectionSharingTest(unittest.TestCase):
    """The connection limit holds, and connections are reused."""

    def test_connections_are_shared_by_the_fleet(self) -> None:
        """No connection is refused; most statements reuse an open one."""
        target = FakeTarget(CONNECTIONS)
        curio.run(self._run_workload, target)
        self.assertEqual(self.served, WARM_UP_STATEMENTS + STATEMENTS)
        self.assertEqual(target.refused, 0)
        self.assertLessEqual(target.peak_connections, CONNECTIONS)
        self.assertLess(target.opened - self.opened_before, MAX_OPENED)

    async def _run_workload(self, target: FakeTarget) -> None:
        self.fleet = Fleet(INSTANCES, target)
        self.rng = random.Random(7)
        self.served = 0
        await self.fleet.update()
        await self._run_concurrently(WARM_UP_STATEMENTS)
        self.opened_before = target.opened
        await self._run_concurrently(STATEMENTS)

    async def _run_concurrently(self, count: int) -> None:
        shares = [count // CONCURRENCY] * CONCURRENCY
        tasks = [
            await curio.spawn(self._run_statements, share) for share in shares
        ]
        for task in tasks:
            await task.join()

    async def _run_statements(self, count: int) -> None:
        names = list(self.fleet.clients)
        organisations = [f'office-{rank}' for rank in range(ORGANISATIONS)]
        weights = [1 / (rank + 1) for rank in range(ORGANISATIONS)]
        for _ in range(count):
            client = self.fleet.clients[self.rng.choice(names)]
            organisation = self.rng.choices(organisations, weights)[0]
            outcome = await client.run(ENTRY, build_request(organisation))
            self.served += outcome.delivery_failure is DeliveryFailure.none
            # The statement must run on a connection of its own organisation.
            self.assertEqual(outcome.answer.rows, (organisation,))


if __name__ == '__main__':
    unittest.main()
