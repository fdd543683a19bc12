"""A target is used as primary only while its proof is valid.

Guards against two primaries in use at a time, as when an instance goes on
with the old primary after a failover.
"""

import unittest

from comfreystair.controllers.positions import Position
from comfreystair.controllers.primary_tracking import (
    CONTACT_TTL_SECONDS,
    PROOF_TTL_SECONDS,
    PrimaryRecord,
    PrimaryTracker,
)
from comfreystair.controllers.store_position import StorePosition

OLD = PrimaryRecord('old', 1, is_changing=False, position=StorePosition(1, 10))
CHANGING = PrimaryRecord(
    'old', 1, is_changing=True, position=StorePosition(1, 11)
)
NEW = PrimaryRecord('new', 2, is_changing=False, position=StorePosition(1, 12))


class PrimaryTrackerTest(unittest.TestCase):
    """Records, proofs and fences, in the orders in which they may arrive."""

    def setUp(self) -> None:
        """Update the tracker with the old primary, by a read sent at 100."""
        self.tracker = PrimaryTracker()
        self.tracker.update(OLD, 100)

    def test_proof_is_valid_from_when_the_read_was_sent(self) -> None:
        """The time at which the answer arrived does not matter."""
        self.assertEqual(
            self.tracker.find_primary(100 + PROOF_TTL_SECONDS), 'old'
        )
        self.assertEqual(
            self.tracker.find_primary(100.1 + PROOF_TTL_SECONDS), ''
        )

    def test_older_record_changes_nothing(self) -> None:
        """A late answer neither restores a record nor renews a proof."""
        self.tracker.update(NEW, 103)
        self.tracker.update(OLD, 104)
        self.assertEqual(self.tracker.record, NEW)
        self.assertEqual(
            self.tracker.find_primary(103 + PROOF_TTL_SECONDS), 'new'
        )
        self.assertEqual(self.tracker.find_primary(104 + PROOF_TTL_SECONDS), '')

    def test_announced_failover_stops_new_statements_at_once(self) -> None:
        """Running statements may be acknowledged until the fence."""
        self.tracker.update(CHANGING, 101)
        self.assertEqual(self.tracker.find_primary(101), '')
        self.assertTrue(self.tracker.may_acknowledge('old', 101))
        self.tracker.fence(CHANGING.position)
        self.assertFalse(self.tracker.may_acknowledge('old', 101))

    def test_announced_failover_does_not_renew_the_proof(self) -> None:
        """Without a fence the old proof still expires."""
        self.tracker.update(CHANGING, 102)
        expires_at = 100 + PROOF_TTL_SECONDS
        self.assertTrue(self.tracker.may_acknowledge('old', expires_at))
        self.assertFalse(self.tracker.may_acknowledge('old', expires_at + 0.1))

    def test_record_from_another_instance_is_no_proof(self) -> None:
        """A new primary is used only after a read of the stored record."""
        self.tracker.update(NEW, float('-inf'))
        self.assertEqual(self.tracker.find_primary(101), '')
        self.tracker.update(NEW, 101)
        self.assertEqual(self.tracker.find_primary(101), 'new')

    def test_fence_may_come_before_the_record(self) -> None:
        """A late record from before the failover is not used."""
        self.tracker.fence(CHANGING.position)
        self.tracker.update(OLD, 101)
        self.assertEqual(self.tracker.find_primary(101), '')
        self.assertFalse(self.tracker.may_acknowledge('old', 101))

    def test_floor_is_the_oldest_sample_within_the_age_bound(self) -> None:
        """A read of bounded staleness gets the lowest allowed position."""
        for second in range(4):
            self.tracker.add_sample(100 + second, Position(1, second))
        sample = self.tracker.find_sample(101.5)
        self.assertEqual(sample.position, Position(1, 2))
        self.assertIsNone(self.tracker.find_sample(103.5))

    def test_new_primary_clears_samples(self) -> None:
        """Positions in the log of another primary are not used as floors."""
        self.tracker.add_sample(100, Position(1, 7))
        self.tracker.update(NEW, 101)
        self.assertIsNone(self.tracker.find_sample(99))


