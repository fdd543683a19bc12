"""Lists that instances of a zone take over from their reader."""

import unittest

import curio

from comfreystair.coordination.directory import Directory
from comfreystair.coordination.plans import PlanBook
from comfreystair.coordination.proofs import ProofExchange
from comfreystair.coordination.ranks import find_rank
from comfreystair.coordination.records import (
    INSTANCES_PREFIX,
    InstanceRecord,
    Item,
    encode_record,
)
from comfreystair.coordination.state import FleetState
from comfreystair.pooling.targets import TargetEntry
from tests.coordination.fakes import FakeLog, FakePeers, FakeStore

PREFIX = 'targets/'
NAMES = ('a', 'b', 'c')
RECORDS = {
    name: InstanceRecord(name, 'lima-a', f'{name}:1', f'{name}-1')
    for name in NAMES
}


def parse_targets(items: dict[str, Item]) -> dict[str, TargetEntry]:
    """Return targets whose content is their address."""
    found: dict[str, TargetEntry] = {}
    for key, item in items.items():
        ident = key.removeprefix(PREFIX)
        found[ident] = TargetEntry(
            ident, 'g', item.blob.decode(), 'lima-a', 2, 1, False, False
        )
    return found


class Member:
    """One instance's directory."""

    def __init__(self, name: str, store: FakeStore, peers: FakePeers) -> None:
        """Wire it and serve its lists."""
        self.state = FleetState(RECORDS[name])
        log = FakeLog()
        plans = PlanBook(self.state, lambda _item: None, log)
        exchange = ProofExchange(
            self.state, plans, peers, lambda: store.read('plan'), log
        )
        self.directory = Directory(
            self.state, store, PREFIX, parse_targets, exchange, peers, log
        )
        peers.serve(RECORDS[name].address, 'lists', self.directory.give)


class DirectoryTest(unittest.TestCase):
    """Three instances of one zone."""

    def setUp(self) -> None:
        """Register all instances and one target."""
        self.store = FakeStore()
        self.peers = FakePeers()
        for name, record in RECORDS.items():
            self.put(f'{INSTANCES_PREFIX}{name}', encode_record(record))
        self.put(f'{PREFIX}t', b'one')
        self.members = {
            name: Member(name, self.store, self.peers) for name in NAMES
        }
        self.reader = min(
            NAMES, key=lambda name: find_rank('reader', NAMES, name)
        )

    def put(self, key: str, blob: bytes) -> None:
        """Write a key."""
        self.store.revision += 1
        self.store.items[key] = Item(blob, self.store.revision)

    def read_all(self) -> int:
        """Have all read once; return the calls that the store got."""
        before = self.store.calls

        async def play() -> None:
            first = self.members[self.reader]
            for one in (first, *self.members.values()):
                await one.directory._read()

        curio.run(play)
        return self.store.calls - before

    def test_one_instance_reads_for_its_zone(self) -> None:
        """Once they know each other, two calls serve all three."""
        self.read_all()
        # The reader is asked to read twice, at two calls each.
        self.assertEqual(self.read_all(), 4)

    def test_changes_reach_followers(self) -> None:
        """What is new, what changed and what went."""
        self.read_all()
        self.put(f'{PREFIX}u', b'new')
        self.put(f'{PREFIX}t', b'changed')
        self.read_all()
        for one in self.members.values():
            addresses = {
                ident: entry.address
                for ident, entry in one.state.targets.items()
            }
            self.assertEqual(addresses, {'t': 'changed', 'u': 'new'})

    def test_store_is_read_when_the_reader_stays_silent(self) -> None:
        """Lists are never older than the bound for want of one instance."""
        self.read_all()
        self.peers.unreachable.add(RECORDS[self.reader].address)
        follower = next(name for name in NAMES if name != self.reader)
        state = self.members[follower].state
        state.lists_read_at = float('-inf')
        self.read_all()
        self.assertNotEqual(state.lists_read_at, float('-inf'))


if __name__ == '__main__':
    unittest.main()
