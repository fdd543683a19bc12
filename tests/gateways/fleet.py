"""Instances and one target in the test's own process."""

import curio

from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.gateways import GatewayBook, GatewayService, Relay
from comfreystair.manifest.serving import build_plan
from comfreystair.pooling.manager import PoolManager
from comfreystair.pooling.exceptions import (
    TargetLostError,
    TargetRefusedError,
)
from comfreystair.pooling.targets import TargetEntry
from comfreystair.pooling.local_execution import LocalExecutor, StatementRequest
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


def build_work(organisation: str, kind=StatementKind.read) -> StatementRequest:
    """Return a statement of an organisation."""
    statement = Statement('id', kind, kind.name)
    return StatementRequest(
        statement, organisation, {}, None, None, 1, 1.0, 1.0
    )


class FakeTarget:
    """A target that counts its connections and refuses those over a limit."""

    def __init__(self, limit: int) -> None:
        """Start without connections."""
        self.limit = limit
        self.connections = 0
        self.most = 0
        self.opened = 0
        self.refused = 0
        self.is_silent = False
        self.begin_seconds = 0.0
        self.texts: list[str] = []

    async def open(self, _entry, organisation: str, _seconds: float):
        """Open a connection."""
        if self.is_silent:
            raise TargetLostError('no answer', 'open')
        if self.connections >= self.limit:
            self.refused += 1
            raise TargetRefusedError(Failure.connection_limit, 't')
        self.connections += 1
        self.opened += 1
        self.most = max(self.most, self.connections)
        return FakeConnection(self, organisation)


class FakeConnection:
    """One connection of an organisation."""

    def __init__(self, target: FakeTarget, organisation: str) -> None:
        """Start open."""
        self._target = target
        self._organisation = organisation

    async def forward(self, statement, _floor, _name, _seconds) -> Answer:
        """Run a statement for a moment."""
        self._target.texts.append(statement.text)
        await curio.sleep(RUN_SECONDS)
        return Answer((self._organisation,), 'signed')

    async def begin(self, _is_read_only, _floor, _seconds) -> Answer:
        """Open a transaction."""
        await curio.sleep(self._target.begin_seconds)
        self._target.texts.append('begin')
        return DONE

    async def rollback(self, _seconds: float) -> Answer:
        """End a transaction."""
        self._target.texts.append('rollback')
        return DONE

    async def close(self) -> None:
        """Close the connection."""
        self._target.connections -= 1


class Fleet:
    """Instances of one availability zone that share a target."""

    def __init__(self, count: int, target: FakeTarget) -> None:
        """Wire the instances."""
        self.peers = FakePeers()
        self.records = {
            f'entry-{number}': InstanceRecord(
                f'entry-{number}', 'lima-a', f'e:{number}', f'life-{number}'
            )
            for number in range(count)
        }
        self.relays: dict[str, Relay] = {}
        self.locals: dict[str, LocalExecutor] = {}
        self.books: dict[str, GatewayBook] = {}
        self.states: dict[str, FleetState] = {}
        for name in self.records:
            self._add(name, target)

    async def update(self) -> None:
        """Have every instance take over the list of targets."""
        for name, board in self._boards.items():
            book = self.books[name]
            await board.update([ENTRY], book.find_limit, book.is_gateway)

    @property
    def _boards(self) -> dict[str, PoolManager]:
        return {name: one._pools for name, one in self.locals.items()}

    def _add(self, name: str, target: FakeTarget) -> None:
        record = self.records[name]
        state = FleetState(record)
        state.instances = self.records
        state.plan = build_plan(1, 1, (), (), {GROUP: CONNECTIONS}, 3)
        log = FakeLog()
        board = PoolManager('lima-a', target.open)
        local = LocalExecutor(board, log)
        book = GatewayBook(state, self.peers)
        for method, served in (
            GatewayService(state, local).list_methods().items()
        ):
            self.peers.serve(record.address, method, served.handle)
        self.states[name] = state
        self.locals[name] = local
        self.books[name] = book
        self.relays[name] = Relay(record, book, local, self.peers, log)
