"""Find the statements that a batch runs, and classify them together."""

import types
from typing import Final

from comfreystair.filters import request_errors
from comfreystair.filters.exceptions import RequestError
from comfreystair.filters.session import SessionState
from comfreystair.routing.statements import Statement, classify_statement
from comfreystair.targets.plans import Prepared, read_bind, read_parse
from comfreystair.wire.batches import Batch
from comfreystair.wire.frames import Frame

_MAX_STATEMENTS: Final = 1000
_MAX_STATEMENT_BYTES: Final = 4194304
_STATEMENT: Final = b'S'
_EMPTY: Final = Statement(('empty',))


def find_texts(session: SessionState, batch: Batch) -> tuple[str, ...]:
    """Return the texts that a batch runs, or else those it describes.

    Statements that the batch prepares are remembered in the session.

    :raises RequestError: when the session prepares too much.
    """
    if not batch.is_extended:
        return (batch.query,)
    found = _Texts(session)
    for frame in batch.frames:
        handler = _HANDLERS.get(frame.kind)
        if handler is not None:
            handler(found, frame)
    return tuple(found.executed) or tuple(found.described)


class _Texts:
    """Texts found so far in a batch."""

    def __init__(self, session: SessionState) -> None:
        self.session = session
        self.portals: dict[str, str] = {}
        self.executed: list[str] = []
        self.described: list[str] = []


def _take_parse(found: _Texts, frame: Frame) -> None:
    name, prepared = read_parse(frame)
    _remember(found.session, name, prepared)
    found.described.append(prepared.query)


def _take_bind(found: _Texts, frame: Frame) -> None:
    portal, name = read_bind(frame)
    found.portals[portal] = _find_query(found.session, name)


def _take_execute(found: _Texts, frame: Frame) -> None:
    portal = frame.payload.split(b'\0', 1)[0].decode()
    found.executed.append(found.portals.get(portal, ''))


def _take_close(found: _Texts, frame: Frame) -> None:
    if frame.payload[:1] == _STATEMENT:
        found.session.statements.pop(frame.payload[1:-1].decode(), None)


def _take_describe(found: _Texts, frame: Frame) -> None:
    if frame.payload[:1] == _STATEMENT:
        name = frame.payload[1:-1].decode()
        found.described.append(_find_query(found.session, name))


_HANDLERS: Final = types.MappingProxyType(
    {
        b'P': _take_parse,
        b'B': _take_bind,
        b'E': _take_execute,
        b'C': _take_close,
        b'D': _take_describe,
    }
)


def classify_texts(texts: tuple[str, ...], is_executed: bool) -> Statement:
    """Classify all texts of a batch together.

    A batch that only prepares or describes changes nothing, so it may run
    wherever a read may, unless its text is refused.
    """
    if not texts:
        return _EMPTY
    read = [classify_statement(text) for text in texts]
    for statement in read:
        if 'refused' in statement.kinds:
            return statement
    if not is_executed and not all(one.is_read for one in read):
        return Statement(('write',), read[0].tag)
    if len(read) == 1:
        return read[0]
    kinds = tuple(kind for statement in read for kind in statement.kinds)
    return Statement(kinds, read[0].tag)


def _find_query(session: SessionState, name: str) -> str:
    prepared = session.statements.get(name)
    return prepared.query if prepared else ''


def _remember(session: SessionState, name: str, prepared: Prepared) -> None:
    replaced = session.statements.pop(name, None)
    if replaced is not None:
        session.statement_bytes -= len(replaced.tail)
    session.statements[name] = prepared
    session.statement_bytes += len(prepared.tail)
    is_over = session.statement_bytes > _MAX_STATEMENT_BYTES
    if is_over or len(session.statements) > _MAX_STATEMENTS:
        session.statements.pop(name)
        session.statement_bytes -= len(prepared.tail)
        raise RequestError(
            request_errors.TOO_LARGE,
            'not run: the session prepares too many statements',
            step='route',
            hint='Deallocate those that are not used.',
        )
