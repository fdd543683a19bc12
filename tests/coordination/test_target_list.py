"""The list of targets, as it follows their entries."""

import unittest

from comfreystair.coordination.target_list import TargetList
from comfreystair.pooling.targets import TargetEntry
from tests.coordination.fakes import FakeLog

READY = TargetEntry('t', 'g', 't:1', 'z', 2, 1, False, False, 4)
LEAVING = READY._replace(is_leaving=True, sequence=6)
# Longer than a missing target stays in the list, in seconds.
REMOVED_SECONDS = 5.0


class TargetListTest(unittest.TestCase):
    """One target, whose entry may be missing or return from an older copy."""

    def setUp(self) -> None:
        """Create an empty list at second 0."""
        self.listed = TargetList(FakeLog())
        self.now = 0.0

    def update(self, *entries: TargetEntry, seconds: float = 1.0) -> list:
        """Return what is listed after some seconds and a read."""
        self.now += seconds
        found = {one.ident: one for one in entries}
        return list(self.listed.update(found, self.now).values())

    # Guards against: new requests go to a target that is shutting down,
    # because the restored store has its entry from before.
    def test_leaving_target_stays_so_over_a_restore(self) -> None:
        """An entry from before the present one of the same run is ignored."""
        self.update(READY)
        self.update(LEAVING)
        self.assertEqual(self.update(READY), [LEAVING])

    # Guards against: a target that has left is used again, because the
    # restored store still has its entry.
    def test_target_that_left_is_not_listed_again(self) -> None:
        """An entry that was listed before the target left names no target."""
        self.update(LEAVING)
        self.update()
        self.assertEqual(self.update(seconds=REMOVED_SECONDS), [])
        self.assertEqual(self.update(READY), [])

    def test_lapsed_entry_is_listed_again(self) -> None:
        """An entry that expired during an outage returns with the target."""
        self.update(READY)
        self.update()
        self.assertEqual(self.update(seconds=REMOVED_SECONDS), [])
        self.assertEqual(self.update(READY), [READY])

    def test_restarted_target_is_listed(self) -> None:
        """The counts of another run say nothing, wherever they stand."""
        self.update(LEAVING)
        restarted = READY._replace(born=2, sequence=1)
        self.assertEqual(self.update(restarted), [restarted])

    def test_missing_target_is_kept_for_a_short_time(self) -> None:
        """An entry that is missing in one read does not remove the target."""
        self.update(READY)
        self.assertEqual(self.update(), [READY])


if __name__ == '__main__':
    unittest.main()
