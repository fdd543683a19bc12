"""What callers are told when a gateway fails, and who takes over."""

import unittest

import curio

from comfreystair.gateways import Pinned
from comfreystair.pooling.local_execution import DeliveryFailure
from comfreystair.sessions.statements import StatementKind
from tests.gateways.fleet import (
    CONNECTIONS,
    ENTRY,
    FakeTarget,
    Fleet,
    build_work,
)

INSTANCES = 12
ORGANISATION = 'office'
LATER = 1e9


class RelayTest(unittest.TestCase):
    """Twelve instances before one target."""

    def setUp(self) -> None:
        """Wire the fleet."""
        self.target = FakeTarget(CONNECTIONS)
        self.fleet = Fleet(INSTANCES, self.target)
        names = list(self.fleet.relays)
        book = self.fleet.books[names[0]]
        self.gateway = book.find(ENTRY, ORGANISATION)
        self.caller = next(one for one in names if one != self.gateway.name)
        self.relay = self.fleet.relays[self.caller]

    def play(self, call):
        """Run a part of a test with targets known."""

        async def run():
            await self.fleet.update()
            return await call()

        return curio.run(run)

    def test_next_gateway_takes_over(self) -> None:
        """Of one that does not answer, for the next statement."""

        async def call():
            self.fleet.peers.unreachable.add(self.gateway.address)
            first = await self.relay.run(ENTRY, build_work(ORGANISATION))
            second = await self.relay.run(ENTRY, build_work(ORGANISATION))
            return first, second

        first, second = self.play(call)
        self.assertIs(first.delivery_failure, DeliveryFailure.away)
        self.assertTrue(first.is_sent)
        self.assertIs(second.delivery_failure, DeliveryFailure.none)

    def test_gateway_that_shuts_down_sends_nothing(self) -> None:
        """What it turns away has surely not run."""

        async def call():
            self.fleet.states[self.gateway.name].is_draining = True
            first = await self.relay.run(ENTRY, build_work(ORGANISATION))
            second = await self.relay.run(ENTRY, build_work(ORGANISATION))
            return first, second

        first, second = self.play(call)
        self.assertIs(first.delivery_failure, DeliveryFailure.away)
        self.assertFalse(first.is_sent)
        self.assertIs(second.delivery_failure, DeliveryFailure.none)
        self.assertEqual(len(self.target.texts), 1)

    def test_one_gateway_alone_loses_no_target(self) -> None:
        """Only a second one that can't reach it confirms that it is lost."""

        async def call():
            self.target.is_silent = True
            first = await self.relay.run(ENTRY, build_work(ORGANISATION))
            second = await self.relay.run(ENTRY, build_work(ORGANISATION))
            return first.delivery_failure, second.delivery_failure

        self.assertEqual(
            self.play(call), (DeliveryFailure.away, DeliveryFailure.lost)
        )

    def test_cut_zone_loses_its_targets(self) -> None:
        """After two silent gateways the target itself is given up."""

        async def call():
            reachable = self.fleet.records[self.caller].address
            addresses = {one.address for one in self.fleet.records.values()}
            self.fleet.peers.unreachable = addresses - {reachable}
            first = await self.relay.run(ENTRY, build_work(ORGANISATION))
            second = await self.relay.run(ENTRY, build_work(ORGANISATION))
            return first.delivery_failure, second.delivery_failure

        self.assertEqual(
            self.play(call), (DeliveryFailure.away, DeliveryFailure.lost)
        )

    def test_transaction_stays_on_its_connection(self) -> None:
        """Through its commit; the connection is used again."""

        async def call():
            pinned = await self._begin()
            await self.relay.run_pinned(
                pinned, build_work(ORGANISATION, StatementKind.write)
            )
            await self.relay.run_pinned(
                pinned, build_work(ORGANISATION, StatementKind.commit)
            )
            await self.relay.run(ENTRY, build_work(ORGANISATION))
            return self.target.texts

        self.assertEqual(self.play(call), ['begin', 'write', 'commit', 'read'])
        self.assertEqual(self.target.opened, 1)

    def test_transaction_of_a_lost_instance_is_rolled_back(self) -> None:
        """A statement that comes later does not run."""

        async def call():
            pinned = await self._begin()
            await self.fleet.locals[self.gateway.name].rollback_idle(LATER)
            return await self.relay.run_pinned(
                pinned, build_work(ORGANISATION, StatementKind.commit)
            )

        outcome = self.play(call)
        self.assertIs(outcome.delivery_failure, DeliveryFailure.lost)
        self.assertFalse(outcome.is_sent)
        self.assertEqual(self.target.texts, ['begin', 'rollback'])

    def test_begin_that_was_given_up_holds_nothing(self) -> None:
        """Its connection is free although the gateway began it later."""

        async def call():
            local = self.fleet.locals[self.gateway.name]
            work = build_work(ORGANISATION, StatementKind.begin)
            opening = await curio.spawn(local.begin, 't', 'h', work, False)
            await curio.sleep(0)
            await local.rollback('h')
            await opening.join()
            return local.active_count

        self.target.begin_seconds = 0.01
        self.assertEqual(self.play(call), 0)
        self.assertEqual(self.target.connections, 0)

    def test_rollback_waits_for_no_running_statement(self) -> None:
        """Its connection is closed once the statement has ended."""

        async def call():
            pinned = await self._begin()
            local = self.fleet.locals[self.gateway.name]
            work = build_work(ORGANISATION, StatementKind.write)
            running = await curio.spawn(local.run_pinned, pinned.handle, work)
            await curio.sleep(0)
            await local.rollback(pinned.handle)
            await running.join()
            return local.active_count

        self.assertEqual(self.play(call), 0)
        self.assertEqual(self.target.connections, 0)

    async def _begin(self) -> Pinned:
        work = build_work(ORGANISATION, StatementKind.begin)
        _outcome, pinned = await self.relay.begin(
            ENTRY, work, is_read_only=False
        )
        return pinned


if __name__ == '__main__':
    unittest.main()
