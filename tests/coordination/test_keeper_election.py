"""The duty of handing out tokens, as holders lapse, restart and go silent."""

import unittest

import curio

from comfreystair.coordination.keeper_election import KeeperElection
from comfreystair.coordination.rate_limiter import TokenKeeper
from comfreystair.coordination.records import (
    KEEPERS_PREFIX,
    InstanceRecord,
    StoredValue,
    encode_record,
)
from comfreystair.coordination.state import FleetState
from comfreystair.peers.messages import definitions
from tests.coordination.fakes import FakeLog, FakePeers, FakeStore

ZONE = 'lima-a'
KEY = f'{KEEPERS_PREFIX}{ZONE}'
OWN = InstanceRecord('a', ZONE, 'a:1', 'a-1')
OTHER = InstanceRecord('b', ZONE, 'b:1', 'b-1')
SECONDS = 1.6


class KeepersTest(unittest.TestCase):
    """One instance that could take the duty."""

    def setUp(self) -> None:
        """Start without a holder."""
        self.store = FakeStore()
        self.peers = FakePeers()
        self.state = FleetState(OWN)
        self.keeper = TokenKeeper(self.state, 1)
        self.duty = KeeperElection(
            self.state, self.store, self.peers, self.keeper, FakeLog()
        )

    def hold_by_other(self, incarnation: str, is_keeper: bool) -> None:
        """Let the other hold the duty and answer for itself."""
        self.store.revision += 1
        item = StoredValue(encode_record(OTHER), self.store.revision, 99)
        self.store.items[KEY] = item
        self.state.keepers = {ZONE: OTHER}

        async def identify(_request):
            return definitions.Identity(
                incarnation=incarnation, is_keeper=is_keeper
            )

        self.peers.serve(OTHER.address, 'identify', identify)

    def run_duty(self) -> bool:
        """Follow the duty for a while; tell whether it is held here."""
        curio.run(self._run)
        return self.keeper.is_held

    def test_free_duty_is_taken(self) -> None:
        """By whoever ranks first."""
        self.assertTrue(self.run_duty())

    def test_living_holder_keeps_it(self) -> None:
        """As long as it says so."""
        self.hold_by_other(OTHER.incarnation, is_keeper=True)
        self.assertFalse(self.run_duty())

    def test_silent_holder_keeps_it(self) -> None:
        """A partition proves nothing, not even with resets."""
        self.hold_by_other(OTHER.incarnation, is_keeper=True)
        self.peers.unreachable.add(OTHER.address)
        self.assertFalse(self.run_duty())

    def test_holder_that_gave_up_is_followed_at_once(self) -> None:
        """It lives, but could not renew."""
        self.hold_by_other(OTHER.incarnation, is_keeper=False)
        self.assertTrue(self.run_duty())

    def test_restarted_holder_is_followed_at_once(self) -> None:
        """Its new life holds nothing."""
        self.hold_by_other('b-2', is_keeper=True)
        self.assertTrue(self.run_duty())

    def test_vanished_key_of_a_silent_holder_is_waited_for(self) -> None:
        """The store may have ended the lease early."""
        self.hold_by_other(OTHER.incarnation, is_keeper=True)
        self.peers.unreachable.add(OTHER.address)
        curio.run(self._run)
        self.store.items.clear()
        self.state.keepers = {}
        self.assertFalse(self.run_duty())
        self.assertIn(KEY, self.store.items)

    async def _run(self) -> None:
        task = await curio.spawn(self.duty.run, daemon=True)
        await curio.sleep(SECONDS)
        await task.cancel()


if __name__ == '__main__':
    unittest.main()
