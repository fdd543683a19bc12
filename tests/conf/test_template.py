"""The template of the settings, as the platform renders it."""

import json
import pathlib
import re
import unittest

import msgspec

from comfreystair.conf.entry import EntrySettings
from comfreystair.controllers.places.cold_targets import ColdBounds

TEMPLATE = pathlib.Path(__file__).parents[2] / 'deploy/settings.json.tmpl'
SECTION = re.compile(r'\{\{#Bounds\.(\w+)\}\}(.*?)\{\{/Bounds\.\1\}\}')


class TemplateTest(unittest.TestCase):
    """Settings with and without bounds on requests to cold targets."""

    def test_optional_bounds(self) -> None:
        """Guards against settings that are no JSON, or a limit unasked for."""
        text = TEMPLATE.read_text().replace('{{Zones|json}}', '{}')
        text = text.replace('{{Contracts|json}}', '[]')
        for present, expected in (
            ((), None),
            (('ColdExcess',), ColdBounds(5, 0)),
            (('ColdSlack',), ColdBounds(1, 5)),
            (('ColdExcess', 'ColdSlack'), ColdBounds(5, 5)),
        ):
            parts = SECTION.split(text)
            for at in range(1, len(parts), 3):
                parts[at + 1] *= parts[at] in present
                parts[at] = ''
            filled = re.sub(r'\{\{.+?\|json\}\}(000)?', '"5"', ''.join(parts))
            read = msgspec.convert(
                json.loads(filled), EntrySettings, strict=False
            )
            self.assertEqual(read.cold_bounds, expected)


if __name__ == '__main__':
    unittest.main()
