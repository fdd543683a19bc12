"""Filter ``execute``: run a request on a connection to its target.

The connection of an open transaction stays pinned to the session.
"""

import time
from typing import Final

from comfreystair.filters import idempotency, request_errors
from comfreystair.filters.context import FilterContext
from comfreystair.filters.exceptions import (
    ReadInterruptedError,
    TargetUnavailableError,
)
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

_CANCEL_TIMEOUT_SECONDS: Final = 0.5
_MAX_KNOWN_WRITES: Final = 1000


def build(context: FilterContext, next_handler: Handler) -> Handler:
    """Return the innermost handler; it never calls the next one.

    :raises RequestError: when the connection to the target was lost, or when
        the idempotency key can't be used.
    :raises TargetUnavailableError: when the target rejected a write and ran
        nothing, or when the connection was lost during a read on a route that
        allows repetition; another target may be selected then.
    """

    async def handle(request: Request) -> Answer:
        connection = await _acquire_connection(request)
        is_pinned = False
        try:
            answer = await _run(context, request, connection)
            is_pinned = _pin_open_transaction(request, connection, answer)
        finally:
            if not is_pinned:
                request.session.pinned_transaction = None
                await request.selected_target.pool.release(connection)
        _raise_if_read_only(context, request, answer)
        return _add_trace_id(request, answer)

    return handle


async def _acquire_connection(request: Request) -> TargetConnection:
    pinned = request.session.pinned_transaction
    if pinned is not None:
        return pinned.connection
    return await request.selected_target.pool.acquire()


async def _run(
    context: FilterContext, request: Request, connection: TargetConnection
) -> Answer:
    session = request.session
    session.running_connection = connection
    deadline = time.monotonic() + context.settings.statement_seconds
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
                request.selected_target.pool.dial, _CANCEL_TIMEOUT_SECONDS
            )
        raise _build_connection_error(request, str(error)) from error
    finally:
        session.running_connection = None
        connection.use = Use()


def plan_request(request: Request, connection: TargetConnection) -> Plan:
    """Return the messages to send to run a request's batch on a connection.

    Statements that the connection has not prepared yet are prepared first.
    """
    batch = request.batch
    if not batch.is_extended:
        return Plan(batch.frames[0].raw)
    return build_plan(
        batch.frames, request.session.statements, connection.prepared
    )


def _wants_position(request: Request) -> bool:
    """Tell whether to ask for the log position after the batch.

    It is needed when the batch may commit a write, which must then reach a
    majority.
    """
    if request.is_read or not request.selected_target.is_primary:
        return False
    if request.session.pinned_transaction is not None:
        return 'end' in request.statement.kinds
    return request.statement.kinds != ('begin',)


def _build_connection_error(request: Request, reason: str) -> Exception:
    """Return the error for a request whose connection was lost.

    The outcome is unknown when the batch may have committed a write. A read
    outside a transaction, on a route that allows repetition, runs again at
    another target. Otherwise nothing was committed.
    """
    session = request.session
    peer = request.selected_target.target
    may_have_committed = not request.is_read and _wants_position(request)
    if may_have_committed and (
        session.pinned_transaction is None or session.has_written
    ):
        return request_errors.build_outcome_unknown_error(
            reason, 'execute', peer
        )
    is_repeatable = request.route is not None and request.route.is_repeatable
    if request.is_read and is_repeatable and session.pinned_transaction is None:
        return ReadInterruptedError(reason, 'execute', peer)
    return request_errors.build_connection_lost_error(reason, 'execute', peer)


def _pin_open_transaction(
    request: Request, connection: TargetConnection, answer: Answer
) -> bool:
    """Bind the connection to the session while its transaction is open.

    :returns: whether the answer left a transaction open.
    """
    session = request.session
    is_open = answer.status != IDLE
    if is_open:
        session.pinned_transaction = PinnedTransaction(
            connection, request.selected_target
        )
        if not request.is_read and request.statement.kinds != ('begin',):
            session.has_written = True
    return is_open


def _raise_if_read_only(
    context: FilterContext, request: Request, answer: Answer
) -> None:
    """Raise when the target rejected a write because it is read-only.

    SQLSTATE 25006 proves that nothing ran, so another target may be selected.
    A statement that was classified as a read is remembered as a write. Several
    statements, or one that ends a transaction, are not retried.

    :raises TargetUnavailableError: so that another target is selected.
    """
    if not answer.error or answer.status != IDLE:
        return
    if read_sqlstate(answer.error) != request_errors.READ_ONLY:
        return
    is_single = len(request.statement.kinds) == 1
    if not is_single or request.statement.kinds == ('end',):
        return
    if request.is_read:
        _remember_write(context, request)
    raise TargetUnavailableError(
        'the target is read-only', 'execute', request.selected_target.target
    )


def _remember_write(context: FilterContext, request: Request) -> None:
    """Add the statement to the known writes; drop the oldest in excess."""
    known_writes = context.known_writes
    for text in request.texts[:1]:
        known_writes[text] = None
    while len(known_writes) > _MAX_KNOWN_WRITES:
        known_writes.pop(next(iter(known_writes)))


def _add_trace_id(request: Request, answer: Answer) -> Answer:
    if not answer.error:
        return answer
    error = add_where(answer.error, f'comfreystair trace {request.trace.ident}')
    return answer._replace(
        frames=answer.frames.replace(answer.error, error), error=error
    )
