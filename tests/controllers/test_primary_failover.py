"""Choice of the next primary, and detection of an existing one."""

import unittest

from comfreystair.controllers.positions import Position
from comfreystair.controllers.primary_failover import (
    ReplicationStatus,
    choose_durable_successor,
    choose_successor,
    find_other_primary,
    has_caught_up,
    is_widely_unreachable,
)


def build_status(
    ident: str, offset: int, **changes: object
) -> ReplicationStatus:
    """Return a replica in term 3 with its log up to an offset."""
    status = ReplicationStatus(ident, False, 3, Position(3, offset), False)
    return status._replace(**changes)


class PrimaryFailoverTest(unittest.TestCase):
    """Choices among targets that reported their status."""

    def test_most_advanced_log_is_chosen(self) -> None:
        """The old primary is promoted again if its log is ahead."""
        statuses = [
            build_status('a', 5),
            build_status('old', 9),
            build_status('b', 7),
        ]
        chosen = choose_successor(statuses, 'old', set())
        self.assertEqual(chosen.ident, 'old')

    def test_other_target_wins_a_tie_with_the_old_primary(self) -> None:
        """A primary that instances can't reach is replaced."""
        statuses = [build_status('old', 9), build_status('a', 9)]
        chosen = choose_successor(statuses, 'old', set())
        self.assertEqual(chosen.ident, 'a')

    def test_warm_target_wins_a_tie_with_a_cold_one(self) -> None:
        """Guards against a lost commit, and a primary that runs few writes."""
        warm, cold = build_status('a', 9), build_status('b', 9, is_cold=True)
        end = Position(3, 1)
        for statuses, chosen in (
            ([cold, warm], 'a'),
            ([cold, warm._replace(received=Position(3, 8))], 'b'),
        ):
            self.assertEqual(
                choose_successor(statuses, '', set()).ident, chosen
            )
            durable = choose_durable_successor(statuses, '', set(), end)
            self.assertEqual(durable.ident, chosen)

    def test_leaving_and_refused_targets_are_not_chosen(self) -> None:
        """One target is about to end; the other could not be promoted."""
        statuses = [build_status('a', 9, is_leaving=True), build_status('b', 8)]
        self.assertIsNone(choose_successor(statuses, 'old', {'b'}))

    def test_preferred_target_wins_a_tie_only(self) -> None:
        """Guards against a primary elsewhere, and against lost commits."""
        end = Position(3, 9)
        tie = [build_status('a', 9), build_status('b', 9)]
        behind = [build_status('a', 8), build_status('b', 9)]
        back = [build_status('old', 9), build_status('b', 9)]
        for preferred, statuses, expected in (
            ({'a'}, tie, 'a'),
            ({'a'}, behind, 'b'),
            ({'old'}, back, 'old'),
            ((), tie, 'b'),
        ):
            for chosen in (
                choose_successor(statuses, 'old', set(), preferred),
                choose_durable_successor(
                    statuses, 'old', set(), end, preferred
                ),
            ):
                self.assertEqual(chosen.ident, expected)

    def test_primary_restarted_under_another_id(self) -> None:
        """It is primary in the same term; no promotion begins a later one."""
        statuses = [
            build_status('restarted', 5, is_primary=True),
            build_status('a', 5),
        ]
        found = find_other_primary(statuses, 'old', 3)
        self.assertEqual(found.ident, 'restarted')

    def test_old_primary_is_not_another_primary(self) -> None:
        """The old primary must be promoted again or replaced."""
        statuses = [build_status('old', 5, is_primary=True)]
        self.assertIsNone(find_other_primary(statuses, 'old', 3))

    def test_only_other_targets_count_as_caught_up(self) -> None:
        """The old primary does not count as its own successor."""
        end = Position(3, 9)
        self.assertFalse(has_caught_up([build_status('old', 9)], end, 'old'))
        self.assertTrue(has_caught_up([build_status('a', 9)], end, 'old'))
        self.assertTrue(has_caught_up([build_status('a', 1)], None, 'old'))

    def test_one_instance_alone_does_not_replace_a_primary(self) -> None:
        """One of eight instances is too few; four of eight are enough."""
        self.assertFalse(is_widely_unreachable([0.1] * 7))
        self.assertTrue(is_widely_unreachable([0.1] * 4 + [2.0] * 3))
        self.assertTrue(is_widely_unreachable([None, None]))


if __name__ == '__main__':
    unittest.main()
