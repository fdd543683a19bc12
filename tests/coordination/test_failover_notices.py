"""Who has confirmed to have stopped using a primary."""

import unittest

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.leadership import Leadership
from comfreystair.coordination.failover_notices import FailoverNotices
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.peers import PeerRefusedError
from tests.coordination.fakes import FakePeers

STEADY = Leadership('one', 1, is_changing=False, revision=5)
CHANGING = Leadership('one', 1, is_changing=True, revision=6)


class Member:
    """One instance that uses a group's primary."""

    def __init__(self, name: str, peers: FakePeers) -> None:
        """Hold a proof of the primary and take notices."""
        address = f'{name}:1'
        self.state = FleetState(InstanceRecord(name, 'z', address, name))
        self.followers: list[str] = []
        self.notices = FailoverNotices(
            self.state, peers, self.refresh_now, self.list_followers
        )
        self.group = self.state.find_group('permits')
        self.group.primary_tracker.learn(STEADY, read_clock())
        peers.serve(address, 'group', self.notices.handle_notice)

    def list_followers(self) -> list[str]:
        """Return who took proofs from here."""
        return self.followers

    async def refresh_now(self) -> None:
        """Need no proof."""


class NoticesTest(unittest.TestCase):
    """One instance announces a change to two others."""

    def setUp(self) -> None:
        """Start three instances."""
        self.peers = FakePeers()
        self.members = {name: Member(name, self.peers) for name in 'abc'}

    def tell(self, *addresses: str) -> list[str]:
        """Announce the change from the first instance."""
        notices = self.members['a'].notices
        return curio.run(notices.broadcast, 'permits', CHANGING, set(addresses))

    def may_acknowledge(self, name: str) -> bool:
        """Tell whether an instance would hand a write's success on."""
        leadership = self.members[name].group.primary_tracker
        return leadership.may_acknowledge('one', read_clock())

    def test_those_that_confirm_have_stopped(self) -> None:
        """The announcing instance as well."""
        self.assertEqual(self.tell('b:1', 'c:1'), [])
        for name in self.members:
            self.assertFalse(self.may_acknowledge(name), name)

    def test_refused_connection_is_no_confirmation(self) -> None:
        """A partition may refuse connections to one that still writes."""

        async def refuse(_request):
            raise PeerRefusedError('refused', 'group', 'b:1')

        self.peers.serve('b:1', 'group', refuse)
        self.assertEqual(self.tell('b:1', 'c:1'), ['b:1'])
        self.assertTrue(self.may_acknowledge('b'))

    def test_followers_are_told_through_their_source(self) -> None:
        """One that is not on the list may hold a proof from one that is."""
        self.members['b'].followers = ['c:1']
        self.assertEqual(self.tell('b:1'), [])
        self.assertFalse(self.may_acknowledge('c'))


if __name__ == '__main__':
    unittest.main()
