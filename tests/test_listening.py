"""Accepting connections while descriptors run out."""

import errno
import unittest

import curio
from loguru import logger

from comfreystair.listening import accept_connections, find_most_callers


class FakeListener:
    """A listening socket of which some calls fail."""

    def __init__(self, results: list) -> None:
        """Initialise with what the next calls return or raise."""
        self.results = results

    async def __aenter__(self) -> 'FakeListener':
        """Return itself."""
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Do nothing."""

    async def accept(self) -> tuple[object, tuple]:
        """Return the next connection, or fail."""
        if not self.results:
            await curio.sleep(60)
        result = self.results.pop(0)
        if isinstance(result, OSError):
            raise result
        return result, ('127.0.0.1', 1)


class AcceptTest(unittest.TestCase):
    """A port whose connections can't always be accepted or served."""

    def setUp(self) -> None:
        """Keep the errors from the output of the tests."""
        logger.disable('comfreystair')
        self.addCleanup(logger.enable, 'comfreystair')

    def accept(self, results: list) -> list:
        """Return the connections that were served."""
        served = []

        async def handle(client: object, _address: tuple) -> None:
            if client == 'odd':
                raise ValueError('not expected')
            served.append(client)

        async def run() -> None:
            listener = FakeListener(results)
            task = await curio.spawn(accept_connections, listener, handle)
            while listener.results:
                await curio.sleep(0.01)
            await curio.sleep(0.01)
            await task.cancel()

        curio.run(run)
        return served

    def test_accepting_goes_on_after_an_error(self) -> None:
        """Guards against a port that takes nobody after EMFILE."""
        for number in (errno.EMFILE, errno.ENFILE, errno.ECONNABORTED):
            results = ['first', OSError(number, 'failed'), 'second']
            self.assertEqual(self.accept(results), ['first', 'second'])

    def test_error_with_one_connection_leaves_the_others(self) -> None:
        """Guards against a connection that ends the port's task."""
        self.assertEqual(self.accept(['odd', 'second']), ['second'])

    def test_callers_leave_descriptors_for_others(self) -> None:
        """Targets, other instances and the store keep their share."""
        self.assertEqual(find_most_callers(1200), 700)
        self.assertEqual(find_most_callers(1), 1)


if __name__ == '__main__':
    unittest.main()
