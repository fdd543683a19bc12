"""What a caller is told when a target's admission control rejects it."""

import unittest

import curio

from comfreystair.clocks import read_clock
from comfreystair.gateways import serialization
from comfreystair.manifest.serving import Client, Consistency, build_plan
from comfreystair.peers.messages import decode, definitions, encode
from comfreystair.pooling.local_execution import (
    DeliveryFailure,
    Outcome,
    StatementRequest,
    build_failed_outcome,
)
from comfreystair.pooling.manager import PoolManager
from comfreystair.sessions.attempts import AttemptRunner
from comfreystair.sessions.session import Session
from comfreystair.sessions.statements import Answer, Failure
from tests.coordination.fakes import FakeLog, FakePeers
from tests.gateways.fleet import build_request
from tests.sessions import test_lost_primary as fixture


class FakeGateways:
    """Gateways of targets, some of which reject every request."""

    def __init__(self, rejecting: set[str]) -> None:
        """Initialise without requests."""
        self.rejecting = rejecting
        self.tried: list[str] = []
        self.requests: list[StatementRequest] = []

    async def run(self, entry, request: StatementRequest) -> Outcome:
        """Record a request and reject or answer it."""
        self.tried.append(entry.ident)
        self.requests.append(request)
        if entry.ident in self.rejecting:
            outcome = build_failed_outcome(DeliveryFailure.full, 'shed')
            return outcome._replace(retry_seconds=0.45)
        return Outcome(Answer((), 'signed'))


class RejectionTest(unittest.TestCase):
    """One instance and a group of three targets, of which one is primary."""

    def execute(
        self, consistency: Consistency, statement, rejecting: set[str]
    ) -> tuple[Answer, FakeGateways]:
        """Run a statement; fail if it waits for a target."""
        fleet = fixture.LostPrimaryTest()
        fleet.setUp()
        peers = FakePeers()
        fixture.Keeper(peers)
        pools = PoolManager('z', None)
        gateways = FakeGateways(rejecting)
        fleet.attempts = AttemptRunner(fleet.state, pools, gateways, FakeLog())
        fleet.state.plan = build_plan(
            2, fleet.state.plan.routes.values(),
            [Client('org', ('key',), 100, 100, priority=0)], {}, 3,
        )  # fmt: skip
        fleet.group.wait_for_change = self.fail
        session = Session(consistency.name, 'key')
        desk = fleet.build_desk(peers)
        return curio.run(desk.execute, session, statement), gateways

    def test_request_for_the_primary_is_told_at_once(self) -> None:
        """Guards against retries at a primary that has just refused."""
        for statement in (fixture.WRITE, fixture.READ):
            answer, gateways = self.execute(
                Consistency.primary, statement, {'one'}
            )
            self.assertEqual(gateways.tried, ['one'])
            self.assertEqual(answer.failure, Failure.overloaded)
            self.assertEqual(
                answer.detail, 'one is overloaded, not run, retry after 450 ms'
            )
            self.assertEqual(gateways.requests[0].organisation_priority, 0)

    def test_read_tries_the_other_targets_once(self) -> None:
        """Guards against a read that fails though another target has room.

        Also against a wait for a target after the last rejection.
        """
        everyone = {'one', 'two', 'three'}
        for served in (*everyone, ''):
            answer, gateways = self.execute(
                Consistency.bounded, fixture.READ, everyone - {served}
            )
            self.assertEqual(answer.failure is None, bool(served))
            self.assertEqual(len(set(gateways.tried)), len(gateways.tried))
            self.assertIn(gateways.tried[-1], {served} if served else everyone)


class MessageTest(unittest.TestCase):
    """Requests and outcomes between instances."""

    def test_objective_and_return_time_are_carried(self) -> None:
        """Guards against clocks of two instances taken for the same."""
        request = build_request('org')._replace(
            aim_at=read_clock() + 0.1, aim_seconds=0.2, organisation_priority=0
        )
        message = serialization.pack_request(request, 't')
        got = self.send(message)
        self.assertAlmostEqual(got.aim_at, request.aim_at, delta=0.05)
        self.assertEqual(got._replace(aim_at=request.aim_at), request)
        outcome = build_failed_outcome(DeliveryFailure.full, 'shed')
        outcome = outcome._replace(retry_seconds=0.5)
        packed = encode(serialization.pack_outcome(outcome))
        message = decode(definitions.WorkOutcome, packed)
        self.assertEqual(serialization.unpack_outcome(message), outcome)

    def test_message_of_an_older_build(self) -> None:
        """Guards against requests that fail for want of the new fields."""
        message = serialization.pack_request(build_request('org'), 't')
        for field in ('organisation_priority', 'aim_left', 'aim_seconds'):
            setattr(message, field, None)
        self.assertEqual(self.send(message), build_request('org'))

    def send(self, message) -> StatementRequest:
        """Return what an instance reads of a message."""
        received = decode(definitions.WorkRequest, encode(message))
        return serialization.unpack_request(received)
