"""Tasks go on after errors that nobody expects."""

import unittest

import curio
from loguru import logger

from comfreystair.coordination.concurrency import run_concurrently
from comfreystair.tasks import contain_errors, run_supervised


class TasksTest(unittest.TestCase):
    """Items and tasks that fail."""

    def setUp(self) -> None:
        """Keep the errors from the output of the tests."""
        logger.disable('comfreystair')
        self.addCleanup(logger.enable, 'comfreystair')

    def test_error_of_one_item_is_contained(self) -> None:
        """Guards against an item that ends the handling of the others."""
        handled = []
        for item in (1, 0, 2):
            with contain_errors('divide', item):
                handled.append(1 / item)
        self.assertEqual(handled, [1, 0.5])

    def test_cancellation_passes(self) -> None:
        """Guards against a task that can't be ended."""

        async def wait() -> None:
            with contain_errors('wait'):
                await curio.sleep(60)

        async def cancel() -> bool:
            task = await curio.spawn(run_supervised, wait)
            await curio.sleep(0)
            await task.cancel()
            return task.cancelled

        self.assertTrue(curio.run(cancel))

    def test_task_starts_again(self) -> None:
        """Guards against a task that ends for good at the first error."""
        runs = []

        async def fail_once() -> None:
            runs.append(len(runs))
            if len(runs) == 1:
                raise RecursionError('nested too deeply')

        curio.run(run_supervised, fail_once)
        self.assertEqual(runs, [0, 1])

    def test_error_of_one_concurrent_call(self) -> None:
        """Guards against a subject whose error is raised for all."""
        called = []

        async def call(subject: int) -> None:
            if not subject:
                raise OverflowError('port must be 0-65535')
            called.append(subject)

        curio.run(run_concurrently, call, (0, 1, 2))
        self.assertEqual(sorted(called), [1, 2])


if __name__ == '__main__':
    unittest.main()
