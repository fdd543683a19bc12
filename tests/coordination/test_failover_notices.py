"""Confirmations of instances that have stopped using a primary."""

import unittest

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.primary_tracking import PrimaryRecord
from comfreystair.coordination.failover_notices import FailoverNotices
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.peers import PeerRefusedError
from tests.coordination.fakes import FakePeers

STABLE = PrimaryRecord('one', 1, is_changing=False, revision=5)
CHANGING = PrimaryRecord('one', 1, is_changing=True, revision=6)


class Instance:
    """An instance that uses a group's primary."""

    def __init__(self, name: str, peers: FakePeers) -> None:
        """Create an instance with a proof, which handles notices."""
        address = f'{name}:1'
        self.state = FleetState(InstanceRecord(name, 'z', address, name))
        self.followers: list[str] = []
        self.notices = FailoverNotices(
            self.state, peers, self.refresh_now, self.list_followers
        )
        self.group = self.state.find_group('permits')
        self.group.primary_tracker.update(STABLE, read_clock())
        peers.serve(address, 'group', self.notices.handle_notice)

    def list_followers(self) -> list[str]:
        """Return the configured followers."""
        return self.followers

    async def refresh_now(self) -> None:
        """Ignore the request."""


class FailoverNoticesTest(unittest.TestCase):
    """An instance announces a failover to two others."""

    def setUp(self) -> None:
        """Create three instances."""
        self.peers = FakePeers()
        self.instances = {name: Instance(name, self.peers) for name in 'abc'}

    def announce(self, *addresses: str) -> list[str]:
        """Announce the failover from the first instance.

        :returns: the addresses that did not confirm.
        """
        notices = self.instances['a'].notices
        return curio.run(notices.broadcast, 'permits', CHANGING, set(addresses))

    def may_acknowledge(self, name: str) -> bool:
        """Tell whether an instance would acknowledge a write."""
        tracker = self.instances[name].group.primary_tracker
        return tracker.may_acknowledge('one', read_clock())

    def test_instances_that_confirm_have_stopped(self) -> None:
        """No instance acknowledges writes, nor does the announcing one."""
        self.assertEqual(self.announce('b:1', 'c:1'), [])
        for name in self.instances:
            self.assertFalse(self.may_acknowledge(name), name)

    def test_refused_connection_is_no_confirmation(self) -> None:
        """During a partition, an instance that still writes may be unreachable.

        Even a refused connection does not prove that its process has ended.
        """

        async def refuse(_request):
            raise PeerRefusedError('refused', 'group', 'b:1')

        self.peers.serve('b:1', 'group', refuse)
        self.assertEqual(self.announce('b:1', 'c:1'), ['b:1'])
        self.assertTrue(self.may_acknowledge('b'))

    def test_followers_of_recipients_are_notified(self) -> None:
        """An instance that is not listed may hold a proof of a listed one."""
        self.instances['b'].followers = ['c:1']
        self.assertEqual(self.announce('b:1'), [])
        self.assertFalse(self.may_acknowledge('c'))


if __name__ == '__main__':
    unittest.main()
