"""Outcomes of statements when a gateway fails, and its replacement."""

import unittest

import curio
import msgspec

from comfreystair.gateways import PinnedTransaction
from comfreystair.pooling.local_execution import DeliveryFailure
from comfreystair.sessions.statements import StatementKind
from tests.gateways.fleet import (
    CONNECTIONS,
    ENTRY,
    FakeTarget,
    Fleet,
    build_request,
)

INSTANCES = 12
ORGANISATION = 'office'
AFTER_IDLE_LIMIT = 1e9


class GatewayClientTest(unittest.TestCase):
    """Twelve instances that share one target."""

    def setUp(self) -> None:
        """Build the fleet, and choose a caller that is not the gateway."""
        self.target = FakeTarget(CONNECTIONS)
        self.fleet = Fleet(INSTANCES, self.target)
        names = list(self.fleet.clients)
        selector = self.fleet.selectors[names[0]]
        self.gateway = selector.select(ENTRY, ORGANISATION)
        self.caller = next(name for name in names if name != self.gateway.name)
        self.client = self.fleet.clients[self.caller]

    def run_async(self, call):
        """Run a coroutine once the instances know the target."""

        async def run():
            await self.fleet.update()
            return await call()

        return curio.run(run)

    def test_next_gateway_takes_over(self) -> None:
        """The statement after a gateway failure runs at the next gateway."""

        async def call():
            self.fleet.peers.unreachable.add(self.gateway.address)
            first = await self.client.run(ENTRY, build_request(ORGANISATION))
            second = await self.client.run(ENTRY, build_request(ORGANISATION))
            return first, second

        first, second = self.run_async(call)
        self.assertIs(first.delivery_failure, DeliveryFailure.away)
        self.assertTrue(first.is_sent)
        self.assertIs(second.delivery_failure, DeliveryFailure.none)

    def test_draining_gateway_sends_nothing(self) -> None:
        """A statement that it refuses has certainly not run."""

        async def call():
            self.fleet.states[self.gateway.name].is_draining = True
            first = await self.client.run(ENTRY, build_request(ORGANISATION))
            second = await self.client.run(ENTRY, build_request(ORGANISATION))
            return first, second

        first, second = self.run_async(call)
        self.assertIs(first.delivery_failure, DeliveryFailure.away)
        self.assertFalse(first.is_sent)
        self.assertIs(second.delivery_failure, DeliveryFailure.none)
        self.assertEqual(len(self.target.statements), 1)

    def test_one_gateway_does_not_prove_a_target_lost(self) -> None:
        """It counts as lost once a second gateway can't reach it either."""

        async def call():
            self.target.is_silent = True
            first = await self.client.run(ENTRY, build_request(ORGANISATION))
            second = await self.client.run(ENTRY, build_request(ORGANISATION))
            return first.delivery_failure, second.delivery_failure

        self.assertEqual(
            self.run_async(call), (DeliveryFailure.away, DeliveryFailure.lost)
        )

    def test_targets_of_a_partitioned_zone_are_lost(self) -> None:
        """A target counts as lost once two gateways did not answer."""

        async def call():
            reachable = self.fleet.records[self.caller].address
            addresses = {
                record.address for record in self.fleet.records.values()
            }
            self.fleet.peers.unreachable = addresses - {reachable}
            first = await self.client.run(ENTRY, build_request(ORGANISATION))
            second = await self.client.run(ENTRY, build_request(ORGANISATION))
            return first.delivery_failure, second.delivery_failure

        self.assertEqual(
            self.run_async(call), (DeliveryFailure.away, DeliveryFailure.lost)
        )

    def test_transaction_stays_on_its_connection(self) -> None:
        """The connection is reused only after the commit."""

        async def call():
            pinned = await self._begin()
            await self.client.run_pinned(
                pinned, build_request(ORGANISATION, StatementKind.write)
            )
            await self.client.run_pinned(
                pinned, build_request(ORGANISATION, StatementKind.commit)
            )
            await self.client.run(ENTRY, build_request(ORGANISATION))
            return self.target.statements

        self.assertEqual(
            self.run_async(call), ['begin', 'write', 'commit', 'read']
        )
        self.assertEqual(self.target.opened, 1)

    def test_idle_transaction_is_rolled_back(self) -> None:
        """This happens if its caller fails; a later commit does not run."""

        async def call():
            pinned = await self._begin()
            await self.fleet.locals[self.gateway.name].rollback_idle(
                AFTER_IDLE_LIMIT
            )
            return await self.client.run_pinned(
                pinned, build_request(ORGANISATION, StatementKind.commit)
            )

        outcome = self.run_async(call)
        self.assertIs(outcome.delivery_failure, DeliveryFailure.lost)
        self.assertFalse(outcome.is_sent)
        self.assertEqual(self.target.statements, ['begin', 'rollback'])

    def test_abandoned_begin_holds_no_connection(self) -> None:
        """The connection is closed even if the begin completes later."""

        async def call():
            local = self.fleet.locals[self.gateway.name]
            request = build_request(ORGANISATION, StatementKind.begin)
            begin_task = await curio.spawn(
                local.begin, 't', 'h', request, False
            )
            await curio.sleep(0)
            await local.rollback('h')
            await begin_task.join()
            return local.active_count

        self.target.begin_seconds = 0.01
        self.assertEqual(self.run_async(call), 0)
        self.assertEqual(self.target.connections, 0)

    def test_rollback_does_not_wait_for_a_running_statement(self) -> None:
        """The connection is closed once the statement has ended."""

        async def call():
            pinned = await self._begin()
            local = self.fleet.locals[self.gateway.name]
            request = build_request(ORGANISATION, StatementKind.write)
            statement_task = await curio.spawn(
                local.run_pinned, pinned.handle, request
            )
            await curio.sleep(0)
            await local.rollback(pinned.handle)
            await statement_task.join()
            return local.active_count

        self.assertEqual(self.run_async(call), 0)
        self.assertEqual(self.target.connections, 0)

    def test_evacuated_target_gets_nothing_more(self) -> None:
        """Guards against statements that wait or go on past the bound.

        The caller's instance chose the target before the bound.
        """

        async def call():
            pinned = await self._begin()
            self.fleet.evacuate()
            single = await self.client.run(ENTRY, build_request(ORGANISATION))
            begun, _pinned = await self.client.begin(
                ENTRY, build_request(ORGANISATION, StatementKind.begin), False
            )
            later = await self.client.run_pinned(
                pinned, build_request(ORGANISATION, StatementKind.commit)
            )
            await self.fleet.locals[self.gateway.name].abort_disallowed()
            return single, begun, later

        outcomes = self.run_async(call)
        self.assertEqual([one.is_sent for one in outcomes], [False] * 3)
        self.assertIs(outcomes[0].delivery_failure, DeliveryFailure.full)
        self.assertIs(outcomes[2].delivery_failure, DeliveryFailure.full)
        self.assertEqual(self.target.statements, ['begin'])
        local = self.fleet.locals[self.gateway.name]
        self.assertEqual(local.active_count, 0)

    def test_statements_stay_in_the_zone_of_the_target(self) -> None:
        """Guards against a gateway outside the regions that are allowed.

        The target moves and keeps its id.
        """
        selector = self.fleet.selectors[self.caller]
        state = self.fleet.states[self.caller]
        zones = ('lima-a', 'lima-b')
        state.instances = {
            name: msgspec.structs.replace(record, zone=zones[number % 2])
            for number, (name, record) in enumerate(state.instances.items())
        }
        for zone in zones:
            entry = ENTRY._replace(zone=zone)
            for number in range(50):
                gateway = selector.select(entry, f'office-{number}')
                self.assertEqual(gateway.zone, zone)
        alone = selector.select(ENTRY._replace(zone='lima-c'), ORGANISATION)
        self.assertEqual(alone.name, self.caller)

    async def _begin(self) -> PinnedTransaction:
        request = build_request(ORGANISATION, StatementKind.begin)
        _outcome, pinned = await self.client.begin(
            ENTRY, request, is_read_only=False
        )
        return pinned


if __name__ == '__main__':
    unittest.main()
