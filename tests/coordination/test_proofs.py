"""Proofs and plans that instances fetch from each other."""

import unittest

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.primary_tracking import PrimaryRecord
from comfreystair.controllers.store_position import StorePosition
from comfreystair.coordination.plan_cache import PlanCache
from comfreystair.coordination.proofs import ProofExchange
from comfreystair.coordination.records import (
    MISSING,
    InstanceRecord,
    StoredValue,
)
from comfreystair.coordination.state import FleetState
from comfreystair.manifest.serving import build_plan
from tests.coordination.fakes import (
    FakeLog,
    FakePeers,
    build_evacuation_keys,
)

RECORDS = {
    name: InstanceRecord(name, 'lima-a', f'{name}:1', f'{name}-1')
    for name in ('a', 'b')
}


def build_stored(revision: int) -> StoredValue:
    """Return a plan as it is stored at a revision."""
    return StoredValue(b'{}', StorePosition(1, revision))


def parse(item: StoredValue):
    """Return a plan without routes."""
    return build_plan(item.position.revision, (), (), {}, 3)


class Instance:
    """Plan and proofs of one instance."""

    def __init__(self, name: str, peers: FakePeers) -> None:
        """Create an instance that knows both and serves its proofs and plan."""
        self.state = FleetState(RECORDS[name])
        self.state.instances = dict(RECORDS)
        self.plans = PlanCache(self.state, parse, FakeLog())
        self.exchange = ProofExchange(
            self.state,
            self.plans,
            peers,
            self.fetch,
            build_evacuation_keys(self.state),
            FakeLog(),
        )
        address = RECORDS[name].address
        peers.serve(address, 'proof', self.exchange.handle_request)
        peers.serve(address, 'plan', self.plans.handle_request)

    async def fetch(self) -> StoredValue:
        """Return no plan, like a store that answers with stale data."""
        return MISSING


class ProofExchangeTest(unittest.TestCase):
    """A reader, and a follower that fetches its proofs."""

    def setUp(self) -> None:
        """Create both instances; only the reader has a plan and a group."""
        self.peers = FakePeers()
        self.reader = Instance('a', self.peers)
        self.follower = Instance('b', self.peers)
        self.read_at = read_clock() - 0.5
        self.reader.plans.update(build_stored(7), self.read_at, 'store')
        group = self.reader.state.find_group('permits')
        record = PrimaryRecord(
            'one', 1, is_changing=False, position=StorePosition(1, 5)
        )
        group.primary_tracker.update(record, self.read_at)

    def fetch(self) -> bool:
        """Fetch the reader's proofs; tell whether they are usable."""
        return curio.run(self.follower.exchange.fetch_from, RECORDS['a'])

    def test_plan_and_primary_come_with_their_age(self) -> None:
        """A fetched proof is never younger than the reader's."""
        self.assertTrue(self.fetch())
        self.assertEqual(self.follower.plans.version, 7)
        self.assertLessEqual(self.follower.state.plan_proved_at, self.read_at)
        tracker = self.follower.state.find_group('permits').primary_tracker
        self.assertEqual(tracker.find_primary(read_clock()), 'one')
        age = tracker.find_proof_age(read_clock())
        self.assertGreaterEqual(age, 0.5)

    def test_outdated_proof_is_not_usable(self) -> None:
        """A reader that can't reach the store is avoided."""
        self.reader.state.plan_proved_at = read_clock() - 3
        self.assertFalse(self.fetch())
        names = [one.name for one in self.follower.exchange.list_sources()]
        self.assertNotIn('a', names)
        self.assertTrue(self.follower.exchange.is_reader)

    def test_reader_without_the_newest_plan_proves_nothing(self) -> None:
        """An older plan may contain access that was revoked since."""
        self.follower.plans.update(build_stored(9), float('-inf'), 'store')
        self.assertFalse(self.fetch())
        self.assertEqual(self.follower.state.plan_proved_at, float('-inf'))

    def test_reader_lists_its_followers(self) -> None:
        """The notices of a failover reach followers that are not listed."""
        self.fetch()
        followers = self.reader.exchange.list_followers()
        self.assertEqual(followers, [RECORDS['b'].address])

    def test_both_agree_on_the_reader(self) -> None:
        """Exactly one of two instances reads the store."""
        roles = [
            self.reader.exchange.is_reader,
            self.follower.exchange.is_reader,
        ]
        self.assertEqual(sorted(roles), [False, True])


if __name__ == '__main__':
    unittest.main()
