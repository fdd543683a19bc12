"""Settings and manifests: all mistakes at once, each by its id."""

import json
import pathlib
import tempfile
import unittest

import msgspec

from comfreystair.conf import SettingsError, check_settings, load_settings
from comfreystair.manifest import (
    check_manifest,
    decode_manifest,
    diff_manifests,
)

SETTINGS = {
    'version': 1,
    'instance': {'name': 'a', 'zone': 'z', 'address': '10.0.0.1'},
    'callers': {'port': 1},
    'targets': {'user': 'u', 'password': 'p'},
    'platform': {'store': '10.0.0.2:1', 'instances': '10.0.0.2:2'},
    'peers': {'port': 2, 'secret': 's'},
}


class ChecksTest(unittest.TestCase):
    """What the schemas can't express."""

    def load(self, document: dict):
        """Load a settings document."""
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'settings.json'
            path.write_text(json.dumps(document))
            return load_settings(str(path))

    def test_good_settings(self) -> None:
        """Good settings have no findings."""
        self.assertEqual(check_settings(self.load(SETTINGS)), [])

    def test_all_mistakes_at_once(self) -> None:
        """Every check reports."""
        document = {
            **SETTINGS,
            'version': 9,
            'instance': {'name': 'a', 'zone': 'z', 'address': 'host'},
            'callers': {'port': 2, 'certificate': '/none'},
            'filters': ['trace', 'guess'],
            'peers': {'port': 2},
        }
        found = {one.ident for one in check_settings(self.load(document))}
        wanted = {f'comfreystair.E00{number}' for number in range(1, 8)}
        self.assertEqual(found, {*wanted, 'comfreystair.W002'})

    def test_unknown_entry_names_its_path(self) -> None:
        """A misspelt entry is an error with its path."""
        document = {**SETTINGS, 'callers': {'port': 1, 'hots': 'x'}}
        with self.assertRaises(SettingsError) as caught:
            self.load(document)
        self.assertIn('$.callers', str(caught.exception))

    def test_diff_masks_verifiers(self) -> None:
        """A changed verifier is told, not shown."""
        manifest = self.build('c2VjcmV0')
        changes = diff_manifests(manifest, self.build('b3RoZXI='))
        self.assertEqual([one.after for one in changes], ['(masked)'])
        self.assertEqual(
            {one.ident for one in check_manifest(manifest)},
            {'manifest.E015'},
        )

    def build(self, stored_key: str):
        """Build a manifest with one key."""
        key = {'id': 'k', 'stored_key': stored_key, 'server_key': ''}
        document = {
            'version': 1,
            'deployment': 'd',
            'databases': [],
            'organisations': [
                {'name': 'o', 'rate': 1, 'burst': 1, 'keys': [key]}
            ],
            'services': [],
        }
        return decode_manifest(msgspec.json.encode(document))


if __name__ == '__main__':
    unittest.main()
