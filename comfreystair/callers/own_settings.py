"""Answer what concerns the session itself, without any target."""

import time
from typing import Final

from pygwire import messages

from comfreystair.filters import request_errors
from comfreystair.filters.floor_tokens import (
    decode_floor_token,
    encode_floor_token,
)
from comfreystair.filters.session import SessionState
from comfreystair.routing.statements import Statement
from comfreystair.wire.answers import build_command_complete
from comfreystair.wire.batches import Batch
from comfreystair.wire.frames import Frame

_OWN_PREFIX: Final = 'comfreystair.'
_TEXT_OID: Final = 25
_NOW: Final = 'now'
_TAGS: Final = {  # noqa: WPS407
    'set': 'SET',
    'show': 'SHOW',
    'deallocate': 'DEALLOCATE',
    'discard': 'DISCARD ALL',
}


def is_local(statement: Statement) -> bool:
    """Tell whether the daemon answers a statement by itself."""
    if len(statement.kinds) != 1:
        return False
    kind = statement.kinds[0]
    if kind in {'deallocate', 'discard'}:
        return True
    return kind in {'set', 'show'} and statement.is_proxy_setting


def answer_locally(
    session: SessionState, batch: Batch, statement: Statement
) -> bytes:
    """Carry a statement out on the session and return its frames.

    :raises RequestError: when the setting is not one, or its form is wrong.
    """
    kind = statement.kinds[0]
    name = statement.setting_name.removeprefix(_OWN_PREFIX)
    if kind == 'show':
        return _build_frames(batch, statement, _show(session, name))
    if kind == 'set':
        apply_setting(session, name, statement.setting)
    elif kind == 'deallocate' and statement.prepared_name:
        session.statements.pop(statement.prepared_name, None)
    else:
        session.statements.clear()
    return _build_frames(batch, statement, None)


def apply_setting(session: SessionState, name: str, setting: str) -> None:
    """Change one of the session's own settings.

    :raises RequestError: when there is no such setting.
    """
    if name == 'route':
        session.route_name = setting
    elif name == 'idempotency_key':
        session.next_key = setting
    elif name == 'floor':
        _raise_floor(session, setting)
    else:
        raise request_errors.build_invalid_request_error(
            f'no setting "{_OWN_PREFIX}{name}"', request_errors.UNKNOWN_ROUTE
        )


def _raise_floor(session: SessionState, setting: str) -> None:
    if setting == _NOW:
        session.floor_since = time.monotonic()
    else:
        token = decode_floor_token(session.database, setting)
        session.floor = max(session.floor, token)


def _show(session: SessionState, name: str) -> str:
    shown = {
        'route': session.route_name,
        'idempotency_key': session.next_key,
        'floor': encode_floor_token(session.database, session.floor),
        'organisation': session.organisation,
        'trace': session.last_trace_id,
    }
    if name not in shown:
        raise request_errors.build_invalid_request_error(
            f'no setting "{_OWN_PREFIX}{name}"', request_errors.UNKNOWN_ROUTE
        )
    return shown[name]


def _build_frames(
    batch: Batch, statement: Statement, shown: str | None
) -> bytes:
    tag = _TAGS[statement.kinds[0]]
    columns = b'' if shown is None else _build_columns(statement.setting_name)
    rows = b'' if shown is None else _build_row(shown)
    ended = rows + build_command_complete(tag)
    if not batch.is_extended:
        return columns + ended
    answers = {
        b'P': messages.ParseComplete().to_wire(),
        b'B': messages.BindComplete().to_wire(),
        b'C': messages.CloseComplete().to_wire(),
        b'E': ended,
    }
    described = columns or messages.NoData().to_wire()
    return b''.join(
        _describe(frame, described)
        if frame.kind == b'D'
        else answers.get(frame.kind, b'')
        for frame in batch.frames
    )


def _describe(frame: Frame, described: bytes) -> bytes:
    if frame.payload[:1] == b'S':
        return messages.ParameterDescription().to_wire() + described
    return described


def _build_columns(name: str) -> bytes:
    field = messages.FieldDescription(
        name=name, type_oid=_TEXT_OID, type_size=-1
    )
    return messages.RowDescription(fields=[field]).to_wire()


def _build_row(shown: str) -> bytes:
    return messages.DataRow(columns=[shown.encode()]).to_wire()
