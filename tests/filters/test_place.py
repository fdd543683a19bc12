"""What a caller is told when no target completes its request."""

import time
import types
import unittest

import curio

from comfreystair.filters import place, request_errors
from comfreystair.filters.exceptions import (
    ReadInterruptedError,
    RequestError,
    TargetUnavailableError,
)


class FakeTrace:
    """Discards notes."""

    def note(self, _step: str, _text: str) -> None:
        """Ignore a note."""


class FakeMetrics:
    """Discards counts."""

    def count(self, _name: str) -> None:
        """Ignore a count."""


class PlaceTest(unittest.TestCase):
    """The last target failed and no time is left for another one."""

    def give_up(self, error: Exception) -> RequestError:
        """Return what the caller is told after an error at the deadline."""
        context = types.SimpleNamespace(metrics=FakeMetrics())
        group = types.SimpleNamespace(name='north')
        request = types.SimpleNamespace(trace=FakeTrace())
        with self.assertRaises(RequestError) as caught:
            curio.run(
                place._wait_before_retry,
                context,
                group,
                request,
                error,
                time.monotonic(),
            )
        return caught.exception

    def test_unavailable_target_ran_nothing(self) -> None:
        """The caller may repeat whatever it asked for."""
        error = TargetUnavailableError('the target is read-only', 'execute')
        told = self.give_up(error)
        self.assertEqual(told.sqlstate, request_errors.NOT_RUN)

    def test_interrupted_read_may_have_run(self) -> None:
        """A refusal that says "not run" must be true."""
        error = ReadInterruptedError('connection reset', 'execute')
        told = self.give_up(error)
        self.assertEqual(told.sqlstate, request_errors.CONNECTION_LOST)
        self.assertNotIn('not run', str(told))
        self.assertNotIn('Nothing ran', told.hint)


if __name__ == '__main__':
    unittest.main()
