"""Which regions a request may reach."""

import unittest

from comfreystair.controllers.places.homes import combine_regions, is_allowed

REGIONS = {'norte-a': 'norte', 'sur-a': 'sur'}
ANY: frozenset[str] = frozenset()


class HomesTest(unittest.TestCase):
    """Lists of regions and the zones that they allow."""

    def test_empty_lists_allow_any_zone(self) -> None:
        """Guards against rejections in a deployment without lists."""
        allowed = combine_regions([ANY, ANY])
        self.assertIsNone(allowed)
        self.assertTrue(is_allowed('norte-a', allowed, REGIONS))
        self.assertTrue(is_allowed('unlisted', allowed, REGIONS))

    def test_lists_intersect(self) -> None:
        """Guards against a list that widens or replaces another one."""
        route, client = frozenset(('norte', 'sur')), frozenset(('sur',))
        for lists in ([route, client], [client, route], [ANY, client]):
            allowed = combine_regions(lists)
            self.assertFalse(is_allowed('norte-a', allowed, REGIONS))
            self.assertTrue(is_allowed('sur-a', allowed, REGIONS))

    def test_disjoint_lists_allow_nothing(self) -> None:
        """Guards against an empty intersection that is taken for no list."""
        north, south = frozenset(('norte',)), frozenset(('sur',))
        allowed = combine_regions([north, south, north])
        self.assertFalse(is_allowed('norte-a', allowed, REGIONS))
        self.assertFalse(is_allowed('sur-a', allowed, REGIONS))

    def test_unknown_zone_and_region_allow_nothing(self) -> None:
        """Guards against a misspelt name that opens other regions."""
        self.assertFalse(is_allowed('unlisted', frozenset(('sur',)), REGIONS))
        self.assertFalse(is_allowed('sur-a', frozenset(('sru',)), REGIONS))


if __name__ == '__main__':
    unittest.main()
