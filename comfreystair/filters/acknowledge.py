"""Withhold the answer to a write until a majority of targets holds it."""

import time
from typing import Final

from comfreystair.controllers.floors import merge_floors
from comfreystair.filters import request_errors
from comfreystair.filters.context import FilterContext
from comfreystair.filters.floor_tokens import encode_floor_token
from comfreystair.filters.request import Handler, Request
from comfreystair.targets.connection import Answer
from comfreystair.wire.answers import (
    IDLE,
    build_command_complete,
    build_parameter_status,
)

FLOOR_PARAMETER: Final = 'comfreystair.floor'
_ROLLED_BACK: Final = build_command_complete('ROLLBACK')


def build(parts: FilterContext, next_handler: Handler) -> Handler:
    """Build the filter."""

    async def handle(request: Request) -> Answer:
        answer = await next_handler(request)
        is_committed = _is_committed(request, answer)
        if answer.status == IDLE:
            request.session.has_written = False
        if not is_committed:
            return answer
        return await _acknowledge(parts, request, answer)

    return handle


def _is_committed(request: Request, answer: Answer) -> bool:
    if answer.position is None or answer.status != IDLE:
        return False
    kinds = request.statement.kinds
    if answer.error and 'end' not in kinds:
        return False
    if _ROLLED_BACK in answer.frames:
        return False
    if kinds == ('end',):
        return request.session.has_written
    return not request.is_read


async def _acknowledge(
    parts: FilterContext, request: Request, answer: Answer
) -> Answer:
    session = request.session
    status = answer.position
    if status is None or not status.is_primary:
        raise request_errors.build_outcome_unknown_error(
            'the primary was replaced while the write ran', 'acknowledge'
        )
    group = parts.groups[session.database]
    started = time.monotonic()
    verdict = await group.wait_commit(
        status.received, parts.settings.acknowledge_seconds
    )
    parts.metrics.time('acknowledge', time.monotonic() - started)
    request.trace.note('acknowledge', f'{verdict} at {status.received}')
    if verdict != 'safe':
        raise request_errors.build_outcome_unknown_error(
            f'no majority confirmed the write ({verdict})', 'acknowledge'
        )
    session.floor = merge_floors(session.floor, status.received)
    token = encode_floor_token(session.database, session.floor)
    frame = build_parameter_status(FLOOR_PARAMETER, token)
    return answer._replace(frames=answer.frames + frame)
