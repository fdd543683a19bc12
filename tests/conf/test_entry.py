"""Settings of an entry instance."""

import unittest

from comfreystair.conf.entry import OverloadSection


class OverloadTest(unittest.TestCase):
    """The switch of priority admission."""

    def test_only_the_contract_switches_it_on(self) -> None:
        """Guards against a changed order where nobody asked for one."""
        for contracts in ((), None, ('zones',), ('zones', 'pressure')):
            section = OverloadSection(contracts)
            wanted = 'pressure' in (contracts or ())
            self.assertEqual(section.has_priority_admission, wanted)
