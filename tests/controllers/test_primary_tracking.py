"""A primary may be used only while it is surely the primary."""

import unittest

from comfreystair.controllers.positions import Position
from comfreystair.controllers.primary_tracking import (
    PROOF_TTL_SECONDS,
    PrimaryRecord,
    PrimaryTracker,
)

OLD = PrimaryRecord('old', 1, is_changing=False, revision=10)
CHANGING = PrimaryRecord('old', 1, is_changing=True, revision=11)
NEW = PrimaryRecord('new', 2, is_changing=False, revision=12)


class LeadershipTest(unittest.TestCase):
    """Records, proofs and confirmations in the order they may come."""

    def setUp(self) -> None:
        """Know the old primary by a read sent at 100."""
        self.known = PrimaryTracker()
        self.known.update(OLD, 100)

    def test_proof_counts_from_when_it_was_asked_for(self) -> None:
        """It lasts from then on, however late the answer came."""
        self.assertEqual(
            self.known.find_primary(100 + PROOF_TTL_SECONDS), 'old'
        )
        self.assertEqual(self.known.find_primary(100.1 + PROOF_TTL_SECONDS), '')

    def test_older_record_changes_nothing(self) -> None:
        """A late answer neither brings a record back nor proves one."""
        self.known.update(NEW, 103)
        self.known.update(OLD, 104)
        self.assertEqual(self.known.record, NEW)
        self.assertEqual(
            self.known.find_primary(103 + PROOF_TTL_SECONDS), 'new'
        )
        self.assertEqual(self.known.find_primary(104 + PROOF_TTL_SECONDS), '')

    def test_announced_change_stops_new_statements_at_once(self) -> None:
        """What runs may still be acknowledged until it is confirmed."""
        self.known.update(CHANGING, 101)
        self.assertEqual(self.known.find_primary(101), '')
        self.assertTrue(self.known.may_acknowledge('old', 101))
        self.known.fence(CHANGING.revision)
        self.assertFalse(self.known.may_acknowledge('old', 101))

    def test_announced_change_does_not_renew_the_proof(self) -> None:
        """Without a confirmation the old proof still runs out."""
        self.known.update(CHANGING, 102)
        ends = 100 + PROOF_TTL_SECONDS
        self.assertTrue(self.known.may_acknowledge('old', ends))
        self.assertFalse(self.known.may_acknowledge('old', ends + 0.1))

    def test_pushed_record_is_no_proof(self) -> None:
        """A new primary handed on needs a read of its own."""
        self.known.update(NEW, float('-inf'))
        self.assertEqual(self.known.find_primary(101), '')
        self.known.update(NEW, 101)
        self.assertEqual(self.known.find_primary(101), 'new')

    def test_confirmation_before_the_record_is_kept(self) -> None:
        """A late steady record from before the change is of no use."""
        self.known.fence(CHANGING.revision)
        self.known.update(OLD, 101)
        self.assertEqual(self.known.find_primary(101), '')
        self.assertFalse(self.known.may_acknowledge('old', 101))

    def test_floor_is_the_oldest_sample_that_is_young_enough(self) -> None:
        """A read of bounded age gets the lowest position it may."""
        for second in range(4):
            self.known.add_sample(100 + second, Position(1, second))
        sample = self.known.find_sample(101.5)
        self.assertEqual(sample.position, Position(1, 2))
        self.assertIsNone(self.known.find_sample(103.5))

    def test_new_primary_drops_samples(self) -> None:
        """Positions of another primary's log are no floor."""
        self.known.add_sample(100, Position(1, 7))
        self.known.update(NEW, 101)
        self.assertIsNone(self.known.find_sample(99))


if __name__ == '__main__':
    unittest.main()
