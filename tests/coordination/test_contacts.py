"""Contacts between instances of different availability zones."""

import unittest

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.primary_tracking import (
    CONTACT_TTL_SECONDS,
    PrimaryRecord,
)
from comfreystair.controllers.store_position import StorePosition
from comfreystair.coordination.contacts import ContactExchange
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from tests.coordination.fakes import FakePeers

STABLE = PrimaryRecord(
    'one', 1, is_changing=False, position=StorePosition(1, 5)
)
CHANGING = PrimaryRecord(
    'one', 1, is_changing=True, position=StorePosition(1, 6)
)
PROOF_AGE = CONTACT_TTL_SECONDS + 0.3


class Instance:
    """An instance that has used a primary without the store for a while."""

    def __init__(self, name: str, zone: str, peers: FakePeers) -> None:
        """Create a registered instance with an old proof."""
        record = InstanceRecord(
            name, zone, f'{name}:1', name, needs_contact=True
        )
        self.state = FleetState(record)
        self.is_registered = True
        self.exchange = ContactExchange(
            self.state, peers, lambda: self.is_registered
        )
        self.tracker = self.state.find_group('permits').primary_tracker
        self.tracker.update(STABLE, read_clock() - PROOF_AGE)
        peers.serve(record.address, 'contact', self.exchange.handle_request)

    def has_primary(self) -> bool:
        """Tell whether the instance uses the primary."""
        return bool(self.tracker.find_primary(read_clock()))


class ContactExchangeTest(unittest.TestCase):
    """Two instances of one zone and one of another, without the store."""

    def setUp(self) -> None:
        """Create the instances; only the other zone's is in contact."""
        self.peers = FakePeers()
        self.instances = {
            name: Instance(name, zone, self.peers)
            for name, zone in (('a', 'sur'), ('b', 'sur'), ('c', 'norte'))
        }
        listed = {name: one.state.own for name, one in self.instances.items()}
        for one in self.instances.values():
            one.state.instances = listed
        self.instances['c'].tracker.record_contact(
            STABLE.position, read_clock()
        )

    def refresh(self) -> bool:
        """Let the first instance ask; tell whether it uses the primary."""
        curio.run(self.instances['a'].exchange.refresh)
        return self.instances['a'].has_primary()

    def test_other_zone_bridges_an_outage_of_the_store(self) -> None:
        """The proof alone would be valid, but not without contact."""
        self.assertFalse(self.instances['a'].has_primary())
        self.assertTrue(self.refresh())

    def test_own_zone_gives_no_contact(self) -> None:
        """Instances of a zone that is cut off must not confirm each other."""
        self.instances['b'].tracker.record_contact(
            STABLE.position, read_clock()
        )
        self.peers.unreachable = {'c:1'}
        self.assertFalse(self.refresh())

    def test_instance_that_knows_the_announcement_gives_none(self) -> None:
        """Else a failover would have to wait for all proofs."""
        self.instances['c'].tracker.update(CHANGING, float('-inf'))
        self.assertFalse(self.refresh())

    def test_unregistered_instance_gives_none(self) -> None:
        """A failover does not know it and so does not notify it."""
        self.instances['c'].is_registered = False
        self.assertFalse(self.refresh())


if __name__ == '__main__':
    unittest.main()
