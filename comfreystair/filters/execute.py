"""Run a request at its target and keep an open transaction's connection."""

import time
from typing import Final

from comfreystair.filters import idempotency, request_errors
from comfreystair.filters.context import FilterContext
from comfreystair.filters.exceptions import RequestError, TargetUnavailableError
from comfreystair.filters.request import Handler, Request
from comfreystair.filters.session import PinnedTransaction
from comfreystair.targets.connection import Answer, TargetConnection, Use
from comfreystair.targets.exceptions import TargetLostError
from comfreystair.targets.plans import Plan, build_plan
from comfreystair.wire.answers import (
    IDLE,
    add_where,
    read_sqlstate,
)

_CANCEL_SECONDS: Final = 0.5
_KNOWN_WRITES: Final = 1000


def build(parts: FilterContext, next_handler: Handler) -> Handler:
    """Build the innermost filter; it never calls the next handler."""

    async def handle(request: Request) -> Answer:
        connection = await _take_connection(request)
        is_kept = False
        try:
            answer = await _run(parts, request, connection)
            is_kept = _keep(request, connection, answer)
        finally:
            if not is_kept:
                request.session.pinned_transaction = None
                await request.selected_target.pool.release(connection)
        _check_answer(parts, request, answer)
        return _add_trace(request, answer)

    return handle


async def _take_connection(request: Request) -> TargetConnection:
    pinned = request.session.pinned_transaction
    if pinned is not None:
        return pinned.connection
    return await request.selected_target.pool.acquire()


async def _run(
    parts: FilterContext, request: Request, connection: TargetConnection
) -> Answer:
    session = request.session
    session.running_connection = connection
    deadline = time.monotonic() + parts.settings.statement_seconds
    is_repeatable = request.route is not None and request.route.is_repeatable
    connection.use = Use(request.selected_target.term, is_repeatable, deadline)
    try:
        if request.key:
            return await idempotency.run_once(request, connection)
        return await connection.exchange(
            plan_request(request, connection),
            wants_position=_wants_position(request),
            sink=request.sink if request.is_read else None,
        )
    except TargetLostError as error:
        if time.monotonic() > deadline:
            await connection.cancel(
                request.selected_target.pool.dial, _CANCEL_SECONDS
            )
        raise _explain_loss(request, str(error)) from error
    finally:
        session.running_connection = None
        connection.use = Use()


def plan_request(request: Request, connection: TargetConnection) -> Plan:
    """Plan a request's batch for a connection."""
    batch = request.batch
    if not batch.is_extended:
        return Plan(batch.frames[0].raw)
    return build_plan(
        batch.frames, request.session.statements, connection.prepared
    )


def _wants_position(request: Request) -> bool:
    """Ask for the log position wherever the batch may commit a write."""
    if request.is_read or not request.selected_target.is_primary:
        return False
    if request.session.pinned_transaction is not None:
        return 'end' in request.statement.kinds
    return request.statement.kinds != ('begin',)


def _explain_loss(request: Request, reason: str) -> Exception:
    """Say what is known of a request whose connection was lost."""
    session = request.session
    peer = request.selected_target.target
    may_commit = not request.is_read and _wants_position(request)
    if may_commit and (
        session.pinned_transaction is None or session.has_written
    ):
        return request_errors.build_outcome_unknown_error(
            reason, 'execute', peer
        )
    is_repeatable = request.route is not None and request.route.is_repeatable
    if request.is_read and is_repeatable and session.pinned_transaction is None:
        return TargetUnavailableError(reason, 'execute', peer)
    return RequestError(
        request_errors.CONNECTION_LOST,
        f'connection to the target lost, nothing was committed: {reason}',
        step='execute',
        peer=peer,
        hint='Start again; a read can be repeated as it is.',
    )


def _keep(
    request: Request, connection: TargetConnection, answer: Answer
) -> bool:
    session = request.session
    is_open = answer.status != IDLE
    if is_open:
        session.pinned_transaction = PinnedTransaction(
            connection, request.selected_target
        )
        if not request.is_read and request.statement.kinds != ('begin',):
            session.has_written = True
    return is_open


def _check_answer(
    parts: FilterContext, request: Request, answer: Answer
) -> None:
    """Place a request again whose target proved that it ran nothing."""
    if not answer.error or answer.status != IDLE:
        return
    if read_sqlstate(answer.error) != request_errors.READ_ONLY:
        return
    is_plain = len(request.statement.kinds) == 1
    if not is_plain or request.statement.kinds == ('end',):
        return
    if request.is_read:
        _remember_write(parts, request)
    raise TargetUnavailableError(
        'the target only reads', 'execute', request.selected_target.target
    )


def _remember_write(parts: FilterContext, request: Request) -> None:
    known = parts.known_writes
    for text in request.texts[:1]:
        known[text] = None
    while len(known) > _KNOWN_WRITES:
        known.pop(next(iter(known)))


def _add_trace(request: Request, answer: Answer) -> Answer:
    if not answer.error:
        return answer
    where = add_where(answer.error, f'comfreystair trace {request.trace.ident}')
    return answer._replace(
        frames=answer.frames.replace(answer.error, where), error=where
    )
