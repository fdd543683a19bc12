"""A load of 140 instances and 86 organisations before 98 connections.

The pattern: callers of every organisation come to every instance, so that
each instance needs each organisation's connection to the same target. A few
organisations are large.
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
    build_work,
)

INSTANCES = 140
ORGANISATIONS = 86
STATEMENTS = 2000
AT_A_TIME = 5
WARM_UP = 1000
# A new connection takes a target as long as a statement; in the long run a
# tenth of its time may go into them.
MOST_OPENED = STATEMENTS / 10


class ManyInstancesTest(unittest.TestCase):
    """The limit holds, and connections are used again."""

    def test_connections_are_shared_by_the_fleet(self) -> None:
        """No connection is refused; most statements find one open."""
        target = FakeTarget(CONNECTIONS)
        curio.run(self._play, target)
        self.assertEqual(self.served, WARM_UP + STATEMENTS)
        self.assertEqual(target.refused, 0)
        self.assertLessEqual(target.most, CONNECTIONS)
        self.assertLess(target.opened - self.opened_before, MOST_OPENED)

    async def _play(self, target: FakeTarget) -> None:
        self.fleet = Fleet(INSTANCES, target)
        self.draw = random.Random(7)
        self.served = 0
        await self.fleet.update()
        await self._call_side_by_side(WARM_UP)
        self.opened_before = target.opened
        await self._call_side_by_side(STATEMENTS)

    async def _call_side_by_side(self, count: int) -> None:
        shares = [count // AT_A_TIME] * AT_A_TIME
        tasks = [await curio.spawn(self._call, share) for share in shares]
        for task in tasks:
            await task.join()

    async def _call(self, count: int) -> None:
        names = list(self.fleet.relays)
        organisations = [f'office-{rank}' for rank in range(ORGANISATIONS)]
        weights = [1 / (rank + 1) for rank in range(ORGANISATIONS)]
        for _ in range(count):
            relay = self.fleet.relays[self.draw.choice(names)]
            organisation = self.draw.choices(organisations, weights)[0]
            outcome = await relay.run(ENTRY, build_work(organisation))
            self.served += outcome.delivery_failure is DeliveryFailure.none
            # An organisation's statements run on its own connections.
            self.assertEqual(outcome.answer.rows, (organisation,))


if __name__ == '__main__':
    unittest.main()
