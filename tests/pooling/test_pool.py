"""Connection pool and concurrency limit of one target."""

import unittest

import curio

from comfreystair.pooling.exceptions import (
    ConnectionUnavailableError,
    PoolError,
    TargetLostError,
    TargetRefusedError,
)
from comfreystair.pooling.pool import TargetPool, apply_session_values
from comfreystair.pooling.priority_semaphore import PrioritySemaphore
from comfreystair.pooling.targets import TargetEntry
from comfreystair.sessions.statements import DONE, Failure

ENTRY = TargetEntry('t', 'permits', 't:1', 'lima-a', 2, 1, False, False)


class FakeConnection:
    """A connection that records calls and answers each with success."""

    def __init__(self, organisation: str) -> None:
        """Open the connection for an organisation."""
        self.organisation = organisation
        self.is_closed = False
        self.has_input = False
        self.calls: list[str] = []

    async def set_value(self, name: str, text: str, _seconds: float):
        """Record a session value."""
        self.calls.append(f'{name}={text}')
        return DONE

    async def reset(self, _seconds: float):
        """Record a reset."""
        self.calls.append('reset')
        return DONE

    async def close(self) -> None:
        """Record that the connection is closed."""
        self.is_closed = True


class PoolTest(unittest.TestCase):
    """A pool of two connections."""

    def setUp(self) -> None:
        """Create a pool that opens fake connections."""
        self.opened: list[FakeConnection] = []
        self.is_reachable = True
        self.is_full = False
        self.pool = TargetPool(ENTRY, 2, self.open)

    async def open(self, _entry, organisation: str, _seconds: float):
        """Open a connection, or fail while the target is unreachable."""
        if not self.is_reachable:
            raise TargetLostError('no answer', 'open')
        if self.is_full:
            raise TargetRefusedError(Failure.connection_limit, 't')
        self.opened.append(FakeConnection(organisation))
        return self.opened[-1]

    def test_connection_with_waiting_input_is_replaced(self) -> None:
        """Guards against an answer that goes to the next caller."""

        async def scenario() -> None:
            pooled = await self.pool.acquire('red', 0, 1.0)
            await self.pool.release(pooled)
            pooled.connection.has_input = True
            again = await self.pool.acquire('red', 0, 1.0)
            self.assertIsNot(again, pooled)
            await self.pool.release(again)

        curio.run(scenario)
        self.assertEqual([one.is_closed for one in self.opened], [True, False])
        self.assertEqual(self.pool.in_use, 0)

    def test_ended_connection_whose_target_is_gone(self) -> None:
        """Guards against a place in the pool that stays taken."""

        async def scenario() -> None:
            pooled = await self.pool.acquire('red', 0, 1.0)
            await self.pool.release(pooled)
            pooled.connection.has_input = True
            self.is_reachable = False
            with self.assertRaises(TargetLostError):
                await self.pool.acquire('red', 0, 1.0)

        curio.run(scenario)
        self.assertEqual(self.pool.in_use, 0)

    def test_idle_connection_is_reused(self) -> None:
        """Its organisation reuses it; another one replaces the oldest."""

        async def scenario() -> None:
            for name in ('red', 'red', 'blue', 'green'):
                await self.pool.release(await self.pool.acquire(name, 1, 1))

        curio.run(scenario)
        names = [one.organisation for one in self.opened]
        self.assertEqual(names, ['red', 'blue', 'green'])
        self.assertTrue(self.opened[0].is_closed)

    def test_request_waits_while_pool_is_full(self) -> None:
        """A waiting request gets the connection that is released."""

        async def scenario() -> str:
            in_use = [await self.pool.acquire('red', 1, 1) for _ in range(2)]
            task = await curio.spawn(self.pool.acquire, 'red', 1, 5)
            await curio.sleep(0.01)
            await self.pool.release(in_use[0])
            acquired = await task.join()
            return 'same' if acquired is in_use[0] else 'other'

        self.assertEqual(curio.run(scenario), 'same')

    def test_failed_open_does_not_count_against_limit(self) -> None:
        """After failed opens, all connections of the limit can be opened."""

        async def scenario() -> None:
            self.is_reachable = False
            for _ in range(3):
                with self.assertRaises(TargetLostError):
                    await self.pool.acquire('red', 1, 1)
            self.is_reachable = True
            for _ in range(2):
                await self.pool.acquire('red', 1, 1)

        curio.run(scenario)
        self.assertEqual(self.pool.in_use, 2)

    def test_connection_assigned_to_waiter_is_not_closed(self) -> None:
        """Closing idle connections before the waiter runs loses no connection.

        The released connection is assigned to the waiter and is not idle.
        """

        async def scenario() -> None:
            in_use = [await self.pool.acquire('red', 1, 1) for _ in range(2)]
            waiting = await curio.spawn(self.pool.acquire, 'red', 1, 5)
            await curio.sleep(0)
            await self.pool.release(in_use[0])
            await self.pool.close_idle()
            await self.pool.release(await waiting.join())

        curio.run(scenario)
        self.assertEqual(self.pool.in_use, 1)

    def test_raised_limit_serves_waiting_requests(self) -> None:
        """Waiting requests get new connections, though none was released."""

        async def scenario() -> None:
            pool = TargetPool(ENTRY, 1, self.open)
            await pool.acquire('red', 1, 1)
            waiting = [
                await curio.spawn(pool.acquire, 'red', 1, 0.5) for _ in range(2)
            ]
            await curio.sleep(0)
            await pool.set_limit(3)
            for task in waiting:
                await task.join()

        curio.run(scenario)
        self.assertEqual(len(self.opened), 3)

    def test_wait_is_bounded(self) -> None:
        """A request that waits too long fails with PoolError, unsent."""

        async def scenario() -> None:
            for _ in range(2):
                await self.pool.acquire('red', 1, 1)
            with self.assertRaises(PoolError):
                await self.pool.acquire('red', 1, 0.1)

        curio.run(scenario)
        self.assertEqual(self.pool.waiting, 0)

    def test_backoff_from_a_target_that_refuses(self) -> None:
        """Guards against openings in it, and a waiter that nothing wakes."""

        async def scenario() -> None:
            await self.pool.set_limit(2, has_backoff=True)
            red = [await self.pool.acquire('red', 1, 1) for _ in range(2)]
            queued: list[curio.Task] = []
            for name in ('blue', 'green', 'red'):
                queued.append(await curio.spawn(self.pool.acquire, name, 1, 5))
                await curio.sleep(0)
            self.is_full = True
            await self.pool.discard(red[0])
            await queued[0].wait()
            self.assertIsInstance(queued[0].exception, TargetRefusedError)
            with self.assertRaises(ConnectionUnavailableError) as rejected:
                await self.pool.acquire('blue', 1, 1)
            self.assertGreater(rejected.exception.retry_seconds, 0.1)
            await self.pool.release(red[1])
            self.assertIs(await queued[2].join(), red[1])
            self.is_full = False
            self.assertEqual((await queued[1].join()).organisation, 'green')

        curio.run(scenario)
        self.assertEqual(self.pool.stats.refused, 1)

    def test_connection_gets_exactly_the_session_values(self) -> None:
        """Values that another session has set are dropped first."""

        async def scenario() -> list[str]:
            pooled = await self.pool.acquire('red', 1, 1)
            await apply_session_values(pooled, {'a': '1', 'b': '2'}, 1)
            await apply_session_values(pooled, {'a': '1'}, 1)
            return self.opened[0].calls

        self.assertEqual(curio.run(scenario), ['a=1', 'b=2', 'reset', 'a=1'])


