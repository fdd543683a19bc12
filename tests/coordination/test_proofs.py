"""Proofs and plans that instances take from each other."""

import unittest

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.leadership import Leadership
from comfreystair.coordination.plan_cache import PlanCache
from comfreystair.coordination.proofs import ProofExchange
from comfreystair.coordination.records import InstanceRecord, StoredValue
from comfreystair.coordination.state import FleetState
from comfreystair.manifest.serving import build_plan
from tests.coordination.fakes import FakeLog, FakePeers

RECORDS = {
    name: InstanceRecord(name, 'lima-a', f'{name}:1', f'{name}-1')
    for name in ('a', 'b')
}


def parse(item: StoredValue):
    """Return a plan without routes."""
    return build_plan(item.revision, item.revision, (), (), {}, 3)


class Member:
    """One instance's part."""

    def __init__(self, name: str, peers: FakePeers) -> None:
        """Know both instances and serve both methods."""
        self.state = FleetState(RECORDS[name])
        self.state.instances = dict(RECORDS)
        self.plans = PlanCache(self.state, parse, FakeLog())
        self.exchange = ProofExchange(
            self.state, self.plans, peers, self.fetch, FakeLog()
        )
        address = RECORDS[name].address
        peers.serve(address, 'proof', self.exchange.handle_request)
        peers.serve(address, 'plan', self.plans.handle_request)

    async def fetch(self) -> StoredValue:
        """Find no plan in the store, as when it answers an old one."""
        return StoredValue(b'', 0)


class ProofsTest(unittest.TestCase):
    """One instance reads, the other takes."""

    def setUp(self) -> None:
        """Give a plan and a group to the one that reads."""
        self.peers = FakePeers()
        self.reader = Member('a', self.peers)
        self.taker = Member('b', self.peers)
        self.read_at = read_clock() - 0.5
        self.reader.plans.update(StoredValue(b'{}', 7), self.read_at, 'store')
        group = self.reader.state.find_group('permits')
        record = Leadership('one', 1, is_changing=False, revision=5)
        group.primary_tracker.learn(record, self.read_at)

    def take(self) -> bool:
        """Take the reader's proofs over."""
        return curio.run(self.taker.exchange.fetch_from, RECORDS['a'])

    def test_plan_and_primary_come_with_their_age(self) -> None:
        """What is taken is never younger than what was read."""
        self.assertTrue(self.take())
        self.assertEqual(self.taker.plans.revision, 7)
        self.assertLessEqual(self.taker.state.plan_proved_at, self.read_at)
        leadership = self.taker.state.find_group('permits').primary_tracker
        self.assertEqual(leadership.find_primary(read_clock()), 'one')
        age = leadership.find_proof_age(read_clock())
        self.assertGreaterEqual(age, 0.5)

    def test_old_proof_will_not_do(self) -> None:
        """A reader that is turned away itself is avoided."""
        self.reader.state.plan_proved_at = read_clock() - 3
        self.assertFalse(self.take())
        names = [one.name for one in self.taker.exchange.list_sources()]
        self.assertNotIn('a', names)
        self.assertTrue(self.taker.exchange.is_reader)

    def test_reader_without_the_newest_plan_proves_nothing(self) -> None:
        """It may not know what was withdrawn."""
        self.taker.plans.update(StoredValue(b'{}', 9), float('-inf'), 'store')
        self.assertFalse(self.take())
        self.assertEqual(self.taker.state.plan_proved_at, float('-inf'))

    def test_reader_names_those_that_took_proofs(self) -> None:
        """A change of primary reaches them through it."""
        self.take()
        followers = self.reader.exchange.list_followers()
        self.assertEqual(followers, [RECORDS['b'].address])

    def test_both_agree_on_the_reader(self) -> None:
        """One of two reads the store."""
        roles = [self.reader.exchange.is_reader, self.taker.exchange.is_reader]
        self.assertEqual(sorted(roles), [False, True])


if __name__ == '__main__':
    unittest.main()
