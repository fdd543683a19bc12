"""A fleet of instances and one target, all in the test's process."""

from unittest import mock

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.connections.handover import HANDOVER_SECONDS
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.gateways import GatewayClient, GatewaySelector, GatewayService
from comfreystair.manifest.serving import build_plan
from comfreystair.pooling.exceptions import (
    TargetLostError,
    TargetRefusedError,
)
from comfreystair.pooling.local_execution import LocalExecutor, StatementRequest
from comfreystair.pooling.manager import PoolManager
from comfreystair.pooling.targets import TargetEntry
from comfreystair.sessions.statements import (
    DONE,
    Answer,
    Failure,
    Statement,
    StatementKind,
)
from tests.coordination.fakes import FakeLog, FakePeers

GROUP = 'permits'
ENTRY = TargetEntry('t', GROUP, 't:1', 'lima-a', 3, 1, False, True)
CONNECTIONS = 98
RUN_SECONDS = 0.002


def build_request(
    organisation: str, kind=StatementKind.read
) -> StatementRequest:
    """Return a request to run one statement for an organisation."""
    statement = Statement('id', kind, kind.name)
    return StatementRequest(
        statement, organisation, {}, None, None, 1, 1.0, 1.0
    )


class FakeTarget:
    """A target that counts its connections and refuses those over a limit."""

    def __init__(self, limit: int) -> None:
        """Start without connections.

        :param limit: connections beyond which new ones are refused.
        """
        self.limit = limit
        self.connections = 0
        self.peak_connections = 0
        self.opened = 0
        self.refused = 0
        self.is_silent = False
        self.begin_seconds = 0.0
        self.statements: list[str] = []

    async def open(self, _entry, organisation: str, _seconds: float):
        """Open a connection.

        :raises TargetLostError: the target is set to give no answer.
        :raises TargetRefusedError: the limit is reached.
        """
        if self.is_silent:
            raise TargetLostError('no answer', 'open')
        if self.connections >= self.limit:
            self.refused += 1
            raise TargetRefusedError(Failure.connection_limit, 't')
        self.connections += 1
        self.opened += 1
        self.peak_connections = max(self.peak_connections, self.connections)
        return FakeConnection(self, organisation)


class FakeConnection:
    """One connection of an organisation to the target."""

    def __init__(self, target: FakeTarget, organisation: str) -> None:
        """Represent a connection that the target already counts."""
        self._target = target
        self._organisation = organisation
        self.has_input = False

    async def forward(self, statement, _floor, _name, _seconds) -> Answer:
        """Record a statement and answer with the organisation after 2 ms."""
        self._target.statements.append(statement.text)
        await curio.sleep(RUN_SECONDS)
        return Answer((self._organisation,), 'signed')

    async def begin(self, _is_read_only, _floor, _seconds) -> Answer:
        """Open a transaction after the delay set at the target."""
        await curio.sleep(self._target.begin_seconds)
        self._target.statements.append('begin')
        return DONE

    async def rollback(self, _seconds: float) -> Answer:
        """Record a rollback."""
        self._target.statements.append('rollback')
        return DONE

    async def close(self) -> None:
        """Remove the connection from the count of the target."""
        self._target.connections -= 1


class Fleet:
    """Instances that share a target of zone ``a``."""

    def __init__(
        self, count: int, target: FakeTarget, zones: str = 'a'
    ) -> None:
        """Build instances that call each other through fake peers.

        :param count: number of instances.
        :param target: that all instances open connections to.
        :param zones: a letter for each availability zone.
        """
        self._connections = target.limit
        self.peers = FakePeers()
        self.records = {
            f'entry-{number}': InstanceRecord(
                f'entry-{number}',
                f'lima-{zones[number % len(zones)]}',
                f'e:{number}',
                f'life-{number}',
            )
            for number in range(count)
        }
        self.clients: dict[str, GatewayClient] = {}
        self.locals: dict[str, LocalExecutor] = {}
        self.selectors: dict[str, GatewaySelector] = {}
        self.states: dict[str, FleetState] = {}
        self.is_evacuated = False
        for name in self.records:
            self._add(name, target)

    def evacuate(self) -> None:
        """Let no more requests go to the target."""
        self.is_evacuated = True

    async def update(self) -> None:
        """Update every instance with the list of targets.

        Shares of connections have been handed over afterwards.
        """
        for passed in (0, HANDOVER_SECONDS):
            now = read_clock() + passed
            with mock.patch(
                'comfreystair.gateways.shares.read_clock', return_value=now
            ):
                await self._update_pools()

    @property
    def _boards(self) -> dict[str, PoolManager]:
        return {name: local._pools for name, local in self.locals.items()}

    async def _update_pools(self) -> None:
        for name, board in self._boards.items():
            one = self.selectors[name]
            checks = (one.find_connection_limit, one.is_gateway, one.has_shares)
            await board.update([ENTRY], *checks)

    def _add(self, name: str, target: FakeTarget) -> None:
        record = self.records[name]
        state = FleetState(record)
        state.instances = self.records
        state.plan = build_plan(1, (), (), {GROUP: self._connections}, 3)
        log = FakeLog()
        board = PoolManager(
            'lima-a', target.open, lambda _entry: not self.is_evacuated
        )
        local = LocalExecutor(board, log)
        selector = GatewaySelector(state, self.peers)
        for method, served in (
            GatewayService(state, local).list_methods().items()
        ):
            self.peers.serve(record.address, method, served.handle)
        self.states[name] = state
        self.locals[name] = local
        self.selectors[name] = selector
        self.clients[name] = GatewayClient(
            record, selector, local, self.peers, log
        )
