"""Targets' edge: one connection that speaks the line protocol."""

from typing import Final, NamedTuple

import curio
from curio import socket

from comfreystair.controllers.positions import Position
from comfreystair.dialing import Dial, has_input
from comfreystair.platform.exceptions import MalformedError
from comfreystair.platform.lines import (
    OWN_IDENT,
    LineReader,
    format_message,
    format_position,
    parse_failure,
    parse_position,
)
from comfreystair.pooling.exceptions import (
    TargetEndedError,
    TargetLostError,
    TargetRefusedError,
)
from comfreystair.pooling.targets import TargetReport
from comfreystair.sessions.statements import (
    Answer,
    PreparedStatement,
    Statement,
)

_STATUS_FIELDS: Final = 7
_ABORTED: Final = 'E'
_ROW: Final = 'ROW '
_READY: Final = 'READY '
_VERDICTS: Final = frozenset(('COMPLETE', 'ERROR'))


class _Ready(NamedTuple):
    rows: tuple[str, ...]
    signature: str
    code: str
    detail: str
    position: Position | None
    is_aborted: bool


class TargetConnection:
    """A connection to one target, opened for one organisation.

    :meth:`forward` and its kin raise :class:`TargetLostError` when no whole
    answer came; the connection must then be closed.
    """

    def __init__(self, sock: socket.socket, peer: str) -> None:
        """Take a connected socket; :func:`open_target` makes one."""
        self._sock = sock
        self._peer = peer
        self._reader = LineReader(sock)

    @property
    def has_input(self) -> bool:
        """Tell whether input waits that belongs to no statement.

        The end of the connection counts as input.
        """
        return self._reader.has_input or has_input(self._sock)

    async def forward(
        self,
        statement: Statement,
        floor: Position | None,
        own_name: str,
        seconds: float,
    ) -> Answer:
        """Run a caller's statement with its id and text.

        :param floor: position that the log must hold, for reads.
        :param own_name: what the prepared statement is called here.
        """
        text = statement.text
        if own_name:
            text = f'EXECUTE {own_name} {statement.argument}'
        if floor is not None:
            text = f'AFTER {format_position(floor)} {text}'
        return await self._ask(statement.ident, text, seconds)

    async def begin(
        self,
        is_read_only: bool,
        floor: Position | None,
        seconds: float,
    ) -> Answer:
        """Open a transaction."""
        text = 'BEGIN READ' if is_read_only else 'BEGIN'
        if floor is not None:
            text = f'AFTER {format_position(floor)} {text}'
        return await self._ask(OWN_IDENT, text, seconds)

    async def rollback(self, seconds: float) -> Answer:
        """End a transaction without its changes."""
        return await self._ask(OWN_IDENT, 'ROLLBACK', seconds)

    async def set_value(self, name: str, text: str, seconds: float) -> Answer:
        """Set a session value."""
        return await self._ask(OWN_IDENT, f'SET {name} {text}', seconds)

    async def prepare(
        self, name: str, prepared: PreparedStatement, seconds: float
    ) -> Answer:
        """Prepare a statement under a name of this connection."""
        mode = 'WRITE' if prepared.is_writing else 'READ'
        text = f'PREPARE {name} {mode} {prepared.shape}'
        return await self._ask(OWN_IDENT, text, seconds)

    async def reset(self, seconds: float) -> Answer:
        """Drop all values and prepared statements."""
        return await self._ask(OWN_IDENT, 'RESET', seconds)

    async def ask_status(self, seconds: float) -> TargetReport | None:
        """Return what the target says of itself; nothing when it is busy."""
        return _parse_report(await self._ask(OWN_IDENT, 'STATUS', seconds))

    async def step_down(self, term: int, seconds: float) -> TargetReport | None:
        """Make a primary of a lower term a replica."""
        answer = await self._ask(OWN_IDENT, f'STEPDOWN {term}', seconds)
        return _parse_report(answer)

    async def close(self) -> None:
        """Close the connection; an open transaction is rolled back."""
        await self._sock.close()

    async def read_answer(self) -> _Ready:
        """Read up to the line that ends an answer.

        :raises MalformedError: when the lines are not those of an answer.
        """
        rows: list[str] = []
        line = await self._reader.read()
        while line.startswith(_ROW):
            rows.append(line.removeprefix(_ROW))
            line = await self._reader.read()
        end = await self._reader.read()
        word = line.partition(' ')[0]
        if word not in _VERDICTS or not end.startswith(_READY):
            raise MalformedError(
                f'unexpected {line!r:.40}, {end!r:.40}', 'read'
            )
        return _build_ready(tuple(rows), line, end.removeprefix(_READY))

    async def start(self, service: str, organisation: str, ident: str) -> None:
        """Introduce the caller's organisation.

        :raises TargetRefusedError: with the target's reason.
        """
        await self._sock.sendall(
            format_message('STARTUP', service, organisation, ident)
        )
        line = await self._reader.read()
        word, _, rest = line.partition(' ')
        if word == 'ERROR':
            code = rest.partition(' ')[0]
            raise TargetRefusedError(parse_failure(code), self._peer)
        if word != 'READY':
            raise MalformedError(f'unexpected {line!r:.40}', 'startup')

    async def _ask(self, ident: str, text: str, seconds: float) -> Answer:
        if self._reader.has_input:
            # It would be taken for the answer.
            raise TargetLostError('unexpected input', 'ask', self._peer)
        try:
            async with curio.timeout_after(seconds):
                await self._sock.sendall(format_message('QUERY', ident, text))
                ready = await self.read_answer()
        except curio.TaskTimeout as error:
            raise TargetLostError('no answer in time', 'ask', self._peer) from (
                error
            )
        except (OSError, MalformedError) as error:
            raise TargetLostError(str(error), 'ask', self._peer) from error
        if ready.code:
            return Answer(
                failure=parse_failure(ready.code),
                detail=ready.detail,
                position=ready.position,
                is_aborted=ready.is_aborted,
            )
        return Answer(ready.rows, ready.signature, position=ready.position)


