"""Keeper election while holders stop, restart or do not answer."""

import unittest

import curio

from comfreystair.clocks import read_clock
from comfreystair.coordination.keeper_election import KeeperElection
from comfreystair.coordination.rate_limiter import TokenKeeper
from comfreystair.coordination.records import (
    KEEPERS_PREFIX,
    InstanceRecord,
    encode_record,
)
from comfreystair.coordination.restorable_store import RestorableStore
from comfreystair.coordination.state import FleetState
from comfreystair.peers.messages import definitions
from tests.coordination.fakes import FakeLog, FakePeers, FakeStore

ZONE = 'lima-a'
KEY = f'{KEEPERS_PREFIX}{ZONE}'
OWN = InstanceRecord('a', ZONE, 'a:1', 'a-1')
OTHER = InstanceRecord('b', ZONE, 'b:1', 'b-1')
RUN_SECONDS = 1.6


class KeeperElectionTest(unittest.TestCase):
    """One instance that can become the keeper."""

    def setUp(self) -> None:
        """Create an election without a holder."""
        self.peers = FakePeers()
        self.state = FleetState(OWN)
        self.raw_store = FakeStore(self.state.store_era.observe)
        self.store = RestorableStore(self.raw_store, self.state.store_era)
        self.keeper = TokenKeeper(self.state, 1)
        self.election = KeeperElection(
            self.state, self.store, self.peers, self.keeper, FakeLog()
        )

    def set_other_as_holder(self, incarnation: str, is_keeper: bool) -> None:
        """Store the other instance as holder and let it answer requests."""
        self.raw_store.put(KEY, encode_record(OTHER), 99)
        self.state.keepers = {ZONE: OTHER}

        async def identify(_request):
            return definitions.Identity(
                incarnation=incarnation, is_keeper=is_keeper
            )

        self.peers.serve(OTHER.address, 'identify', identify)

    def run_election(self) -> bool:
        """Run the election for a while; tell whether this instance won."""
        curio.run(self._run)
        return self.keeper.may_grant

    def test_free_lease_is_acquired(self) -> None:
        """The instance of the first rank becomes the keeper."""
        self.assertTrue(self.run_election())

    def test_running_holder_is_not_replaced(self) -> None:
        """A holder that answers as keeper stays the keeper."""
        self.set_other_as_holder(OTHER.incarnation, is_keeper=True)
        self.assertFalse(self.run_election())

    def test_unreachable_holder_is_not_replaced(self) -> None:
        """An unreachable holder may still run behind a network partition.

        This holds for refused and reset connections as well.
        """
        self.set_other_as_holder(OTHER.incarnation, is_keeper=True)
        self.peers.unreachable.add(OTHER.address)
        self.assertFalse(self.run_election())

    def test_holder_that_has_stopped_is_replaced_at_once(self) -> None:
        """A holder that could not renew its lease answers that it stopped."""
        self.set_other_as_holder(OTHER.incarnation, is_keeper=False)
        self.assertTrue(self.run_election())

    def test_restarted_holder_is_replaced_at_once(self) -> None:
        """A restarted process has a new incarnation and no lease."""
        self.set_other_as_holder('b-2', is_keeper=True)
        self.assertTrue(self.run_election())

    def test_no_grants_while_unreachable_holder_may_grant(self) -> None:
        """The store may drop the lease early while the holder still runs.

        The key is taken over, but no tokens are granted until the old holder
        must have stopped.
        """
        self.set_other_as_holder(OTHER.incarnation, is_keeper=True)
        self.peers.unreachable.add(OTHER.address)
        curio.run(self._run)
        self.raw_store.items.clear()
        self.state.keepers = {}
        self.assertFalse(self.run_election())
        self.assertIn(KEY, self.raw_store.items)

    def restore_after_election(self) -> None:
        """Become the keeper in writes that the store then loses."""
        self.raw_store.save()
        self.assertTrue(self.run_election())
        self.raw_store.restore()
        curio.run(self.store.read, KEY)

    # Guards against: nobody is served after a restore for want of tokens, as
    # the keeper gives up and the next one begins with empty buckets.
    def test_lost_lease_is_replaced_without_a_pause(self) -> None:
        """The keeper holds the key with a new lease and keeps its buckets."""
        self.restore_after_election()
        bucket = object()
        buckets = self.keeper._buckets
        buckets['org'] = bucket
        self.assertTrue(self.run_election())
        self.assertIs(buckets.get('org'), bucket)
        item = self.raw_store.items[KEY]
        self.assertEqual(item.position.era, self.raw_store.era)

    # Guards against: two keepers of a zone grant tokens, because the store has
    # lost the key of the first one.
    def test_keeper_gives_way_to_the_one_in_the_store(self) -> None:
        """Another instance was faster in the new era."""
        self.restore_after_election()
        self.set_other_as_holder(OTHER.incarnation, is_keeper=True)
        self.assertFalse(self.run_election())

    # Guards against: the same, when the restored key names nobody, or an
    # earlier keeper that has stopped.
    def test_no_grants_while_a_forgotten_keeper_grants(self) -> None:
        """It is asked though it is not in the store, and waited for."""
        self.state.instances = {'a': OWN, 'b': OTHER}
        self.set_other_as_holder(OTHER.incarnation, is_keeper=True)
        self.raw_store.items.clear()
        self.state.keepers = {}
        self.election._vacant_since = 0
        self.assertFalse(self.run_election())
        self.assertIn(KEY, self.raw_store.items)

    # Guards against: the same, when the forgotten keeper can't be reached.
    def test_no_grants_while_a_silent_instance_may_grant(self) -> None:
        """A keeper of before the restore stops by itself."""
        self.raw_store.save()
        self.raw_store.restore()
        curio.run(self.store.read, KEY)
        self.state.store_era.restored_at = read_clock()
        self.state.instances = {'a': OWN, 'b': OTHER}
        self.peers.unreachable.add(OTHER.address)
        self.election._vacant_since = 0
        self.assertFalse(self.run_election())
        self.assertTrue(self.keeper.is_elected)

    def test_silent_instance_does_not_delay_without_a_restore(self) -> None:
        """The store has lost no keeper, so the free key is proof enough."""
        self.state.instances = {'a': OWN, 'b': OTHER}
        self.peers.unreachable.add(OTHER.address)
        self.election._vacant_since = 0
        self.assertTrue(self.run_election())

    async def _run(self) -> None:
        task = await curio.spawn(self.election.run, daemon=True)
        await curio.sleep(RUN_SECONDS)
        await task.cancel()


if __name__ == '__main__':
    unittest.main()
