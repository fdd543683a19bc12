"""Requests to a cold target, with three keepers and one gateway."""

import unittest

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.places.cold_targets import ColdBounds, ColdStart
from comfreystair.controllers.positions import Position
from comfreystair.coordination import cold_targets
from comfreystair.coordination.rate_limiter import RateLimiter, TokenKeeper
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.manifest.serving import build_plan
from comfreystair.observability.counters import Counters
from comfreystair.pooling.exceptions import TargetEndedError
from comfreystair.pooling.local_execution import DeliveryFailure, LocalExecutor
from comfreystair.pooling.manager import PoolManager
from comfreystair.pooling.targets import TargetEntry
from comfreystair.sessions.statements import Failure
from tests.coordination.fakes import FakeLog, FakePeers
from tests.gateways.fleet import GROUP, FakeTarget, build_request

ZONES = ('a', 'b', 'c')
WARM = TargetEntry('t', GROUP, 't:1', 'a', 3, 1, False, True, 1)
COLD = WARM._replace(cold_seconds=30.0)
# Full buckets hold a whole token each; the next ones come 0.8 s later.
START = ColdStart(30, 1)
BURST = 3
MANY = 12
# Fast enough that waiting helps.
FASTER = ColdStart(30, 12)
STRICT = build_request('org')
READ = STRICT._replace(floor=Position(1, 1))


def build_state(name: str, zone: str) -> FleetState:
    """Return the state of an instance that knows the plan and the target."""
    state = FleetState(InstanceRecord(name, zone, name, name))
    state.plan = build_plan(1, (), (), {GROUP: 9}, 3, {}, {GROUP: START})
    state.cold_bounds = ColdBounds(1.5, 5)
    state.targets = {'t': WARM}
    return state


