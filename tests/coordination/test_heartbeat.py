"""Registration of an instance that shuts down or whose store is restored."""

import unittest

import curio

from comfreystair.coordination.heartbeat import Heartbeat
from comfreystair.coordination.plan_cache import PlanCache
from comfreystair.coordination.proofs import ProofExchange
from comfreystair.coordination.records import (
    INSTANCES_PREFIX,
    InstanceRecord,
    Lease,
    decode_instance,
)
from comfreystair.coordination.state import FleetState
from comfreystair.exceptions import ComfreystairError
from tests.coordination.fakes import (
    FakeLog,
    FakePeers,
    FakeStore,
    build_evacuation_keys,
)

OWN = InstanceRecord('a', 'lima-a', 'a:1', 'a-1')
KEY = f'{INSTANCES_PREFIX}a'


class HeartbeatTestCase(unittest.TestCase):
    """The heartbeat of one instance."""

    def setUp(self) -> None:
        """Create the heartbeat of one instance."""
        state = FleetState(OWN)
        self.state = state
        self.store = FakeStore(state.store_era.observe)
        log = FakeLog()
        plans = PlanCache(state, lambda _item: None, log)
        keys = build_evacuation_keys(state)
        exchange = ProofExchange(
            state,
            plans,
            FakePeers(),
            lambda: self.store.read('plan'),
            keys,
            log,
        )
        self.heartbeat = Heartbeat(
            state, self.store, 'plan', plans, exchange, keys, log
        )


class AnnounceShutdownTest(HeartbeatTestCase):
    """The registration after an announced shutdown."""

    def test_registration_is_marked_as_leaving(self) -> None:
        """The record stays bound to the lease, so that it expires."""

        async def register_and_announce() -> None:
            await self.heartbeat._register()
            await self.heartbeat.announce_shutdown()

        curio.run(register_and_announce)
        item = self.store.items[KEY]
        self.assertTrue(decode_instance(item).is_leaving)
        self.assertNotEqual(item.lease_id, 0)

    def test_unregistered_instance_writes_no_record(self) -> None:
        """A record without a lease would stay listed for good."""
        curio.run(self.heartbeat.announce_shutdown)
        self.assertNotIn(KEY, self.store.items)


class RestoredStoreTest(HeartbeatTestCase):
    """The registration when the store returns from an older copy."""

    def register_and_restore(self) -> None:
        """Register, and have the store lose the registration and its lease."""
        self.store.save()
        curio.run(self.heartbeat._try_renew)
        self.assertIn(KEY, self.store.items)
        self.store.restore()
        self.state.store_era.observe(self.store.era, 'a peer')

    # Guards against: an instance is missing from the list for seconds after
    # the return, since its registration is not due for renewal.
    def test_lost_registration_is_written_at_once(self) -> None:
        """A follower registers again as soon as it knows of the new era."""
        self.register_and_restore()
        curio.run(self.heartbeat._try_renew)
        item = self.store.items[KEY]
        self.assertEqual(item.position.era, self.store.era)
        self.assertNotEqual(item.lease_id, 0)

    # Guards against: contacts are confirmed by an instance that no failover
    # would tell, as the store has lost its registration.
    def test_lost_registration_does_not_count(self) -> None:
        """It no longer makes the instance known to failovers."""
        self.register_and_restore()
        self.heartbeat._registered_at -= 60
        self.assertFalse(self.heartbeat.is_registered())

    # Guards against: a proof is taken without a registration, so that a
    # failover does not wait for the instance that holds it.
    def test_no_proof_without_registration(self) -> None:
        """A lease that is lost before it is used gives no proof."""

        async def lose_lease(_seconds: float) -> Lease:
            return Lease(self.store.era, -1)

        self.store.grant_lease = lose_lease
        with self.assertRaises(ComfreystairError):
            curio.run(self.heartbeat._read_store)


if __name__ == '__main__':
    unittest.main()
