"""Lists of targets and instances, and their transfer within a zone."""

import unittest

import curio

from comfreystair.clocks import read_clock
from comfreystair.coordination.plan_cache import PlanCache
from comfreystair.coordination.proofs import ProofExchange
from comfreystair.coordination.records import (
    INSTANCES_PREFIX,
    InstanceRecord,
    StoredValue,
    encode_record,
)
from comfreystair.coordination.rendezvous import find_rank
from comfreystair.coordination.service_discovery import ServiceDiscovery
from comfreystair.coordination.state import FleetState
from comfreystair.pooling.targets import TargetEntry
from tests.coordination.fakes import (
    FakeLog,
    FakePeers,
    FakeStore,
    build_evacuation_keys,
)

PREFIX = 'targets/'
NAMES = ('a', 'b', 'c')
RESTORED_LONG_AGO_SECONDS = 10.0
RECORDS = {
    name: InstanceRecord(name, 'lima-a', f'{name}:1', f'{name}-1')
    for name in NAMES
}


def parse_target(key: str, item: StoredValue) -> TargetEntry:
    """Return a target whose stored value is its address."""
    return TargetEntry(
        key.removeprefix(PREFIX),
        'g',
        item.blob.decode(),
        'lima-a',
        2,
        1,
        False,
        False,
    )


class Instance:
    """Service discovery of one instance."""

    def __init__(self, name: str, store: FakeStore, peers: FakePeers) -> None:
        """Create the instance and serve its lists to the others."""
        self.state = FleetState(RECORDS[name])
        log = FakeLog()
        plans = PlanCache(self.state, lambda _item: None, log)
        exchange = ProofExchange(
            self.state,
            plans,
            peers,
            lambda: store.read('plan'),
            build_evacuation_keys(self.state),
            log,
        )
        self.discovery = ServiceDiscovery(
            self.state, store, PREFIX, parse_target, exchange, peers, log
        )
        peers.serve(
            RECORDS[name].address, 'lists', self.discovery.handle_request
        )


class ServiceDiscoveryTest(unittest.TestCase):
    """Three instances of one zone."""

    def setUp(self) -> None:
        """Create three registered instances and one target."""
        self.store = FakeStore()
        self.peers = FakePeers()
        for name, record in RECORDS.items():
            self.put(f'{INSTANCES_PREFIX}{name}', encode_record(record))
        self.put(f'{PREFIX}t', b'one')
        self.instances = {
            name: Instance(name, self.store, self.peers) for name in NAMES
        }
        self.reader = min(
            NAMES, key=lambda name: find_rank('reader', NAMES, name)
        )

    def put(self, key: str, blob: bytes) -> None:
        """Write a key to the store."""
        self.store.put(key, blob)

    def read_all(self) -> int:
        """Let all instances read; the reader reads first and once more.

        :returns: number of calls to the store.
        """
        before = self.store.calls

        async def read_in_turn() -> None:
            first = self.instances[self.reader]
            for one in (first, *self.instances.values()):
                await one.discovery._read()

        curio.run(read_in_turn)
        return self.store.calls - before

    def test_one_instance_reads_for_its_zone(self) -> None:
        """Only the reader calls the store, once all know each other."""
        self.read_all()
        # The reader reads twice, with two calls each time.
        self.assertEqual(self.read_all(), 4)

    def test_changes_reach_followers(self) -> None:
        """New and changed targets reach the instances that ask the reader."""
        self.read_all()
        self.put(f'{PREFIX}u', b'new')
        self.put(f'{PREFIX}t', b'changed')
        self.read_all()
        for one in self.instances.values():
            addresses = {
                ident: entry.address
                for ident, entry in one.state.targets.items()
            }
            self.assertEqual(addresses, {'t': 'changed', 'u': 'new'})

    def test_store_is_read_when_the_reader_does_not_answer(self) -> None:
        """The followers' lists stay current while the reader is unreachable."""
        self.read_all()
        self.peers.unreachable.add(RECORDS[self.reader].address)
        follower = next(name for name in NAMES if name != self.reader)
        state = self.instances[follower].state
        state.lists_read_at = float('-inf')
        self.read_all()
        self.assertNotEqual(state.lists_read_at, float('-inf'))

    def lose_registrations(self, restored_ago: float) -> set[str]:
        """Let all instances read a store without registrations.

        :param restored_ago: how long ago the store was restored, in seconds.
        :returns: the instances that the reader lists then.
        """
        self.read_all()
        for name in NAMES:
            self.store.items.pop(f'{INSTANCES_PREFIX}{name}')
        for one in self.instances.values():
            one.state.store_era.restored_at = read_clock() - restored_ago
        self.read_all()
        return set(self.instances[self.reader].state.instances)

    # Guards against: all instances read the store and connect to all targets
    # at once, because each finds itself alone in the restored store's list.
    def test_instances_stay_listed_over_a_restore(self) -> None:
        """They have a short time to register again."""
        self.assertEqual(self.lose_registrations(0), set(NAMES))

    def test_instances_that_did_not_register_again_are_removed(self) -> None:
        """A missing registration means an end again soon after a restore."""
        self.assertEqual(
            self.lose_registrations(RESTORED_LONG_AGO_SECONDS), {self.reader}
        )


if __name__ == '__main__':
    unittest.main()
