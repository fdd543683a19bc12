"""Pattern: callers that send a request just as the daemon goes away.

The request crosses the notice that the daemon is shutting down. Closing a
connection with unread input resets it, which can destroy the notice before the
caller has read it: it then does not know whether its request ran.
"""

import types
import unittest

import curio
from curio import socket

from comfreystair.callers.exceptions import CallerGoneError
from comfreystair.callers.sessions import Session, SessionContext
from comfreystair.filters.session import SessionState
from comfreystair.targets.status import query_frame

SETTINGS = types.SimpleNamespace(
    max_message_bytes=1000,
    write_seconds=5,
    idle_transaction_seconds=5,
    partial_seconds=5,
)
WAIT_SECONDS = 5


class ShutDownTest(unittest.TestCase):
    """A session at rest and a caller on a real connection."""

    def setUp(self) -> None:
        """Record the requests that run."""
        self.requests: list[object] = []

    async def handle(self, request) -> None:
        """Record a request; none may run here."""
        self.requests.append(request)
        raise CallerGoneError('must not run', 'test')

    async def exchange(self, is_told: bool) -> bytes:
        """Let a query arrive while the daemon goes away.

        :param is_told: the caller was sent the notice before.
        :returns: all that the caller receives.
        """
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.bind(('127.0.0.1', 0))
        listener.listen(1)
        caller = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        await caller.connect(listener.getsockname())
        served, _address = await listener.accept()
        async with listener, caller, served:
            context = SessionContext(self.handle, SETTINGS, None)
            state = SessionState('north', 'red', 'key')
            session = Session(served, context, state)
            task = await curio.spawn(session.serve)
            await curio.sleep(0)
            session.ask_to_leave()
            if is_told:
                await session.shut_down()
            await caller.sendall(query_frame('SELECT 1'))
            received = await self.read_to_end(caller)
            await caller.close()
            async with curio.timeout_after(WAIT_SECONDS):
                with self.assertRaises(curio.TaskError):
                    await task.join()
            self.assertIsInstance(task.exception, CallerGoneError)
        return received

    async def read_to_end(self, caller) -> bytes:
        """Read until the session ends its direction of the connection."""
        received = b''
        async with curio.timeout_after(WAIT_SECONDS):
            chunk = await caller.recv(1000)
            while chunk:
                received += chunk
                chunk = await caller.recv(1000)
        return received

    def test_request_that_crosses_the_notice_does_not_run(self) -> None:
        """Its caller reads the notice, which says that nothing ran."""
        received = curio.run(self.exchange, True)
        self.assertEqual(received.count(b'57P01'), 1)
        self.assertEqual(self.requests, [])

    def test_next_request_is_answered_with_the_notice(self) -> None:
        """A notice right after an answer would be lost in the driver."""
        received = curio.run(self.exchange, False)
        self.assertEqual(received.count(b'57P01'), 1)
        self.assertEqual(self.requests, [])

    def test_caller_has_time_to_read_its_last_answer(self) -> None:
        """No notice is sent right after an answer."""
        state = SessionState('north', 'red', 'key')
        session = Session(None, SessionContext(None, SETTINGS, None), state)
        self.assertFalse(session.is_quiet)


if __name__ == '__main__':
    unittest.main()
