"""An instance's registration, when it shuts down."""

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


class LeaveTest(unittest.TestCase):
    """Telling the others."""

    def setUp(self) -> None:
        """Wire one instance."""
        self.store = FakeStore()
        state = FleetState(OWN)
        log = FakeLog()
        plans = PlanCache(state, lambda _item: None, log)
        exchange = ProofExchange(
            state, plans, FakePeers(), lambda: self.store.read('plan'), log
        )
        self.pulse = Heartbeat(state, self.store, 'plan', plans, exchange, log)

    def test_registration_says_that_it_leaves(self) -> None:
        """And ends with the lease that it had."""

        async def play() -> None:
            await self.pulse._register()
            await self.pulse.announce_shutdown()

        curio.run(play)
        item = self.store.items[KEY]
        self.assertTrue(decode_instance(item).is_leaving)
        self.assertNotEqual(item.lease, 0)

    def test_unregistered_instance_leaves_no_record(self) -> None:
        """One without a lease would stay listed for good."""
        curio.run(self.pulse.announce_shutdown)
        self.assertNotIn(KEY, self.store.items)


if __name__ == '__main__':
    unittest.main()
