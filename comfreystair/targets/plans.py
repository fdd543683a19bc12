"""Rewrite a batch of extended messages for the connection it runs on.

Names of prepared statements belong to the session, not to a connection. On a
connection each statement has the name of its content, and is prepared there
when it is first needed.
"""

import types
from collections.abc import Collection, Mapping
from typing import Final, Literal, NamedTuple

import xxhash
from pygwire import messages

from comfreystair.wire.answers import CLOSE_COMPLETE, PARSE_COMPLETE
from comfreystair.wire.frames import Frame

Action = Literal['forward', 'drop', 'insert']

_STATEMENT: Final = b'S'


class Prepared(NamedTuple):
    """A statement that a session prepared.

    :param server_name: its name on target connections.
    :param query: its text.
    :param tail: text and parameter types as in the Parse message.
    """

    server_name: str
    query: str
    tail: bytes


class Step(NamedTuple):
    """What becomes of the next completion in the answer.

    :param frame: what to insert.
    :param learned: server name that is prepared once this completes.
    """

    action: Action
    frame: bytes = b''
    learned: str = ''


class Plan(NamedTuple):
    """A batch as it is sent.

    :param wire: bytes for the target.
    :param steps: one for each completion, empty when all are forwarded.
    """

    wire: bytes
    steps: tuple[Step, ...] = ()


_FORWARD: Final = Step('forward')


def read_parse(frame: Frame) -> tuple[str, Prepared]:
    """Read a Parse message.

    :returns: the session's name for the statement, and the statement.
    """
    name, tail = frame.payload.split(b'\0', 1)
    query = tail.split(b'\0', 1)[0]
    server_name = f'cs_{xxhash.xxh3_128_hexdigest(tail)}'
    return name.decode(), Prepared(server_name, query.decode(), tail)


def read_bind(frame: Frame) -> tuple[str, str]:
    """Return the portal and the statement that a Bind message names."""
    portal, statement, _ = frame.payload.split(b'\0', 2)
    return portal.decode(), statement.decode()


def build_plan(
    frames: tuple[Frame, ...],
    statements: Mapping[str, Prepared],
    prepared: Collection[str],
) -> Plan:
    """Rewrite the messages of a batch.

    :param statements: the session's statements by their session names.
    :param prepared: server names that the connection has already.
    """
    draft = _Draft(statements, prepared)
    for frame in frames:
        _PLANNERS.get(frame.kind, _plan_other)(draft, frame)
    is_plain = all(step is _FORWARD for step in draft.steps)
    steps = () if is_plain else tuple(draft.steps)
    return Plan(b''.join(draft.wire), steps)


class _Draft:
    """A plan in the making."""

    def __init__(
        self, statements: Mapping[str, Prepared], prepared: Collection[str]
    ) -> None:
        self.wire: list[bytes] = []
        self.steps: list[Step] = []
        self.scope = statements
        self.known = set(prepared)

    def forward(self, raw: bytes) -> None:
        """Send a message and forward its completion."""
        self.wire.append(raw)
        self.steps.append(_FORWARD)

    def prepare(self, statement: Prepared) -> None:
        """Prepare a statement that the connection lacks."""
        if statement.server_name not in self.known:
            self.known.add(statement.server_name)
            self.wire.append(_build_parse(statement))
            self.steps.append(Step('drop', learned=statement.server_name))


def _plan_parse(draft: _Draft, frame: Frame) -> None:
    name, statement = read_parse(frame)
    draft.scope = {**draft.scope, name: statement}
    if statement.server_name in draft.known:
        draft.steps.append(Step('insert', PARSE_COMPLETE))
        return
    draft.known.add(statement.server_name)
    draft.wire.append(_build_parse(statement))
    draft.steps.append(Step('forward', learned=statement.server_name))


def _plan_bind(draft: _Draft, frame: Frame) -> None:
    portal, name, rest = frame.payload.split(b'\0', 2)
    statement = draft.scope.get(name.decode())
    if statement is None:
        draft.forward(frame.raw)
        return
    draft.prepare(statement)
    server_name = statement.server_name.encode()
    draft.forward(_build_frame(b'B', b'\0'.join((portal, server_name, rest))))


def _plan_describe(draft: _Draft, frame: Frame) -> None:
    statement = None
    if frame.payload[:1] == _STATEMENT:
        statement = draft.scope.get(frame.payload[1:-1].decode())
    if statement is None:
        draft.forward(frame.raw)
        return
    draft.prepare(statement)
    described = messages.Describe(kind='S', name=statement.server_name)
    draft.forward(described.to_wire())


def _plan_close(draft: _Draft, frame: Frame) -> None:
    if frame.payload[:1] == _STATEMENT:
        draft.steps.append(Step('insert', CLOSE_COMPLETE))
    else:
        draft.forward(frame.raw)


def _plan_sync(draft: _Draft, frame: Frame) -> None:
    draft.wire.append(frame.raw)


def _plan_other(draft: _Draft, frame: Frame) -> None:
    draft.forward(frame.raw)


_PLANNERS: Final = types.MappingProxyType(
    {
        b'P': _plan_parse,
        b'B': _plan_bind,
        b'D': _plan_describe,
        b'C': _plan_close,
        b'S': _plan_sync,
    }
)


def _build_parse(statement: Prepared) -> bytes:
    name = statement.server_name.encode()
    return _build_frame(b'P', b'\0'.join((name, statement.tail)))


def _build_frame(kind: bytes, payload: bytes) -> bytes:
    length = len(payload) + 4
    return kind + length.to_bytes(4) + payload
