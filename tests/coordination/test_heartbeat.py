"""Registration of an instance that shuts down."""

import unittest

import curio

from comfreystair.coordination.heartbeat import Heartbeat
from comfreystair.coordination.plan_cache import PlanCache
from comfreystair.coordination.proofs import ProofExchange
from comfreystair.coordination.records import (
    INSTANCES_PREFIX,
    InstanceRecord,
    decode_instance,
)
from comfreystair.coordination.state import FleetState
from tests.coordination.fakes import FakeLog, FakePeers, FakeStore

OWN = InstanceRecord('a', 'lima-a', 'a:1', 'a-1')
KEY = f'{INSTANCES_PREFIX}a'


class AnnounceShutdownTest(unittest.TestCase):
    """The registration after an announced shutdown."""

    def setUp(self) -> None:
        """Create the heartbeat of one instance."""
        self.store = FakeStore()
        state = FleetState(OWN)
        log = FakeLog()
        plans = PlanCache(state, lambda _item: None, log)
        exchange = ProofExchange(
            state, plans, FakePeers(), lambda: self.store.read('plan'), log
        )
        self.heartbeat = Heartbeat(
            state, self.store, 'plan', plans, exchange, log
        )

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


if __name__ == '__main__':
    unittest.main()
