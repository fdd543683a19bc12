"""The line protocol that callers and targets speak.

A message is a word and fields, separated by blanks, ended by CR LF. The last
field may contain anything but that end, also a line feed or a carriage return
alone.
"""

from typing import Final

from curio import socket

from comfreystair.controllers.positions import Position
from comfreystair.platform.exceptions import MalformedError
from comfreystair.sessions.statements import (
    Failure,
    SessionPhase,
    Statement,
    StatementKind,
)

# Bound on one message, in bytes, as the protocol states it.
MAX_LINE_BYTES: Final = 1048576
_READ_BYTES: Final = 65536
_END: Final = b'\r\n'
_SEPARATOR: Final = ' '
# Longest position, of two numbers of 18 digits.
_MAX_POSITION_CHARACTERS: Final = 37
_NO_POSITION: Final = '-'
OWN_IDENT: Final = '-'

_FAILURES: Final = {  # noqa: WPS407
    'BUSY': Failure.overloaded,
    'ABORTED': Failure.aborted,
    'LAGGING': Failure.lagging,
    'READONLY': Failure.read_only,
    'WRONGNODE': Failure.wrong_target,
    'MAXCONN': Failure.connection_limit,
    'NOSTMT': Failure.unknown_statement,
    'FAILED': Failure.failed,
    'TIMEOUT': Failure.timed_out,
    'INDOUBT': Failure.in_doubt,
    'NODB': Failure.unknown_database,
    'NOAUTH': Failure.unauthenticated,
    'MALFORMED': Failure.malformed,
}
_CODES: Final = {  # noqa: WPS407
    failure: code for code, failure in _FAILURES.items()
}
_PHASES: Final = {  # noqa: WPS407
    SessionPhase.idle: 'I',
    SessionPhase.in_transaction: 'T',
    SessionPhase.in_failed_transaction: 'E',
}
_PLAIN_KINDS: Final = {  # noqa: WPS407
    'BEGIN': StatementKind.begin,
    'BEGIN READ': StatementKind.begin_read,
    'COMMIT': StatementKind.commit,
    'ROLLBACK': StatementKind.rollback,
}
_PREPARE_KINDS: Final = {  # noqa: WPS407
    'READ': StatementKind.prepare_read,
    'WRITE': StatementKind.prepare_write,
}
# What the first field of a statement names, as a field of `Statement`.
_NAME_FIELDS: Final = {  # noqa: WPS407
    StatementKind.read: 'item',
    StatementKind.write: 'item',
    StatementKind.set_value: 'value_name',
    StatementKind.prepare_read: 'prepared_name',
    StatementKind.prepare_write: 'prepared_name',
    StatementKind.execute: 'prepared_name',
    StatementKind.close: 'prepared_name',
}


class LineReader:
    """Read lines of bounded length from a socket."""

    def __init__(self, sock: socket.socket) -> None:
        """Start with an empty buffer."""
        self._sock = sock
        self._buffer = bytearray()

    @property
    def has_input(self) -> bool:
        """Tell whether bytes wait that were not handed on yet."""
        return bool(self._buffer)

    async def read(self) -> str:
        """Return the next line without its end; empty when there is none.

        :raises MalformedError: when it is too long or not UTF-8.
        """
        end = self._buffer.find(_END)
        while end < 0:
            if len(self._buffer) > MAX_LINE_BYTES:
                raise MalformedError('a line over 1 MiB', 'read')
            # The end may have arrived in part.
            searched = max(len(self._buffer) - len(_END) + 1, 0)
            chunk = await self._sock.recv(_READ_BYTES)
            if not chunk:
                return ''
            self._buffer += chunk
            end = self._buffer.find(_END, searched)
        line = bytes(self._buffer[:end])
        del self._buffer[: end + len(_END)]
        try:
            return line.decode()
        except UnicodeDecodeError as error:
            raise MalformedError('a line that is not UTF-8', 'read') from error


def format_message(*fields: str) -> bytes:
    """Return a message of a word and fields.

    :raises MalformedError: when a field would end the message, or one before
        the last would be read as two.
    """
    message = _SEPARATOR.join(fields).encode()
    has_separator = any(_SEPARATOR in field for field in fields[:-1])
    if has_separator or _END in message:
        raise MalformedError('a field that separates or ends fields', 'format')
    return message + _END


def parse_statement(ident: str, text: str) -> Statement:
    """Read a caller's statement; what is none has the kind ``malformed``."""
    plain = _PLAIN_KINDS.get(text)
    if plain is not None:
        return Statement(ident, plain, text)
    word, _, rest = text.partition(' ')
    name, _, argument = rest.partition(' ')
    kind = _find_kind(word, name, argument)
    if kind in _PREPARE_KINDS.values():
        argument = argument.partition(' ')[2]
    field = _NAME_FIELDS.get(kind)
    if field is None:
        return Statement(ident, kind, text)
    return Statement(ident, kind, text, argument=argument, **{field: name})


def _find_kind(word: str, name: str, argument: str) -> StatementKind:
    if not name:
        return StatementKind.malformed
    if word == 'PREPARE':
        mode, _, shape = argument.partition(' ')
        kind = _PREPARE_KINDS.get(mode)
        return kind if kind and shape else StatementKind.malformed
    if word == 'READ':
        return StatementKind.malformed if argument else StatementKind.read
    if word in {'WRITE', 'SET', 'EXECUTE'} and not argument:
        return StatementKind.malformed
    return {
        'WRITE': StatementKind.write,
        'SET': StatementKind.set_value,
        'EXECUTE': StatementKind.execute,
        'CLOSE': StatementKind.close,
    }.get(word, StatementKind.malformed)


def parse_failure(code: str) -> Failure:
    """Read an error's code; one that is not known says nothing of its run."""
    return _FAILURES.get(code, Failure.failed)


def format_failure(failure: Failure) -> str:
    """Return the code of a failure."""
    return _CODES[failure]


def parse_position(text: str) -> Position | None:
    """Read ``TERM.NUMBER``.

    :raises MalformedError: when it is neither that nor absent.
    """
    if text == _NO_POSITION:
        return None
    term, _, number = text.partition('.')
    is_short = len(text) <= _MAX_POSITION_CHARACTERS
    if not (is_short and term.isdecimal() and number.isdecimal()):
        raise MalformedError(f'no position: {text!r:.40}', 'read')
    return Position(int(term), int(number))


def format_position(position: Position | None) -> str:
    """Return ``TERM.NUMBER``, or a dash when there is none."""
    if position is None:
        return _NO_POSITION
    return f'{position.term}.{position.offset}'


def format_ready(phase: SessionPhase, position: Position | None) -> str:
    """Return the line that ends every answer."""
    return f'READY {_PHASES[phase]} {format_position(position)}\r\n'
