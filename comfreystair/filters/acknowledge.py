"""Filter ``acknowledge``: wait until a majority has received a write.

The caller gets the answer to a committed write after a majority of the
targets of the group has received the commit.
"""

import time
from typing import Final

from comfreystair.controllers.quorum_positions import max_position
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
_ROLLBACK_COMPLETE: Final = build_command_complete('ROLLBACK')


def build(context: FilterContext, next_handler: Handler) -> Handler:
    """Return a handler that waits for the majority after each commit.

    The answer to a confirmed commit also carries the session's floor token
    as the parameter ``comfreystair.floor``.

    :raises RequestError: when no majority confirmed the commit within
        ``acknowledge_seconds``, or when the primary was replaced meanwhile;
        the outcome is unknown then.
    """

    async def handle(request: Request) -> Answer:
        answer = await next_handler(request)
        is_committed = _is_committed(request, answer)
        if answer.status == IDLE:
            request.session.has_written = False
        if not is_committed:
            return answer
        return await _acknowledge(context, request, answer)

    return handle


def _is_committed(request: Request, answer: Answer) -> bool:
    if answer.position is None or answer.status != IDLE:
        return False
    kinds = request.statement.kinds
    if answer.error and 'end' not in kinds:
        return False
    if _ROLLBACK_COMPLETE in answer.frames:
        return False
    if kinds == ('end',):
        return request.session.has_written
    return not request.is_read


async def _acknowledge(
    context: FilterContext, request: Request, answer: Answer
) -> Answer:
    session = request.session
    primary_status = answer.position
    if primary_status is None or not primary_status.is_primary:
        raise request_errors.build_outcome_unknown_error(
            'the primary was replaced while the write ran', 'acknowledge'
        )
    group = context.groups[session.database]
    started = time.monotonic()
    commit_state = await group.wait_commit(
        primary_status.received, context.settings.acknowledge_seconds
    )
    context.metrics.time('acknowledge', time.monotonic() - started)
    request.trace.note(
        'acknowledge', f'{commit_state} at {primary_status.received}'
    )
    if commit_state != 'safe':
        raise request_errors.build_outcome_unknown_error(
            f'no majority confirmed the write ({commit_state})', 'acknowledge'
        )
    session.floor = max_position(session.floor, primary_status.received)
    token = encode_floor_token(session.database, session.floor)
    frame = build_parameter_status(FLOOR_PARAMETER, token)
    return answer._replace(frames=answer.frames + frame)
