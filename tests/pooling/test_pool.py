"""Connections of one target, shared by organisations."""

import unittest

import curio

from comfreystair.pooling.exceptions import PoolError, TargetLostError
from comfreystair.pooling.priority_semaphore import PrioritySemaphore
from comfreystair.pooling.targets import TargetEntry
from comfreystair.pooling.pool import TargetPool, align
from comfreystair.sessions.statements import DONE

ENTRY = TargetEntry('t', 'permits', 't:1', 'lima-a', 2, 1, False, False)


class FakeConnection:
    """Note what is set; answer everything."""

    def __init__(self, organisation: str) -> None:
        """Start open."""
        self.organisation = organisation
        self.is_closed = False
        self.asked: list[str] = []

    async def set_value(self, name: str, text: str, _seconds: float):
        """Note a value."""
        self.asked.append(f'{name}={text}')
        return DONE

    async def reset(self, _seconds: float):
        """Note a reset."""
        self.asked.append('reset')
        return DONE

    async def close(self) -> None:
        """Note the end."""
        self.is_closed = True


class PoolTest(unittest.TestCase):
    """A pool of two connections."""

    def setUp(self) -> None:
        """Open fake connections, or none when told so."""
        self.opened: list[FakeConnection] = []
        self.is_reachable = True
        self.pool = TargetPool(ENTRY, 2, self.open)

    async def open(self, _entry, organisation: str, _seconds: float):
        """Open a connection."""
        if not self.is_reachable:
            raise TargetLostError('no answer', 'open')
        self.opened.append(FakeConnection(organisation))
        return self.opened[-1]

    def test_resting_connection_is_used_again(self) -> None:
        """By its organisation; another's replaces the oldest."""

        async def play() -> None:
            for name in ('red', 'red', 'blue', 'green'):
                await self.pool.give_back(await self.pool.take(name, 1, 1))

        curio.run(play)
        names = [one.organisation for one in self.opened]
        self.assertEqual(names, ['red', 'blue', 'green'])
        self.assertTrue(self.opened[0].is_closed)

    def test_full_pool_makes_others_wait_in_turn(self) -> None:
        """The one that waits gets the connection that is given back."""

        async def play() -> str:
            held = [await self.pool.take('red', 1, 1) for _ in range(2)]
            task = await curio.spawn(self.pool.take, 'red', 1, 5)
            await curio.sleep(0.01)
            await self.pool.give_back(held[0])
            taken = await task.join()
            return 'same' if taken is held[0] else 'other'

        self.assertEqual(curio.run(play), 'same')

    def test_failed_opening_gives_its_place_back(self) -> None:
        """A target that comes back can be reached again."""

        async def play() -> None:
            self.is_reachable = False
            for _ in range(3):
                with self.assertRaises(TargetLostError):
                    await self.pool.take('red', 1, 1)
            self.is_reachable = True
            for _ in range(2):
                await self.pool.take('red', 1, 1)

        curio.run(play)
        self.assertEqual(self.pool.held, 2)

    def test_connection_promised_to_a_waiter_is_not_closed(self) -> None:
        """Closing what rests between its promise and its use loses no place."""

        async def play() -> None:
            held = [await self.pool.take('red', 1, 1) for _ in range(2)]
            waiting = await curio.spawn(self.pool.take, 'red', 1, 5)
            await curio.sleep(0)
            await self.pool.give_back(held[0])
            await self.pool.close_resting()
            await self.pool.give_back(await waiting.join())

        curio.run(play)
        self.assertEqual(self.pool.held, 1)

    def test_raised_limit_lets_all_that_wait_in(self) -> None:
        """As many as now fit, although no connection was given back."""

        async def play() -> None:
            pool = TargetPool(ENTRY, 1, self.open)
            await pool.take('red', 1, 1)
            waiting = [
                await curio.spawn(pool.take, 'red', 1, 0.5) for _ in range(2)
            ]
            await curio.sleep(0)
            await pool.set_limit(3)
            for task in waiting:
                await task.join()

        curio.run(play)
        self.assertEqual(len(self.opened), 3)

    def test_waiting_ends_in_time(self) -> None:
        """With an error that says that nothing was sent."""

        async def play() -> None:
            for _ in range(2):
                await self.pool.take('red', 1, 1)
            with self.assertRaises(PoolError):
                await self.pool.take('red', 1, 0.1)

        curio.run(play)
        self.assertEqual(self.pool.waiting, 0)

    def test_values_are_exactly_the_sessions(self) -> None:
        """What another session had set is dropped first."""

        async def play() -> list[str]:
            pooled = await self.pool.take('red', 1, 1)
            await align(pooled, {'a': '1', 'b': '2'}, 1)
            await align(pooled, {'a': '1'}, 1)
            return self.opened[0].asked

        self.assertEqual(curio.run(play), ['a=1', 'b=2', 'reset', 'a=1'])


class GateTest(unittest.TestCase):
    """Turns at a target."""

    def test_urgent_goes_first(self) -> None:
        """A statement of an open transaction passes those that wait."""

        async def play() -> list[str]:
            gate = PrioritySemaphore(1, 't')
            order: list[str] = []

            async def run(name: str, priority: int) -> None:
                await gate.enter(name, priority, 5)
                order.append(name)
                await curio.sleep(0.01)
                await gate.leave(name, 0.01, is_shed=False)

            tasks = [await curio.spawn(run, 'first', 1)]
            await curio.sleep(0)
            tasks.append(await curio.spawn(run, 'plain', 1))
            await curio.sleep(0)
            tasks.append(await curio.spawn(run, 'urgent', -1))
            for task in tasks:
                await task.join()
            return order

        self.assertEqual(curio.run(play), ['first', 'urgent', 'plain'])

    def test_cancelled_turn_is_passed_on(self) -> None:
        """A caller that goes away holds nobody up."""

        async def play() -> None:
            gate = PrioritySemaphore(1, 't')
            await gate.enter('red', 1, 5)
            waiting = await curio.spawn(gate.enter, 'blue', 1, 5)
            await curio.sleep(0.01)
            await waiting.cancel()
            await gate.leave('red', 0.01, is_shed=False)
            await gate.enter('green', 1, 0.1)

        curio.run(play)


if __name__ == '__main__':
    unittest.main()
