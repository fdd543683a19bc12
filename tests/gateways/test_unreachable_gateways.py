"""Connections to a target of which instances can't reach the gateways."""

import unittest

import curio

from comfreystair.controllers.gateways import compute_connection_limit
from comfreystair.gateways import GatewaySelector
from comfreystair.pooling.local_execution import DeliveryFailure
from tests.gateways.fleet import ENTRY, FakeTarget, Fleet, build_request

CONNECTIONS = 70
MOVED = frozenset((DeliveryFailure.away, DeliveryFailure.lost))


class UnreachableGatewaysTest(unittest.TestCase):
    """Instances in three zones, and a target of 70 connections."""

    def build(self, count: int) -> None:
        """Build a fleet that knows the target."""
        self.target = FakeTarget(CONNECTIONS)
        self.fleet = Fleet(count, self.target, 'abc')
        self.names = list(self.fleet.clients)
        self.selectors = self.fleet.selectors
        curio.run(self.fleet.update)

    def call_all(self, names: list[str]) -> set[DeliveryFailure]:
        """Let callers of 60 organisations use each of some instances."""
        self.outcomes = []

        async def call_together() -> None:
            async with curio.TaskGroup() as group:
                for name in names:
                    for number in range(60):
                        await group.spawn(self.call, name, f'office-{number}')

        curio.run(call_together)
        return {one.delivery_failure for one in self.outcomes}

    async def call(self, name: str, organisation: str) -> None:
        """Run a statement, also at gateways that are asked next."""
        client, request = self.fleet.clients[name], build_request(organisation)
        outcome = await client.run(ENTRY, request)
        while outcome.delivery_failure in MOVED:
            outcome = await client.run(ENTRY, request)
        self.outcomes.append(outcome)

    def test_third_of_the_instances_is_cut_off(self) -> None:
        """Guards against connections that the target has to refuse."""
        self.build(36)
        self.call_all(self.names[1::3])
        addresses = {one.address for one in self.fleet.records.values()}
        self.fleet.peers.unreachable = addresses
        failures = self.call_all(self.names[:18:3] + self.names[2:18:3])
        self.assertEqual(failures, {DeliveryFailure.none, DeliveryFailure.full})
        self.assertEqual(self.target.refused, 0)
        self.assertLess(self.target.peak_connections, CONNECTIONS)

    def test_primary_at_its_connection_limit(self) -> None:
        """Guards against a refused connection for each waiting request."""
        self.build(36)
        self.target.limit = 0
        for _ in range(40):
            self.call_all(self.names[:2])
        self.assertLess(self.target.refused, 20)
        # A backoff may just have ended: one connection is tried then, at each
        # of two gateways, and its request is told when to come back later on.
        tried = [
            outcome
            for outcome in self.outcomes
            if outcome.delivery_failure is DeliveryFailure.refused
        ]
        self.assertLessEqual(len(tried), 2)
        for outcome in self.outcomes:
            self.assertFalse(outcome.is_sent)
            if outcome not in tried:
                self.assertIn('not run, retry after', outcome.answer.detail)
        self.target.limit = CONNECTIONS
        curio.run(curio.sleep, 2)
        self.call_all(self.names[:2])
        self.assertEqual(self.call_all(self.names[:2]), {DeliveryFailure.none})

    def test_others_are_asked_before_connections_are_opened(self) -> None:
        """Guards against own connections while the zone has a stand-in."""
        self.build(36)
        name = next(
            name
            for name, selector in self.selectors.items()
            if selector.find_connection_limit(ENTRY) == 1
        )
        asked: list[str] = []
        while name not in asked:
            asked.append(self.selectors[name].select(ENTRY, 'office').name)
            self.selectors[name].mark_unavailable(self.fleet.records[asked[-1]])
        self.assertGreater(len(set(asked)), 3)

    def test_shares_can_be_switched_off(self) -> None:
        """Guards against new limits where the settings do not ask for them."""
        self.build(36)
        selector = GatewaySelector(
            self.fleet.states['entry-0'], self.fleet.peers, has_shares=False
        )
        limit = selector.find_connection_limit(ENTRY)
        self.assertEqual(limit, compute_connection_limit(CONNECTIONS))
        self.assertFalse(selector.has_shares(ENTRY))

    def test_small_fleet_is_served_as_before(self) -> None:
        """Guards against new limits and a backoff in small fleets."""
        self.build(9)
        limit = self.selectors['entry-0'].find_connection_limit(ENTRY)
        self.assertEqual(limit, compute_connection_limit(CONNECTIONS))
        self.target.limit = 0
        self.call_all(['entry-0'])
        self.assertEqual(self.target.refused, 60)


if __name__ == '__main__':
    unittest.main()
