"""Run statements on an in-memory SQLite database as a target would."""

import re
import sqlite3
import struct
from typing import NamedTuple

_PLACEHOLDER = re.compile(r'\$(\d+)')
_COMMENT = re.compile(r'/\*.*?\*/', re.DOTALL)
_READS = frozenset(('SELECT', 'WITH', 'VALUES', 'SHOW', 'TABLE'))
_BINARY_FORMATS = {  # noqa: WPS407
    16: '!?',
    20: '!q',
    21: '!h',
    23: '!i',
    700: '!f',
    701: '!d',
}
_OID_INT8 = 20
_OID_FLOAT8 = 701
_OID_TEXT = 25

Parameter = int | float | str | None


class Statement(NamedTuple):
    """One statement with its bound parameters.

    :param sql: text with ``$n`` placeholders.
    :param parameters: decoded values, in placeholder order.
    """

    sql: str
    parameters: tuple[Parameter, ...] = ()


class Rows(NamedTuple):
    """The answer to one statement.

    :param columns: pairs of column name and type oid.
    :param rows: text-encoded cells.
    :param tag: the command tag.
    """

    columns: list[tuple[str, int]]
    rows: list[list[bytes | None]]
    tag: str


def find_keyword(sql: str) -> str:
    """Return the first keyword of a statement in upper case."""
    words = _COMMENT.sub(' ', sql).strip(' \n\t(;').split(None, 1)
    return words[0].rstrip(';').upper() if words else ''


def is_read(sql: str) -> bool:
    """Tell whether a statement only reads."""
    return find_keyword(sql) in _READS


def decode_parameter(raw: bytes | None, oid: int, is_binary: bool) -> Parameter:
    """Decode one Bind parameter by its type oid."""
    if raw is None:
        return None
    if is_binary and oid in _BINARY_FORMATS:
        return struct.unpack(_BINARY_FORMATS[oid], raw)[0]
    text = raw.decode()
    if oid in {20, 21, 23}:
        return int(text)
    if oid in {700, 701}:
        return float(text)
    return text


def execute(database: sqlite3.Connection, statement: Statement) -> Rows:
    """Run a statement inside the open SQLite transaction.

    :raises sqlite3.Error: as SQLite reports it.
    """
    sql = _PLACEHOLDER.sub(r'?\1', statement.sql).rstrip('; \n')
    cursor = database.execute(sql, statement.parameters)
    found = cursor.fetchall() if cursor.description else []
    names = [column[0] for column in cursor.description or ()]
    keyword = find_keyword(statement.sql)
    return Rows(
        [(name, _guess_oid(found, index)) for index, name in enumerate(names)],
        [[_encode_cell(cell) for cell in row] for row in found],
        _build_tag(keyword, len(found), cursor.rowcount),
    )


def _guess_oid(found: list[tuple[Parameter, ...]], index: int) -> int:
    for row in found:
        if isinstance(row[index], int):
            return _OID_INT8
        if isinstance(row[index], float):
            return _OID_FLOAT8
        if row[index] is not None:
            return _OID_TEXT
    return _OID_TEXT


def _encode_cell(cell: Parameter) -> bytes | None:
    return None if cell is None else str(cell).encode()


def _build_tag(keyword: str, returned: int, changed: int) -> str:
    if keyword in _READS:
        return f'SELECT {returned}'
    if keyword == 'INSERT':
        return f'INSERT 0 {max(changed, returned)}'
    if keyword in {'UPDATE', 'DELETE'}:
        return f'{keyword} {max(changed, returned)}'
    return keyword
