"""Requests for tokens while the list of keepers is outdated."""

import unittest

import curio

from comfreystair.coordination.rate_limiter import RateLimiter
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.peers.messages import definitions
from tests.coordination.fakes import FakeLog, FakePeers

ZONE = 'lima-a'
ORGANISATION = 'org'
OWN = InstanceRecord('a', ZONE, 'a:1', 'a-1')
KEEPER = InstanceRecord('b', ZONE, 'b:1', 'b-1')
EARLIER = InstanceRecord('c', ZONE, 'c:1', 'c-1')


class RateLimiterTest(unittest.TestCase):
    """A limiter that has got a token from its zone's keeper."""

    def setUp(self) -> None:
        """Let the keeper grant one token a request."""
        self.peers = FakePeers()
        self.asked: list[str] = []
        self.keeper_name = KEEPER.name
        for instance in (KEEPER, EARLIER):
            self.serve(instance)
        self.state = FleetState(OWN)
        self.state.keepers = {ZONE: KEEPER}
        self.limiter = RateLimiter(self.state, self.peers, (ZONE,), FakeLog())
        self.assertTrue(self.is_admitted())
        self.asked.clear()

    def serve(self, instance: InstanceRecord) -> None:
        """Let an instance grant one token if it is the keeper."""

        async def grant(_request):
            self.asked.append(instance.name)
            is_keeper = self.keeper_name == instance.name
            return definitions.Grant(
                tokens=1 if is_keeper else 0,
                retry_seconds=0.2,
                is_keeper=is_keeper,
            )

        self.peers.serve(instance.address, 'grant', grant)

    def is_admitted(self) -> bool:
        """Tell whether a request is admitted."""
        return curio.run(self.limiter.admit, ORGANISATION) is None

    # Guards against: requests are rejected for want of tokens, because the
    # restored store names no keeper until the present one has written again.
    def test_keeper_that_is_not_listed_is_asked(self) -> None:
        """It goes on granting tokens."""
        self.state.keepers = {}
        self.assertTrue(self.is_admitted())

    # Guards against: the same, when the restored store names an earlier keeper.
    def test_keeper_is_asked_beside_an_earlier_one(self) -> None:
        """The listed instance answers that it is not the keeper."""
        self.state.keepers = {ZONE: EARLIER}
        self.assertTrue(self.is_admitted())
        self.assertEqual(self.asked, [EARLIER.name, KEEPER.name])

    def test_next_keeper_replaces_the_last_one(self) -> None:
        """Only the listed keeper is asked once it has answered as keeper."""
        self.state.keepers = {ZONE: EARLIER}
        self.keeper_name = EARLIER.name
        self.assertTrue(self.is_admitted())
        self.assertTrue(self.is_admitted())
        self.assertEqual(self.asked, [EARLIER.name] * 2)

    def test_keeper_that_has_stopped_is_not_asked_again(self) -> None:
        """It answered that it is not the keeper any more."""
        self.state.keepers = {}
        self.keeper_name = ''
        self.assertFalse(self.is_admitted())
        self.assertFalse(self.is_admitted())
        self.assertEqual(self.asked, [KEEPER.name])

    def test_unreachable_keeper_is_not_asked_again(self) -> None:
        """A dead keeper that is not listed delays one request only."""
        self.state.keepers = {}
        self.peers.unreachable.add(KEEPER.address)
        self.assertFalse(self.is_admitted())
        self.assertEqual(self.limiter._list_keepers(), [])


if __name__ == '__main__':
    unittest.main()
