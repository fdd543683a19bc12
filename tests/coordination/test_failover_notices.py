"""Confirmations of instances that have stopped using a primary."""

import unittest

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.primary_tracking import PrimaryRecord
from comfreystair.controllers.store_position import StorePosition
from comfreystair.coordination.failover_notices import FailoverNotices
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.peers import PeerRefusedError
from comfreystair.peers.messages import definitions
from tests.coordination.fakes import FakePeers

STABLE = PrimaryRecord(
    'one', 1, is_changing=False, position=StorePosition(1, 5)
)
CHANGING = PrimaryRecord(
    'one', 1, is_changing=True, position=StorePosition(1, 6)
)


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
        peers.serve(address, 'unreachable', self.notices.handle_unreachable)

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
        broadcast = curio.run(
            notices.broadcast, 'permits', CHANGING, set(addresses)
        )
        self.assertLessEqual(broadcast.confirmed_at, read_clock())
        return broadcast.unconfirmed

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

    def test_inquiry_before_the_first_answer_is_answered(self) -> None:
        """The time since an answer that never came fits into the message."""
        instance = self.instances['a']
        instance.group.record_failure(read_clock())
        inquiry = definitions.GroupInquiry(group='permits')
        answer = curio.run(instance.notices.handle_inquiry, inquiry)
        self.assertGreater(answer.heard_ms, 0)

    def test_first_ranked_learn_of_an_unreachable_primary(self) -> None:
        """In a large fleet, few of them use a given group at a time."""
        reporter = self.instances['a']
        reporter.state.instances = {
            name: one.state.own for name, one in self.instances.items()
        }
        reporter.group.record_failure(read_clock())
        curio.run(reporter.notices.report_unreachable, 'permits')
        for name in 'bc':
            group = self.instances[name].group
            self.assertIsNotNone(group.unreachable_since, name)

    def test_list_may_change_while_instances_are_told(self) -> None:
        """An unexpected error would end the report halfway."""
        reporter = self.instances['a']
        reporter.state.instances = {
            name: one.state.own for name, one in self.instances.items()
        }
        reporter.group.record_failure(read_clock())

        async def lose_list(_notice) -> object:
            reporter.state.instances = {}
            return definitions.Empty()

        for name in 'bc':
            self.peers.serve(f'{name}:1', 'unreachable', lose_list)
        curio.run(reporter.notices.report_unreachable, 'permits')
        self.assertEqual(reporter.state.instances, {})

    def test_report_about_another_primary_is_ignored(self) -> None:
        """A late report must not cast doubt on a newer primary."""
        notices = self.instances['a'].notices
        for group, primary in (('permits', 'two'), ('unknown', 'one')):
            notice = definitions.UnreachableNotice(
                group=group, primary=primary, unreachable_ms=900
            )
            curio.run(notices.handle_unreachable, notice)
        self.assertIsNone(self.instances['a'].group.unreachable_since)
        self.assertNotIn('unknown', self.instances['a'].state.groups)


if __name__ == '__main__':
    unittest.main()
