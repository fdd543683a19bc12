"""Conditional writes and leases after the store has lost its last writes."""

import unittest

import curio

from comfreystair.controllers.store_position import ABSENT, StorePosition
from comfreystair.coordination.exceptions import StoreRestoredError
from comfreystair.coordination.records import Committed, Conflict
from comfreystair.coordination.restorable_store import RestorableStore
from comfreystair.coordination.store_era import StoreEra
from tests.coordination.fakes import FakeStore


class RestorableStoreTest(unittest.TestCase):
    """One client of a store that returns to an older copy."""

    def setUp(self) -> None:
        """Create a store whose answers are checked."""
        self.era = StoreEra()
        self.raw = FakeStore(self.era.observe)
        self.store = RestorableStore(self.raw, self.era)

    def lose_key(self) -> StorePosition:
        """Write a key that the store then loses; another one replaces it.

        :returns: the lost position, whose revision the new value has.
        """
        self.raw.save()
        lost = self.raw.put('key', b'lost')
        curio.run(self.store.read, 'key')
        self.raw.restore()
        self.assertEqual(self.raw.put('key', b'new').revision, lost.revision)
        return lost

    # Guards against: a value at a reused revision is taken for the known one.
    def test_reused_revision_is_a_conflict(self) -> None:
        """A check returns the present value, before and after the era is known.

        The first check learns of the new era only from its answer.
        """
        lost = self.lose_key()
        for _ in range(2):
            outcome = curio.run(self.store.compare_and_set, {'key': lost})
            self.assertIsInstance(outcome, Conflict)
            self.assertEqual(outcome.items['key'].blob, b'new')
            self.assertEqual(outcome.items['key'].position.era, 2)

    # Guards against: a write replaces a value that the writer has never read.
    def test_known_era_protects_value_at_reused_revision(self) -> None:
        """A conditional write of an earlier era does not take effect."""
        lost = self.lose_key()
        curio.run(self.store.read, 'key')
        outcome = curio.run(
            self.store.compare_and_set, {'key': lost}, {'key': b'mine'}
        )
        self.assertIsInstance(outcome, Conflict)
        self.assertEqual(self.raw.items['key'].blob, b'new')

    # Guards against: a write that met the store's return counts as committed.
    def test_write_that_meets_the_return_is_no_success(self) -> None:
        """Its condition was met by chance, so its outcome is an error."""
        lost = self.lose_key()
        with self.assertRaises(curio.TaskError) as caught:
            curio.run(self._spawn_write, lost)
        self.assertIsInstance(caught.exception.__cause__, StoreRestoredError)

    # Guards against: the lease of another instance is renewed or used, because
    # it has the id of a lost lease.
    def test_lease_of_earlier_era_has_expired(self) -> None:
        """It is neither renewed, nor used, nor revoked."""
        self.raw.save()
        lost = curio.run(self.store.grant_lease, 5)
        self.raw.restore()
        other = curio.run(self.store.grant_lease, 5)
        self.assertEqual(other.ident, lost.ident)
        self.assertFalse(curio.run(self.store.renew_lease, lost))
        outcome = curio.run(
            self.store.compare_and_set,
            {'key': ABSENT},
            {'key': b'mine'},
            lost,
            ('key',),
        )
        self.assertEqual(outcome, Conflict({}))
        curio.run(self.store.revoke_lease, lost)
        self.assertTrue(curio.run(self.store.renew_lease, other))

    def test_conditions_of_the_present_era_hold(self) -> None:
        """A store that has been restored works as before."""
        self.lose_key()
        current = curio.run(self.store.read, 'key').position
        outcome = curio.run(
            self.store.compare_and_set, {'key': current}, {'key': b'mine'}
        )
        self.assertIsInstance(outcome, Committed)

    # Guards against: an answer that was delayed over the return undoes what
    # was read after it.
    def test_late_answer_of_earlier_era_is_refused(self) -> None:
        """It is an error, as what it tells may be lost."""
        self.era.observe(2, 'a peer')
        with self.assertRaises(StoreRestoredError):
            self.era.observe(1, 'store')

    async def _spawn_write(self, lost: StorePosition) -> None:
        task = await curio.spawn(
            self.store.compare_and_set, {'key': lost}, {'key': b'mine'}
        )
        await task.join()


if __name__ == '__main__':
    unittest.main()
