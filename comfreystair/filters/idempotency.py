"""Run a request with an idempotency key at most once.

The key is written to a table of the database in the transaction of the
request itself, so key and effect are there together or not at all, at every
target that may become primary.
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
_DUPLICATE: Final = '23505'
_NO_TABLE: Final = '42P01'
_MAX_ANSWER_BYTES: Final = 65536
_MAX_KEY_CHARACTERS: Final = 200


async def run_once(request: Request, connection: TargetConnection) -> Answer:
    """Run the request, or return the answer of its first run.

    :raises RefusedError: when the key was used for another request.
    """
    key = _check_key(request.key)
    organisation = request.session.organisation
    digest = hash_request(request)
    begun = await _simple(
        connection,
        'BEGIN; INSERT INTO comfreystair_outcomes VALUES '
        f"('{_quote(organisation)}', '{_quote(key)}', '{digest}', '')",
    )
    if begun.error:
        return await _handle_refused(request, connection, begun, digest)
    answer = await _run_inside(request, connection)
    if answer.error:
        await _simple(connection, 'ROLLBACK')
        return answer._replace(status=IDLE)
    return await _commit(request, connection, answer)


def hash_request(request: Request) -> str:
    """Return a digest of what the request runs and with which parameters."""
    session = request.session
    hasher = hashlib.sha256()
    for text in request.texts:
        hasher.update(text.encode())
    for frame in request.batch.frames:
        if frame.kind == b'B':
            _portal, _name, bound = frame.payload.split(b'\0', 2)
            hasher.update(bound)
    hasher.update(session.database.encode())
    return hasher.hexdigest()


def _check_key(key: str) -> str:
    if len(key) > _MAX_KEY_CHARACTERS:
        raise request_errors.build_invalid_request_error(
            'the idempotency key is too long'
        )
    return key


async def _run_inside(request: Request, connection: TargetConnection) -> Answer:
    batch = request.batch
    if batch.is_extended:
        plan = build_plan(
            batch.frames, request.session.statements, connection.prepared
        )
    else:
        plan = Plan(batch.frames[0].raw)
    return await connection.exchange(plan)


async def _commit(
    request: Request, connection: TargetConnection, answer: Answer
) -> Answer:
    if len(answer.frames) > _MAX_ANSWER_BYTES:
        await _simple(connection, 'ROLLBACK')
        raise request_errors.build_invalid_request_error(
            'the answer is too large to be kept', request_errors.TOO_LARGE
        )
    organisation = _quote(request.session.organisation)
    stored = answer.frames.hex()
    committed = await connection.exchange(
        Plan(
            query_frame(
                f"UPDATE comfreystair_outcomes SET answer = '{stored}' "
                f"WHERE organisation = '{organisation}' "
                f"AND request = '{_quote(request.key)}'; COMMIT"
            )
        ),
        wants_position=True,
    )
    if committed.error:
        await _simple(connection, 'ROLLBACK')
        return committed._replace(status=IDLE)
    return answer._replace(status=IDLE, position=committed.position)


async def _handle_refused(
    request: Request,
    connection: TargetConnection,
    begun: Answer,
    digest: str,
) -> Answer:
    sqlstate = read_sqlstate(begun.error)
    await _simple(connection, 'ROLLBACK')
    if sqlstate == _NO_TABLE:
        raise RequestError(
            request_errors.NOT_SUPPORTED,
            'not run: the database has no table for idempotency keys',
            step='execute',
            hint='Create it: see docs/howto/idempotency.md.',
        )
    if sqlstate != _DUPLICATE:
        return begun._replace(status=IDLE)
    return await _find_first(request, connection, digest)


async def _find_first(
    request: Request, connection: TargetConnection, digest: str
) -> Answer:
    """Return the first answer, with the position that makes it safe."""
    organisation = _quote(request.session.organisation)
    found = await connection.exchange(
        Plan(
            query_frame(
                'SELECT digest, answer FROM comfreystair_outcomes '
                f"WHERE organisation = '{organisation}' "
                f"AND request = '{_quote(request.key)}'"
            )
        ),
        wants_position=True,
    )
    cells = _read_first_row(found.frames)
    if len(cells) != 2:
        raise request_errors.build_not_run_error(
            'the first run is not over', 'execute'
        )
    if cells[0].decode() != digest:
        raise request_errors.build_invalid_request_error(
            'the idempotency key was used for another request'
        )
    request.trace.note('execute', 'answered by the first run')
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


async def _simple(connection: TargetConnection, sql: str) -> Answer:
    return await connection.exchange(Plan(query_frame(sql)))


def _quote(text: str) -> str:
    return text.replace('\0', '').replace("'", "''")
