"""Callers that send nonsense, too much, too slowly, or nothing."""

import socket
import time
import unittest

from pygwire import messages

from standins.cluster import Cluster
from tests.promises.support import SharedPromiseCase


class CallersTest(SharedPromiseCase):
    """Each gets an error and a closed connection; others go on."""

    has_proxy = False

    @classmethod
    def configure(cls, cluster: Cluster) -> None:
        """Set short bounds."""
        cluster.settings_overrides = {
            'callers': {
                'max_message_bytes': 100000,
                'login_seconds': 1.0,
                'partial_seconds': 1.0,
                'idle_transaction_seconds': 1.0,
            },
            'log': {'level': 'DEBUG'},
        }

    def tearDown(self) -> None:
        """Check that the daemon still serves others."""
        caller = self.connect()
        self.assertEqual(caller.execute('SELECT 1').fetchone(), (1,))
        super().tearDown()

    def open_socket(self) -> socket.socket:
        """Open a bare connection to a daemon."""
        port = self.cluster.daemons['daemon-0'][0]
        sock = socket.create_connection(('127.0.0.1', port), timeout=10)
        self.addCleanup(sock.close)
        return sock

    def read_all(self, sock: socket.socket) -> bytes:
        """Read until the daemon closes the connection."""
        received = bytearray()
        chunk = sock.recv(65536)
        while chunk:
            received += chunk
            chunk = sock.recv(65536)
        return bytes(received)

    def test_bad_bytes_at_login(self) -> None:
        """Bytes that are no startup message get 08P01."""
        sock = self.open_socket()
        sock.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n' * 1000)
        try:
            self.assertIn(b'08P01', self.read_all(sock))
        except ConnectionResetError:
            # The daemon closed before it had read everything.
            return

    def test_silent_login(self) -> None:
        """A caller that never logs in is let go."""
        self.assertEqual(self.read_all(self.open_socket()), b'')

    def test_bad_message_after_login(self) -> None:
        """An unknown message ends the session with 08P01."""
        caller = self.connect()
        sock = socket.socket(fileno=caller.pgconn.socket)
        try:
            sock.settimeout(10)
            sock.sendall(b'?\x00\x00\x00\x04')
            self.assertIn(b'08P01', self.read_all(sock))
        finally:
            sock.detach()

    def test_oversized_message(self) -> None:
        """A message beyond the bound ends the session with 08P01."""
        caller = self.connect()
        sock = socket.socket(fileno=caller.pgconn.socket)
        try:
            sock.settimeout(10)
            sock.sendall(b'Q\x7f\xff\xff\xff')
            self.assertIn(b'08P01', self.read_all(sock))
        finally:
            sock.detach()

    def test_half_a_message(self) -> None:
        """A message that never ends is not waited for."""
        caller = self.connect()
        query = messages.Query(query_string='SELECT 1').to_wire()
        sock = socket.socket(fileno=caller.pgconn.socket)
        try:
            sock.settimeout(10)
            sock.sendall(query[:-3])
            self.assertIn(b'FATAL', self.read_all(sock))
        finally:
            sock.detach()

    def test_idle_transaction(self) -> None:
        """A transaction that nobody goes on with is rolled back."""
        caller = self.connect(autocommit=False)
        caller.execute("INSERT INTO receipts VALUES ('idle', 1)")
        time.sleep(1.5)
        reader = self.connect()
        reader.execute("INSERT INTO receipts VALUES ('idle', 2)")
        found = reader.execute('SELECT permit FROM receipts')
        self.assertEqual(found.fetchall(), [(2,)])

    def test_flush_is_refused(self) -> None:
        """Flush before Sync gets 0A000 and does not hang."""
        caller = self.connect()
        sock = socket.socket(fileno=caller.pgconn.socket)
        try:
            sock.settimeout(10)
            parse = messages.Parse(statement='', query='SELECT 1').to_wire()
            sock.sendall(parse + messages.Flush().to_wire())
            sock.sendall(messages.Sync().to_wire())
            received = sock.recv(65536)
            while b'Z\x00\x00\x00\x05I' not in received:
                received += sock.recv(65536)
            self.assertIn(b'0A000', received)
        finally:
            sock.detach()


if __name__ == '__main__':
    unittest.main()