async def open_target(
    dial: Dial, address: str, names: tuple[str, str, str], seconds: float
) -> TargetConnection:
    """Connect to a target.

    :param names: the group, the organisation, the id expected there.
    :raises TargetLostError: when there was no answer.
    :raises TargetEndedError: when the connection ended or was refused.
    :raises TargetRefusedError: when the target refused.
    """
    try:
        async with curio.timeout_after(seconds):
            return await _open(dial, address, names)
    except curio.TaskTimeout as error:
        raise TargetLostError('no answer in time', 'open', address) from error
    except (ConnectionError, MalformedError) as error:
        raise TargetEndedError(str(error), 'open', address) from error
    except OSError as error:
        raise TargetLostError(str(error), 'open', address) from error


async def _open(
    dial: Dial, address: str, names: tuple[str, str, str]
) -> TargetConnection:
    sock = await dial(address)
    connection = TargetConnection(sock, address)
    is_started = False
    try:
        await connection.start(*names)
        is_started = True
    finally:
        if not is_started:
            await sock.close()
    return connection


def _build_ready(rows: tuple[str, ...], verdict: str, rest: str) -> _Ready:
    state, _, position = rest.partition(' ')
    word, _, told = verdict.partition(' ')
    is_error = word == 'ERROR'
    code, _, detail = told.partition(' ') if is_error else ('', '', '')
    return _Ready(
        rows,
        '' if is_error else told,
        code,
        detail,
        parse_position(position or '-'),
        is_aborted=state == _ABORTED,
    )


def _parse_report(answer: Answer) -> TargetReport | None:
    """Decode a status row.

    Its third field is the position received, its fourth the term up to which
    the log is held, its fifth how far it lags in milliseconds.
    """
    if answer.failure is not None or not answer.rows:
        return None
    fields = answer.rows[0].split()
    if len(fields) < _STATUS_FIELDS:
        return None
    try:
        received = parse_position(fields[2])
        return TargetReport(fields[0] == 'primary', int(fields[1]), received)
    except (ValueError, MalformedError):
        return None
