"""Run a request with an idempotency key at most once.

The key is inserted into a table of the database in the same transaction as
the request itself. So the key and the effect of the request are committed
together or not at all, also on every target that may become primary.
"""

import hashlib
from typing import Final

from pygwire import messages

from comfreystair.filters import request_errors
from comfreystair.filters.exceptions import RequestError
from comfreystair.filters.request import Request
from comfreystair.targets.connection import Answer, TargetConnection
from comfreystair.targets.plans import Plan, build_plan
from comfreystair.targets.status import query_frame
from comfreystair.wire.answers import IDLE, read_sqlstate
from comfreystair.wire.frames import FrameBuffer

OUTCOMES_TABLE_SQL: Final = (
    'CREATE TABLE comfreystair_outcomes ('
    'organisation TEXT NOT NULL, request TEXT NOT NULL, '
    'digest TEXT NOT NULL, answer TEXT NOT NULL, '
    'PRIMARY KEY (organisation, request))'
)
_UNIQUE_VIOLATION: Final = '23505'
_UNDEFINED_TABLE: Final = '42P01'
_MAX_ANSWER_BYTES: Final = 65536
_MAX_KEY_CHARACTERS: Final = 200


async def run_once(request: Request, connection: TargetConnection) -> Answer:
    """Run the request, or return the stored answer of its first run.

    :raises RequestError: when the key was used for another request, when
        the answer is too large to be stored, or when the database has no
        table for idempotency keys.
    """
    key = _check_key(request.key)
    organisation = request.session.organisation
    digest = hash_request(request)
    insert_answer = await _run_sql(
        connection,
        'BEGIN; INSERT INTO comfreystair_outcomes VALUES '
        f"('{_escape(organisation)}', '{_escape(key)}', '{digest}', '')",
    )
    if insert_answer.error:
        return await _handle_insert_error(
            request, connection, insert_answer, digest
        )
    answer = await _run_in_transaction(request, connection)
    if answer.error:
        await _run_sql(connection, 'ROLLBACK')
        return answer._replace(status=IDLE)
    return await _store_and_commit(request, connection, answer)


def hash_request(request: Request) -> str:
    """Return a SHA-256 digest of the texts, bound values and database."""
    session = request.session
    hasher = hashlib.sha256()
    for text in request.texts:
        hasher.update(text.encode())
    for frame in request.batch.frames:
        if frame.kind == b'B':
            _portal, _name, bound_values = frame.payload.split(b'\0', 2)
            hasher.update(bound_values)
    hasher.update(session.database.encode())
    return hasher.hexdigest()


def _check_key(key: str) -> str:
    if len(key) > _MAX_KEY_CHARACTERS:
        raise request_errors.build_invalid_request_error(
            'the idempotency key is too long'
        )
    return key


async def _run_in_transaction(
    request: Request, connection: TargetConnection
) -> Answer:
    batch = request.batch
    if batch.is_extended:
        plan = build_plan(
            batch.frames, request.session.statements, connection.prepared
        )
    else:
        plan = Plan(batch.frames[0].raw)
    return await connection.exchange(plan)


async def _store_and_commit(
    request: Request, connection: TargetConnection, answer: Answer
) -> Answer:
    if len(answer.frames) > _MAX_ANSWER_BYTES:
        await _run_sql(connection, 'ROLLBACK')
        raise request_errors.build_invalid_request_error(
            'the answer is too large to be stored',
            request_errors.TOO_LARGE,
        )
    organisation = _escape(request.session.organisation)
    encoded_answer = answer.frames.hex()
    committed = await connection.exchange(
        Plan(
            query_frame(
                f"UPDATE comfreystair_outcomes SET answer = '{encoded_answer}' "
                f"WHERE organisation = '{organisation}' "
                f"AND request = '{_escape(request.key)}'; COMMIT"
            )
        ),
        wants_position=True,
    )
    if committed.error:
        await _run_sql(connection, 'ROLLBACK')
        return committed._replace(status=IDLE)
    return answer._replace(status=IDLE, position=committed.position)


async def _handle_insert_error(
    request: Request,
    connection: TargetConnection,
    insert_answer: Answer,
    digest: str,
) -> Answer:
    sqlstate = read_sqlstate(insert_answer.error)
    await _run_sql(connection, 'ROLLBACK')
    if sqlstate == _UNDEFINED_TABLE:
        raise RequestError(
            request_errors.NOT_SUPPORTED,
            'not run: the database has no table for idempotency keys',
            step='execute',
            hint='Create it: see docs/howto/idempotency.md.',
        )
    if sqlstate != _UNIQUE_VIOLATION:
        return insert_answer._replace(status=IDLE)
    return await _fetch_stored_answer(request, connection, digest)


async def _fetch_stored_answer(
    request: Request, connection: TargetConnection, digest: str
) -> Answer:
    """Return the answer of the first run, with a current log position.

    The first run committed before that position, so the answer is durable
    once a majority of targets has received the position.
    """
    organisation = _escape(request.session.organisation)
    found = await connection.exchange(
        Plan(
            query_frame(
                'SELECT digest, answer FROM comfreystair_outcomes '
                f"WHERE organisation = '{organisation}' "
                f"AND request = '{_escape(request.key)}'"
            )
        ),
        wants_position=True,
    )
    cells = _read_first_row(found.frames)
    if len(cells) != 2:
        raise request_errors.build_not_run_error(
            'the first run has not completed', 'execute'
        )
    if cells[0].decode() != digest:
        raise request_errors.build_invalid_request_error(
            'the idempotency key was used for another request'
        )
    request.trace.note('execute', 'returned the stored answer of the first run')
    frames = bytes.fromhex(cells[1].decode())
    return found._replace(frames=frames, error=b'')


def _read_first_row(frames: bytes) -> list[bytes]:
    buffer = FrameBuffer(len(frames) + 1)
    buffer.feed(frames)
    frame = buffer.next_frame()
    while frame is not None and frame.kind != b'D':
        frame = buffer.next_frame()
    if frame is None:
        return []
    row = messages.DataRow.decode(memoryview(frame.payload))
    return [bytes(cell or b'') for cell in row.columns]


async def _run_sql(connection: TargetConnection, sql: str) -> Answer:
    return await connection.exchange(Plan(query_frame(sql)))


def _escape(text: str) -> str:
    return text.replace('\0', '').replace("'", "''")