class PrioritySemaphoreTest(unittest.TestCase):
    """Order of the statements at a target, and cancelled waits."""

    def test_lower_priority_value_runs_first(self) -> None:
        """A statement of an open transaction runs before waiting ones."""

        async def scenario() -> list[str]:
            semaphore = PrioritySemaphore(1, 't')
            order: list[str] = []

            async def run(name: str, priority: int) -> None:
                await semaphore.acquire(name, priority, 5)
                order.append(name)
                await curio.sleep(0.01)
                await semaphore.release(name, 0.01, is_rejected=False)

            tasks = [await curio.spawn(run, 'first', 1)]
            await curio.sleep(0)
            tasks.append(await curio.spawn(run, 'plain', 1))
            await curio.sleep(0)
            tasks.append(await curio.spawn(run, 'urgent', -1))
            for task in tasks:
                await task.join()
            return order

        self.assertEqual(curio.run(scenario), ['first', 'urgent', 'plain'])

    def test_cancelled_wait_does_not_block_others(self) -> None:
        """The next waiting statement runs after one is cancelled."""

        async def scenario() -> None:
            semaphore = PrioritySemaphore(1, 't')
            await semaphore.acquire('red', 1, 5)
            waiting = await curio.spawn(semaphore.acquire, 'blue', 1, 5)
            await curio.sleep(0.01)
            await waiting.cancel()
            await semaphore.release('red', 0.01, is_rejected=False)
            await semaphore.acquire('green', 1, 0.1)

        curio.run(scenario)


if __name__ == '__main__':
    unittest.main()
