"""Requests to a cold target, with three keepers and one gateway."""

import unittest

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.places.cold_targets import ColdBounds, ColdStart
from comfreystair.controllers.positions import Position
from comfreystair.coordination.cold_targets import (
    build_change_logger,
    build_end_recorder,
    build_limit_finder,
    build_permit_renewer,
)
from comfreystair.coordination.rate_limiter import RateLimiter, TokenKeeper
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.manifest.serving import build_plan
from comfreystair.observability.counters import Counters
from comfreystair.pooling.local_execution import (
    DeliveryFailure,
    LocalExecutor,
)
from comfreystair.pooling.manager import PoolManager
from comfreystair.pooling.targets import TargetEntry
from comfreystair.sessions.statements import Failure
from tests.coordination.fakes import FakeLog, FakePeers
from tests.gateways.fleet import GROUP, FakeTarget, build_request

ZONES = ('a', 'b', 'c')
WARM = TargetEntry('t', GROUP, 't:1', 'a', 3, 1, False, True, 1)
COLD = WARM._replace(cold_seconds=30.0)
# At most 17 requests in a second; full buckets hold 6 whole tokens.
PER_SECOND = 8.0
BURST = 6
MOST_A_SECOND = 17
READ = build_request('org')._replace(floor=Position(1, 1))
STRICT = build_request('org')


class ColdTargetTest(unittest.TestCase):
    """A gateway in zone a; keepers that have been running for a minute."""

    def setUp(self) -> None:
        """Start the keepers and list the target as cold."""
        self.peers = FakePeers()
        self.calls: list[str] = []
        self.keepers = {
            zone: InstanceRecord(f'k{zone}', zone, f'k{zone}:1', f'k{zone}')
            for zone in ZONES
        }
        for record in self.keepers.values():
            self.serve(record)
        self.target = FakeTarget(9)
        self.start_gateway(COLD)

    def build_state(self, record: InstanceRecord) -> FleetState:
        """Return the state of an instance that knows the plan."""
        state = FleetState(record)
        state.plan = build_plan(
            1, (), (), {GROUP: 9}, 3, {}, {GROUP: ColdStart(30, PER_SECOND)}
        )
        state.cold_bounds = ColdBounds(1.5, 5)
        state.targets = {'t': WARM}
        return state

    def serve(self, record: InstanceRecord) -> None:
        """Let an instance be keeper of its zone."""
        state = self.build_state(record)
        keeper = TokenKeeper(state, 3, build_limit_finder(state, ZONES))
        keeper.start(read_clock() - 60, read_clock() + 60)

        async def grant(request):
            self.calls.append(record.name)
            return await keeper.grant(request)

        self.peers.serve(record.address, 'grant', grant)

    def start_gateway(self, entry: TargetEntry) -> None:
        """Start the gateway afresh, as after a crash."""
        self.state = self.build_state(InstanceRecord('g', 'a', 'g:1', 'g'))
        self.state.keepers = self.keepers
        self.state.update_targets({'t': entry}, read_clock())
        limiter = RateLimiter(self.state, self.peers, ZONES, FakeLog())
        self.counters = Counters()
        self.pools = PoolManager(
            'a', self.target.open, build_end_recorder(self.state)
        )
        self.local = LocalExecutor(
            self.pools,
            FakeLog(),
            build_permit_renewer(self.state, limiter, ZONES, self.counters),
        )
        curio.run(self.pools.update, [WARM], lambda _: 9, lambda _: True)

    def run_requests(self, count: int, request=READ) -> list:
        """Return the outcomes of requests, one after the other."""

        async def run() -> list:
            return [await self.local.run('t', request) for _ in range(count)]

        return curio.run(run)

    # Guards against: one token at each of several keepers, where the bounds
    # allow one in all.
    def test_single_token_has_one_keeper(self) -> None:
        """All instances agree on the keeper."""
        found = []
        for record in self.keepers.values():
            state = self.build_state(record)
            state.cold_bounds = ColdBounds(1, 3)
            found.append(build_limit_finder(state, ZONES)('t'))
        self.assertEqual(found.count(None), 2)

    # Guards against: a restarted gateway sends as much again at once, or opens
    # connections for requests that it rejects.
    def test_restarted_gateway_has_no_tokens(self) -> None:
        """Reads beyond the tokens go elsewhere; nothing was sent."""
        outcomes = self.run_requests(2 * BURST)
        self.start_gateway(COLD)
        outcomes += self.run_requests(2 * BURST)
        self.assertEqual(len(self.target.statements), BURST)
        self.assertEqual(self.target.opened, 1)
        last = outcomes[-1]
        self.assertIs(last.delivery_failure, DeliveryFailure.full)
        self.assertIs(last.answer.failure, Failure.connection_limit)
        self.assertRegex(last.answer.detail, 'not run, retry after [1-9]')
        self.assertFalse(last.is_sent)
        self.assertIn('"rejected"} 12', self.counters.format({}))

    # Guards against: one lost keeper takes all tokens with it, or another one
    # grants its share.
    def test_lost_keeper_takes_its_share_only(self) -> None:
        """Two thirds of the tokens are left."""
        self.peers.unreachable.add(self.keepers['b'].address)
        self.run_requests(2 * BURST)
        self.assertEqual(len(self.target.statements), BURST * 2 // 3)

    # Guards against: full load at a target from its restart until its new
    # entry is read, on connections that are opened anew.
    def test_target_restarts_under_its_old_id(self) -> None:
        """Its connections ended; the list still calls it warm."""
        self.start_gateway(WARM)
        self.run_requests(9)
        self.assertEqual(self.calls, [])
        pool = self.pools.find_pool('t')
        for pooled in pool._idle.values():
            pooled.connection.has_input = True
        begun = curio.run(self.local.begin, 't', 'handle', READ, True)
        self.assertIs(begun.delivery_failure, DeliveryFailure.none)
        self.run_requests(2 * BURST)
        self.assertEqual(len(self.target.statements), 9 + BURST)
        log = FakeLog()
        log_changes = build_change_logger(self.state, log)
        log_changes()
        restarted = WARM._replace(born=2)
        self.state.update_targets({'t': restarted}, read_clock())
        log_changes()
        self.assertEqual(log.events, ['target_cold', 'target_warm'])

    # Guards against: writes that are rejected although a token is near, and
    # transactions that bypass the limit.
    def test_requests_that_need_the_target_wait(self) -> None:
        """Single statements, begins and their statements, within a second."""

        async def transact(number: int) -> None:
            handle = str(number)
            begun = await self.local.begin('t', handle, STRICT, False)
            if begun.delivery_failure is DeliveryFailure.none:
                await self.local.run_pinned(handle, STRICT)

        async def run() -> None:
            async with curio.TaskGroup() as group:
                for number in range(8):
                    await group.spawn(self.local.run, 't', STRICT)
                    await group.spawn(transact, number)

        curio.run(run)
        sent = len(self.target.statements)
        self.assertGreater(sent, BURST + 3)
        self.assertLessEqual(sent, MOST_A_SECOND)

    # Guards against: a change for operators who set no bounds or no rate.
    def test_no_limit_without_bounds(self) -> None:
        """No call is made and nothing is held back."""
        self.state.cold_bounds = None
        self.run_requests(9)
        self.start_gateway(COLD)
        self.state.plan.cold_starts.clear()
        self.run_requests(9)
        self.assertEqual(len(self.target.statements), 18)
        self.assertEqual(self.calls, [])


if __name__ == '__main__':
    unittest.main()
