"""The commands of the platform's database group, called as functions."""

import json
import re
import time
from typing import NamedTuple

from standins.target import engine, sql

_CALL = re.compile(
    r'\s*SELECT \* FROM group_(\w+)\((.*)\)\s*;?\s*$', re.IGNORECASE
)
_OID_INT8 = 20
_OID_TEXT = 25
_MILLISECONDS = 1000


class Call(NamedTuple):
    """A call of a group function.

    :param name: function name without its prefix.
    :param arguments: decoded literals.
    """

    name: str
    arguments: list


def parse_call(text: str) -> Call | None:
    """Recognise a call of a group function."""
    match = _CALL.match(text)
    if match is None:
        return None
    literals = match.group(2).replace("'", '"')
    return Call(match.group(1), json.loads(f'[{literals}]'))


def run_call(target: engine.Engine, call: Call) -> sql.Rows:
    """Carry out a group function and return its row."""
    if call.name == 'fence':
        return _build_status(target, target.fence(*call.arguments))
    if call.name == 'promote':
        return _build_status(target, target.promote(*call.arguments))
    if call.name == 'follow':
        return _build_status(target, target.follow(*call.arguments))
    if call.name == 'log':
        return _build_log(target, *call.arguments)
    return _build_status(target, True)


def _build_status(target: engine.Engine, is_granted: bool) -> sql.Rows:
    heard = int((time.monotonic() - target.heard_at) * _MILLISECONDS)
    cells = {
        'granted': int(is_granted),
        'term': target.term,
        'promised_term': target.promised_term,
        'log_term': target.log_term,
        'received': len(target.log),
        'applied_term': target.applied_term,
        'applied': target.applied,
        'heard_ms': heard,
    }
    columns = [(name, _OID_INT8) for name in cells]
    row = [str(cell).encode() for cell in cells.values()]
    return sql.Rows(
        [*columns, ('role', _OID_TEXT), ('primary', _OID_TEXT)],
        [[*row, target.role.encode(), target.primary_address.encode()]],
        'SELECT 1',
    )


def _build_log(
    target: engine.Engine, term: int, history: list[list[int]]
) -> sql.Rows:
    if target.role != engine.ROLE_PRIMARY or target.term != term:
        raise engine.ReadOnlyError('not the primary of this term')
    common = find_common(target.history, history)
    entries = target.log[common:]
    payload = json.dumps(
        [common, [(one.term, one.statements) for one in entries]]
    )
    return sql.Rows([('log', _OID_TEXT)], [[payload.encode()]], 'SELECT 1')


def find_common(ours: list[tuple[int, int]], theirs: list[list[int]]) -> int:
    """Return the position up to which two logs are the same."""
    known = dict(ours)
    common = 0
    for term, end in theirs:
        if term not in known:
            break
        common = min(end, known[term])
        if end != known[term]:
            break
    return common
