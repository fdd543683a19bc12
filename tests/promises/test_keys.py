"""Keys and organisations."""

import pathlib
import time
import unittest

import psycopg

from comfreystair.callers.keys import make_verifier
from tests.promises.support import SEED, PromiseCase

IN_FORCE_SECONDS = 10


class KeysTest(PromiseCase):
    """Withdrawal, targets that see no key, routes of others."""

    has_proxy = False

    def build_without_key(self, organisation: str) -> dict:
        """Build the manifest without an organisation's keys."""
        manifest = self.cluster.build_manifest()
        for entry in manifest['organisations']:
            if entry['name'] == organisation:
                entry['keys'] = []
        return manifest

    def run_until_refused(self, caller: psycopg.Connection) -> psycopg.Error:
        """Run statements until one is refused."""
        deadline = time.monotonic() + IN_FORCE_SECONDS
        while time.monotonic() < deadline:
            try:
                caller.execute('SELECT 1')
            except psycopg.Error as error:
                return error
            time.sleep(0.01)
        self.fail(f'seed {SEED}: the key still works')

    def test_withdrawn_while_connected(self) -> None:
        """A connected caller is refused at its next request."""
        callers = [self.connect(daemon) for daemon in range(4)]
        other = self.connect(organisation='red')
        self.cluster.ship(self.build_without_key('blue'))
        for caller in callers:
            error = self.run_until_refused(caller)
            self.assertEqual(error.sqlstate, '28000')
        self.assertEqual(other.execute('SELECT 1').fetchone(), (1,))
        with self.assertRaises(psycopg.OperationalError):
            self.connect()

    def test_withdrawn_inside_a_transaction(self) -> None:
        """An open transaction of a withdrawn key is rolled back."""
        caller = self.connect(autocommit=False)
        caller.execute("INSERT INTO receipts VALUES ('withdrawn', 1)")
        self.cluster.ship(self.build_without_key('blue'))
        error = self.run_until_refused(caller)
        self.assertEqual(error.sqlstate, '28000')
        reader = self.connect(organisation='red')
        found = reader.execute(
            "SELECT COUNT(*) FROM receipts WHERE id = 'withdrawn'"
        )
        self.assertEqual(found.fetchone(), (0,))
        reader.execute("INSERT INTO receipts VALUES ('goes on', 1)")

    def test_second_key_replaces_the_first(self) -> None:
        """Two keys are in force at once, then only the new one."""
        manifest = self.cluster.build_manifest()
        entry = manifest['organisations'][0]
        salt = b'blue'.ljust(16, b'-')
        stored_key, server_key = make_verifier('second-key', salt)
        entry['keys'].append(
            {
                'id': 'second',
                'stored_key': stored_key,
                'server_key': server_key,
            }
        )
        self.cluster.ship(manifest)
        old = self.connect()
        self.wait_for(self.can_use_second_key, 'the second key')
        entry['keys'].pop(0)
        self.cluster.ship(manifest)
        self.assertEqual(self.run_until_refused(old).sqlstate, '28000')
        self.assertTrue(self.can_use_second_key())

    def can_use_second_key(self) -> bool:
        """Tell whether the second key lets a caller in."""
        dsn = self.cluster.find_dsn('daemon-1', 'blue', 'north')
        dsn = dsn.replace(self.cluster.keys['blue'], 'second-key')
        try:
            with psycopg.connect(dsn) as caller:
                caller.execute('SELECT 1')
        except psycopg.OperationalError:
            return False
        return True

    def test_targets_see_no_key(self) -> None:
        """No byte that a target receives holds a caller's key."""
        for organisation, key in self.cluster.keys.items():
            caller = self.connect(organisation=organisation)
            caller.execute('SELECT 1')
            caller.execute(f"SET comfreystair.route = '{key}'")
            shown = caller.execute('SHOW comfreystair.route').fetchone()
            self.assertEqual(shown, (key,))
        for path in pathlib.Path(self.cluster.directory).glob('*.wire'):
            received = path.read_bytes()
            self.assertIn(b'group_status', received)
            for key in self.cluster.keys.values():
                self.assertNotIn(key.encode(), received, path.name)

    def test_only_on_its_own_routes(self) -> None:
        """An organisation is refused where it is not named."""
        manifest = self.cluster.build_manifest()
        manifest['services'][0]['organisations'] = ['red']
        manifest['services'][0]['routes'].append(
            {'name': 'opening', 'kind': 'read', 'is_open': True}
        )
        manifest['organisations'].append(
            {'name': 'public', 'rate': 100, 'burst': 100}
        )
        self.cluster.ship(manifest)
        caller = self.connect()
        self.wait_for(lambda: self.is_refused(caller), 'the refusal')
        open_read = '/* comfreystair route=opening */ SELECT 1'
        self.assertEqual(caller.execute(open_read).fetchone(), (1,))
        self.check_public(open_read)

    def check_public(self, open_read: str) -> None:
        """Check a caller without a key."""
        dsn = self.cluster.find_dsn('daemon-2', 'blue', 'north')
        public = psycopg.connect(
            dsn.replace('user=blue', 'user=public'), autocommit=True
        )
        self.addCleanup(public.close)
        self.assertEqual(public.execute(open_read).fetchone(), (1,))
        self.assertTrue(self.is_refused(public))

    def is_refused(self, caller: psycopg.Connection) -> bool:
        """Tell whether a plain read is refused as not allowed."""
        try:
            caller.execute('SELECT 1')
        except psycopg.errors.InsufficientPrivilege:
            return True
        return False


if __name__ == '__main__':
    unittest.main()
