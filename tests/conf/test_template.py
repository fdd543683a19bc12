"""The template of the settings, as the platform renders it."""

import pathlib
import re
import unittest

import msgspec

from comfreystair.conf.entry import EntrySettings
from comfreystair.controllers.places.cold_targets import ColdBounds

TEMPLATE = pathlib.Path(__file__).parents[2] / 'deploy/settings.json.tmpl'
VALUES = {'Zones': '{"z": "r"}', 'Node': '"a"', 'Zone': '"z"', 'Ip': '"::"'}
TEXTS = frozenset(('Listen.Front', 'Listen.Ready'))


def render(bounds: dict[str, str]) -> EntrySettings:
    """Render the template with some bounds present, and decode the result."""

    def fill(match: re.Match) -> str:
        name = match[1]
        is_text = name in TEXTS or name.endswith('Addr')
        return {**VALUES, **bounds}.get(name, '"a:1"' if is_text else '5')

    text = re.sub(
        r'\{\{#(.+?)\}\}(.*?)\{\{/\1\}\}',
        lambda match: match[2] if match[1] in bounds else '',
        TEMPLATE.read_text(),
    )
    text = re.sub(r'\{\{(.+?)\|json\}\}', fill, text)
    return msgspec.json.decode(text, type=EntrySettings)


class TemplateTest(unittest.TestCase):
    """Settings with and without bounds on requests to cold targets."""

    def test_optional_bounds(self) -> None:
        """Guards against settings that are no JSON, or a limit unasked for."""
        excess, slack = {'Bounds.ColdExcess': '1.5'}, {'Bounds.ColdSlack': '2'}
        for bounds, expected in (
            ({}, None),
            (excess, ColdBounds(1.5, 0)),
            (slack, ColdBounds(1, 2)),
            ({**excess, **slack}, ColdBounds(1.5, 2)),
        ):
            self.assertEqual(render(bounds).cold_bounds, expected)


if __name__ == '__main__':
    unittest.main()
