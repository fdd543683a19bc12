"""Settings of both programs are checked from the command line."""

import json
import pathlib
import tempfile
import unittest

from click.testing import CliRunner

from comfreystair.management.cli import main

ENTRY = {
    'instance': {'name': 'a', 'zone': 'z', 'address': '10.0.0.1'},
    'zones': {'z': 'r'},
    'listen': {
        'callers': '10.0.0.1:1',
        'ready': '10.0.0.1:2',
        'peer_port': 3,
        'metrics_port': 4,
    },
    'store': {'address': '10.0.0.2:1'},
    'promotion': {'address': '10.0.0.2:2'},
}


class SettingsCheckTest(unittest.TestCase):
    """``settings check --entry``."""

    def check(self, document: dict) -> tuple[int, str]:
        """Return the exit status and what was printed."""
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'settings.json'
            path.write_text(json.dumps(document))
            words = ['settings', 'check', '--entry', str(path)]
            outcome = CliRunner().invoke(main, words)
        return outcome.exit_code, outcome.output

    def test_good_settings(self) -> None:
        """No findings."""
        self.assertEqual(self.check(ENTRY)[0], 0)

    def test_all_findings_come_together(self) -> None:
        """An unknown zone and a key that stops too soon."""
        wrong = {**ENTRY, 'zones': {}, 'bounds': {'key_revocation_ms': 100}}
        status, output = self.check(wrong)
        self.assertEqual(status, 1)
        self.assertIn('comfreystair.E101', output)
        self.assertIn('comfreystair.E102', output)

    def test_wrong_form_is_one_line(self) -> None:
        """With the path of the entry."""
        status, output = self.check({**ENTRY, 'listen': {}})
        self.assertEqual(status, 2)
        self.assertIn('listen', output)


if __name__ == '__main__':
    unittest.main()