class ColdTargetTest(unittest.TestCase):
    """A gateway in zone a; keepers that have been running for a minute."""

    def setUp(self) -> None:
        """Start the keepers, and a gateway that knows a cold target."""
        self.peers = FakePeers()
        self.states = {zone: build_state(zone, zone) for zone in ZONES}
        for zone, state in self.states.items():
            find_limits = cold_targets.build_limit_finder(state, ZONES)
            keeper = TokenKeeper(state, 3, find_limits)
            keeper.start(read_clock() - 60, read_clock() + 60)
            self.peers.serve(zone, 'grant', keeper.grant)
        self.target = FakeTarget(9)
        self.start_gateway(COLD)

    def start_gateway(self, entry: TargetEntry) -> None:
        """Start the gateway afresh, as after a crash."""
        state = build_state('gateway', 'a')
        state.keepers = {zone: one.own for zone, one in self.states.items()}
        state.update_targets({'t': entry}, read_clock())
        self.counters = Counters()
        renew = cold_targets.build_permit_renewer(
            state,
            RateLimiter(state, self.peers, ZONES, FakeLog()),
            ZONES,
            self.counters,
        )
        record_end = cold_targets.build_end_recorder(state)
        pools = PoolManager('a', self.target.open, on_end=record_end)
        curio.run(pools.update, [WARM], lambda _: 9, lambda _: True)
        self.state, self.pool = state, pools.find_pool('t')
        self.local = LocalExecutor(pools, FakeLog(), renew)

    def run_reads(self, count: int = MANY) -> list:
        """Return the outcomes of reads, one after the other."""

        async def run() -> list:
            return [await self.local.run('t', READ) for _ in range(count)]

        return curio.run(run)

    def test_restarted_gateway_has_no_tokens(self) -> None:
        """Guards against full load, or connections, by rejected reads."""
        self.run_reads()
        self.start_gateway(COLD)
        last = self.run_reads()[-1]
        self.assertEqual(len(self.target.statements), BURST)
        self.assertEqual(self.target.opened, 1)
        self.assertIs(last.delivery_failure, DeliveryFailure.full)
        self.assertIs(last.answer.failure, Failure.connection_limit)
        self.assertRegex(last.answer.detail, 'not run, retry after [1-9]')
        self.assertFalse(last.is_sent)
        self.assertIn('"rejected"} 12', self.counters.format({}))

    def test_lost_keeper_takes_its_share_only(self) -> None:
        """Guards against a target without load, or with the lost share."""
        self.peers.unreachable.add('b')
        self.run_reads()
        self.assertEqual(len(self.target.statements), BURST - 1)

    def test_single_token_has_one_keeper(self) -> None:
        """Guards against one at each keeper, where one in all is allowed."""
        for state in self.states.values():
            state.cold_bounds = ColdBounds(1, 1)
        self.state.cold_bounds = ColdBounds(1.5, 5)
        self.run_reads()
        self.assertEqual(len(self.target.statements), 1)

    def test_target_restarts_under_its_old_id(self) -> None:
        """Guards against full load until its new entry is read.

        A connection ended, at rest or in use, or one was refused. The request
        that notices an end needs a token too.
        """
        for show_sign, is_begin in (
            (self.end_resting, False),
            (self.end_resting, True),
            (self.end_used, False),
            (self.refuse, False),
        ):
            self.setUp()
            self.start_gateway(WARM)
            self.run_reads(9)
            curio.run(show_sign)
            if is_begin:
                curio.run(self.local.begin, 't', 'handle', READ, True)
            self.run_reads()
            self.assertEqual(len(self.target.statements), 9 + BURST, show_sign)
        log = FakeLog()
        log_changes = cold_targets.build_change_logger(self.state, log)
        log_changes()
        self.state.update_targets({'t': WARM._replace(born=2)}, 0)
        log_changes()
        self.assertEqual(log.events, ['target_cold', 'target_warm'])

    async def end_resting(self) -> None:
        """End the connection at rest, which nobody notices yet."""
        next(iter(self.pool._idle.values())).connection.has_input = True

    async def end_used(self) -> None:
        """End the connection while it is used."""
        pooled = await self.pool.acquire('org', 1, 1)
        pooled.connection.has_input = True
        await self.pool.discard(pooled)

    async def refuse(self) -> None:
        """Refuse a connection."""

        async def fail(*_names) -> None:
            raise TargetEndedError('refused', 'open')

        await self.pool.close_idle()
        self.pool._open_connection = fail
        await self.local.run('t', READ)
        self.pool._open_connection = self.target.open

    def test_requests_that_need_the_target_wait(self) -> None:
        """Guards against rejected writes and starved open transactions."""
        done: list[str] = []
        for state in (self.state, *self.states.values()):
            state.plan.cold_starts[GROUP] = FASTER

        async def note(name: str, call, *given) -> None:
            if (await call(*given)).delivery_failure is DeliveryFailure.none:
                done.append(name)

        async def run() -> None:
            await self.local.begin('t', 'handle', STRICT, False)
            for _ in range(MANY):
                await self.local.run('t', READ)
            self.target.statements.clear()
            async with curio.TaskGroup() as group:
                for _ in range(6):
                    await group.spawn(note, 'one', self.local.run, 't', STRICT)
                await curio.sleep(0.05)
                pinned = self.local.run_pinned
                await group.spawn(note, 'pinned', pinned, 'handle', STRICT)

        curio.run(run)
        self.assertIn('pinned', done[:2])
        self.assertGreater(len(done), 3)
        self.assertEqual(len(self.target.statements), len(done))

    def test_no_limit_without_bounds(self) -> None:
        """Guards against calls and limits that operators did not ask for."""
        self.peers.call = None
        self.state.cold_bounds = None
        self.run_reads(9)
        self.start_gateway(COLD)
        self.state.plan.cold_starts.clear()
        self.run_reads(9)
        self.assertEqual(len(self.target.statements), 18)


if __name__ == '__main__':
    unittest.main()
