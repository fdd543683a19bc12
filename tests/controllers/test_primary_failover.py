"""Who becomes the primary, and whether somebody leads already."""

import unittest

from comfreystair.controllers.positions import Position
from comfreystair.controllers.primary_failover import (
    ReplicationStatus,
    choose_successor,
    find_other_primary,
    has_caught_up,
    is_widely_unreachable,
)


def build(ident: str, offset: int, **changes: object) -> ReplicationStatus:
    """Return a replica of term 3 that holds its log up to an offset."""
    standing = ReplicationStatus(ident, False, 3, Position(3, offset), False)
    return standing._replace(**changes)


class SuccessionTest(unittest.TestCase):
    """Choices among targets that answered."""

    def test_most_advanced_log_goes_first(self) -> None:
        """Also when it is the old primary's own."""
        standings = [build('a', 5), build('old', 9), build('b', 7)]
        chosen = choose_successor(standings, 'old', set())
        self.assertEqual(chosen.ident, 'old')

    def test_another_goes_before_the_old_primary_when_equal(self) -> None:
        """A primary that others can't reach is left."""
        standings = [build('old', 9), build('a', 9)]
        chosen = choose_successor(standings, 'old', set())
        self.assertEqual(chosen.ident, 'a')

    def test_leaving_and_refused_targets_are_passed_over(self) -> None:
        """One that leaves, or did not run when asked, is no successor."""
        standings = [build('a', 9, is_leaving=True), build('b', 8)]
        self.assertIsNone(choose_successor(standings, 'old', {'b'}))

    def test_primary_reborn_under_another_id(self) -> None:
        """It leads the same term, and no promotion would begin a later one."""
        standings = [build('reborn', 5, is_primary=True), build('a', 5)]
        found = find_other_primary(standings, 'old', 3)
        self.assertEqual(found.ident, 'reborn')

    def test_old_primary_itself_is_no_other(self) -> None:
        """It must be promoted or replaced."""
        standings = [build('old', 5, is_primary=True)]
        self.assertIsNone(find_other_primary(standings, 'old', 3))

    def test_caught_up_counts_others_only(self) -> None:
        """The old primary's own log says nothing of a successor's."""
        end = Position(3, 9)
        self.assertFalse(has_caught_up([build('old', 9)], end, 'old'))
        self.assertTrue(has_caught_up([build('a', 9)], end, 'old'))
        self.assertTrue(has_caught_up([build('a', 1)], None, 'old'))

    def test_one_instance_alone_does_not_replace_a_primary(self) -> None:
        """One of eight that misses it waits; four of eight do not."""
        self.assertFalse(is_widely_unreachable([0.1] * 7))
        self.assertTrue(is_widely_unreachable([0.1] * 4 + [2.0] * 3))
        self.assertTrue(is_widely_unreachable([None, None]))


if __name__ == '__main__':
    unittest.main()
