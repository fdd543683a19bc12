"""TLS towards callers, with a certificate made for these tests only."""

import pathlib
import unittest

import psycopg

from standins.cluster import Cluster
from tests.promises.support import SharedPromiseCase

DATA = pathlib.Path(__file__).parent / 'data'


class TlsTest(SharedPromiseCase):
    """A daemon with a certificate serves both kinds of callers."""

    has_proxy = False

    @classmethod
    def configure(cls, cluster: Cluster) -> None:
        """Set certificate and key."""
        cluster.settings_overrides = {
            'callers': {
                'certificate': str(DATA / 'entry.crt'),
                'private_key': str(DATA / 'entry.key'),
            }
        }

    def connect_with(self, mode: str) -> psycopg.Connection:
        """Connect with a mode of TLS."""
        return self.connect(sslmode=mode, sslrootcert=str(DATA / 'entry.crt'))

    def test_encrypted(self) -> None:
        """Requests run over a verified connection."""
        caller = self.connect_with('verify-ca')
        self.assertTrue(caller.pgconn.ssl_in_use)
        for number in range(10):
            found = caller.execute('SELECT %s + 0', (number,))
            self.assertEqual(found.fetchone(), (number,))

    def test_plain_is_still_served(self) -> None:
        """A caller that asks for no TLS is served without."""
        caller = self.connect_with('disable')
        self.assertFalse(caller.pgconn.ssl_in_use)
        self.assertEqual(caller.execute('SELECT 1').fetchone(), (1,))


if __name__ == '__main__':
    unittest.main()