class ContactTest(unittest.TestCase):
    """An instance of a fleet with several zones, which loses the store."""

    def setUp(self) -> None:
        """Update the tracker with the old primary, by a read sent at 100."""
        self.tracker = PrimaryTracker(needs_contact=True)
        self.tracker.update(OLD, 100)

    def test_proof_without_contact_ends_sooner(self) -> None:
        """An instance that is cut off with its zone stops early."""
        ends_at = 100 + CONTACT_TTL_SECONDS
        self.assertEqual(self.tracker.find_primary(ends_at), 'old')
        self.assertEqual(self.tracker.find_primary(ends_at + 0.1), '')
        self.assertFalse(self.tracker.may_acknowledge('old', ends_at + 0.1))

    def test_contact_never_outlives_the_proof(self) -> None:
        """While the store is down, other zones bridge a limited time."""
        self.tracker.record_contact(OLD.position, 102)
        ends_at = 100 + PROOF_TTL_SECONDS
        self.assertEqual(self.tracker.find_primary(ends_at), 'old')
        self.assertEqual(self.tracker.find_primary(ends_at + 0.1), '')

    def test_contact_about_another_record_is_ignored(self) -> None:
        """A late contact about the old primary says nothing of the new."""
        self.tracker.record_contact(OLD.position, 102)
        self.tracker.update(NEW, 101)
        self.tracker.record_contact(OLD.position, 103)
        expired_at = 101 + CONTACT_TTL_SECONDS + 0.1
        self.assertEqual(self.tracker.find_primary(expired_at), '')

    def test_fenced_record_is_not_confirmed(self) -> None:
        """Who confirmed an announcement confirms the old primary no more."""
        self.assertTrue(self.tracker.confirms(OLD.position, 101))
        self.tracker.fence(CHANGING.position)
        self.assertFalse(self.tracker.confirms(OLD.position, 101))


class RestoredRecordTest(unittest.TestCase):
    """The store returns from a copy with an older record of the group."""

    def setUp(self) -> None:
        """Create a tracker that knows the new primary."""
        self.tracker = PrimaryTracker()
        self.tracker.update(OLD, 100)
        self.tracker.update(NEW, 100)
        self.restored = OLD._replace(
            position=StorePosition(2, 10), is_restored=True
        )

    # Guards against: the old primary is used again, because the store has lost
    # the record of its replacement.
    def test_lost_failover_stays_known(self) -> None:
        """The old primary is not used, whatever the store says."""
        self.tracker.update(self.restored, 102)
        self.assertEqual(self.tracker.find_primary(102), 'new')
        self.assertFalse(self.tracker.may_acknowledge('old', 102))
        self.assertEqual(self.tracker.record.term, NEW.term)
        self.assertEqual(self.tracker.record.position, StorePosition(2, 10))

    # Guards against: a record that may lack later failovers renews a proof.
    def test_restored_record_proves_nothing(self) -> None:
        """The primary is used until the last proof has expired."""
        self.tracker.update(self.restored, 102)
        self.assertEqual(self.tracker.find_proof_age(102), 2)
        self.assertTrue(self.tracker.record.is_restored)

    # Guards against: an answer of a primary whose end this instance has
    # confirmed is reported as a success, since the announcement is lost.
    def test_fenced_primary_stays_fenced(self) -> None:
        """The fence of the lost announcement holds for the restored record."""
        tracker = PrimaryTracker()
        tracker.update(OLD, 100)
        tracker.update(CHANGING, 100)
        tracker.fence(CHANGING.position)
        tracker.update(self.restored, 101)
        self.assertFalse(tracker.may_acknowledge('old', 101))
        self.assertEqual(tracker.find_primary(101), '')

    # Guards against: instances that know no later primary record the old one
    # anew, and those that know better follow them.
    def test_confirmed_record_of_lower_term_is_doubted(self) -> None:
        """It gives no proof, and the instance asks for another search."""
        settled = OLD._replace(position=StorePosition(2, 12))
        self.tracker.update(settled, 102)
        self.assertEqual(self.tracker.find_proof_age(102), 2)
        self.assertTrue(self.tracker.record.is_restored)

    def test_record_of_the_new_era_is_proved(self) -> None:
        """Once the primary is recorded again, proofs are renewed."""
        self.tracker.update(self.restored, 102)
        self.tracker.update(NEW._replace(position=StorePosition(2, 12)), 103)
        self.assertEqual(self.tracker.find_proof_age(103), 0)
        self.assertFalse(self.tracker.record.is_restored)


if __name__ == '__main__':
    unittest.main()
