"""The operators' command against running daemons."""

import base64
import json
import unittest

from comfreystair.callers.keys import make_verifier
from standins.cluster import SECRET
from tests.promises.support import SharedPromiseCase


class CommandsTest(SharedPromiseCase):
    """Answers for people and for machines, and documented exit codes."""

    has_proxy = False

    def run_at_daemon(self, *words: str):
        """Run a command that asks a daemon."""
        address = self.cluster.find_upstream('daemon-1')
        return self.cluster.run_command(
            *words, '--daemon', address, '--secret', SECRET
        )

    def test_status(self) -> None:
        """Every daemon is shown with its databases."""
        ran = self.run_at_daemon('status')
        self.assertEqual(ran.returncode, 0, ran.stderr)
        for name in self.cluster.daemons:
            self.assertIn(name, ran.stdout)
        self.assertIn('primary north-0', ran.stdout)

    def test_manifest_status(self) -> None:
        """Which instance has which generation."""
        ran = self.run_at_daemon('manifest', 'status', '--json')
        rows = json.loads(ran.stdout)
        self.assertEqual({row['generation'] for row in rows}, {1})

    def test_explain(self) -> None:
        """A request's decisions are found by its trace id at any daemon."""
        caller = self.connect(daemon=3)
        caller.execute('/* comfreystair route=badge */ SELECT 1')
        trace = caller.execute('SHOW comfreystair.trace').fetchone()[0]
        ran = self.run_at_daemon('explain', trace)
        self.assertEqual(ran.returncode, 0, ran.stderr)
        self.assertIn('badge', ran.stdout)
        self.assertIn('place', ran.stdout)
        unknown = self.run_at_daemon('explain', 'f' * 16)
        self.assertEqual(unknown.returncode, 1)

    def test_nobody_answers(self) -> None:
        """A daemon that is not there is one line and exit 4."""
        ran = self.cluster.run_command(
            'status', '--daemon', '127.0.0.1:9', '--seconds', '0.5'
        )
        self.assertEqual(ran.returncode, 4)
        self.assertEqual(len(ran.stderr.splitlines()), 1)

    def test_wrong_secret(self) -> None:
        """A call without the right code is refused."""
        address = self.cluster.find_upstream('daemon-1')
        ran = self.cluster.run_command(
            'status', '--daemon', address, '--secret', 'guess'
        )
        self.assertEqual(ran.returncode, 4)
        self.assertIn('wrong code', ran.stderr)

    def test_new_key_fits_its_verifier(self) -> None:
        """The verifier printed is that of the key printed."""
        ran = self.cluster.run_command('key', 'new', 'blue', '--json')
        made = json.loads(ran.stdout)
        salt = base64.b64decode(made['salt'])
        stored_key, server_key = make_verifier(made['key'], salt)
        self.assertEqual(made['verifier']['stored_key'], stored_key)
        self.assertEqual(made['verifier']['server_key'], server_key)

    def test_settings_check(self) -> None:
        """Settings are checked, wrong ones in one line."""
        path = self.cluster.directory / 'daemon-0.json'
        good = self.cluster.run_command('settings', 'check', str(path))
        self.assertEqual(good.returncode, 0, good.stdout)
        bad = self.cluster.run_command('settings', 'check', '/none')
        self.assertEqual(bad.returncode, 2)
        self.assertEqual(len(bad.stderr.splitlines()), 1)


if __name__ == '__main__':
    unittest.main()
