"""Evacuations of zones, from the store to every instance."""

import unittest

import curio

from comfreystair.controllers.places.evacuation import Evacuations
from comfreystair.coordination.heartbeat import Heartbeat
from comfreystair.coordination.plan_cache import PlanCache
from comfreystair.coordination.proofs import ProofExchange
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.restorable_store import RestorableStore
from comfreystair.coordination.state import FleetState
from tests.coordination.fakes import (
    EVACUATIONS,
    FakeLog,
    FakePeers,
    FakeStore,
    build_evacuation_keys,
)

ZONES = ('lima-a', 'lima-b')
KEY = f'{EVACUATIONS}lima-b'


class Instance:
    """The heartbeat of one instance."""

    def __init__(self, name: str, store: FakeStore, peers: FakePeers) -> None:
        """Create an instance that knows of no other."""
        self.record = InstanceRecord(name, 'lima-a', f'{name}:1', name)
        self.state = FleetState(self.record)
        self.state.evacuations = Evacuations(ZONES, 5)
        self.keys = build_evacuation_keys(self.state)
        restorable = RestorableStore(store, self.state.store_era)
        log = FakeLog()
        plans = PlanCache(self.state, lambda _item: None, log)
        self.exchange = ProofExchange(
            self.state,
            plans,
            peers,
            lambda: store.read('plan'),
            self.keys,
            log,
        )
        self.heartbeat = Heartbeat(
            self.state, restorable, 'plan', plans, self.exchange, self.keys, log
        )
        peers.serve(self.record.address, 'proof', self.exchange.handle_request)

    def read_store(self) -> None:
        """Get proofs, and once more what a conflict left open."""
        self.state.store_era.observe(self.state.store_era.current, 'test')
        for _ in range(2):
            curio.run(self.heartbeat._read_store)

    def is_evacuated(self) -> bool:
        """Tell whether this instance sends no reads to the second zone."""
        return self.state.evacuations.is_evacuated('lima-b')


class EvacuationKeysTest(unittest.TestCase):
    """A reader of the store and its follower."""

    def setUp(self) -> None:
        """Create two instances before the first evacuation."""
        peers = FakePeers()
        self.store = FakeStore(self.observe)
        self.reader = Instance('reader', self.store, peers)
        self.follower = Instance('follower', self.store, peers)
        self.reader.read_store()

    def observe(self, era: int, source: str) -> None:
        """Tell the reader the era of an answer."""
        self.reader.state.store_era.observe(era, source)

    def fetch(self) -> None:
        """Have the follower fetch the reader's proofs."""
        curio.run(self.follower.exchange.fetch_from, self.reader.record)

    def test_absence_is_proved(self) -> None:
        """Guards against a fleet that never learns of an evacuation.

        Without the absent keys among the conditions the call succeeds and
        nothing tells that one exists.
        """
        self.assertFalse(self.reader.is_evacuated())
        self.store.put(KEY, b'{}')
        self.reader.read_store()
        self.assertTrue(self.reader.is_evacuated())
        self.store.items.pop(KEY)
        self.reader.read_store()
        self.assertFalse(self.reader.is_evacuated())

    def test_follower_learns_with_the_age(self) -> None:
        """Guards against a handed on proof that looks younger than it is."""
        self.fetch()
        ages = [
            one.state.evacuations.find_proof_age('lima-b', 0)
            for one in (self.follower, self.reader)
        ]
        self.assertGreaterEqual(*ages)
        self.store.put(KEY, b'{}')
        self.reader.read_store()
        self.fetch()
        self.assertTrue(self.follower.is_evacuated())

    def test_other_values_are_left_out(self) -> None:
        """Guards against another writer's bytes that evacuate a zone."""
        self.store.put(KEY, b'\xff[')
        self.reader.read_store()
        self.assertFalse(self.reader.is_evacuated())
        self.store.put(KEY, b'{}')
        self.reader.read_store()
        self.assertTrue(self.reader.is_evacuated())

    def test_restored_store_ends_no_evacuation(self) -> None:
        """Guards against requests to the zone until it is written again."""
        self.store.save()
        self.store.put(KEY, b'{}')
        self.reader.read_store()
        self.store.restore()
        self.reader.read_store()
        self.assertTrue(self.reader.is_evacuated())
        self.reader.state.store_era.restored_at -= 60
        self.reader.read_store()
        self.assertFalse(self.reader.is_evacuated())

    def test_unknown_zone_is_logged(self) -> None:
        """Guards against a misspelt zone that nobody notices."""
        self.store.put(f'{EVACUATIONS}lima-x', b'{}')
        self.store.put(EVACUATIONS, b'{}')
        for _ in range(2):
            curio.run(self.reader.keys._look, self.store)
        events = self.reader.keys._log.events
        self.assertEqual(events.count('evacuation_left_out'), 2)


if __name__ == '__main__':
    unittest.main()
