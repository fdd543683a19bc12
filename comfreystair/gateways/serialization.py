"""Conversion of statements and outcomes to and from peer messages."""

from comfreystair.clocks import read_clock
from comfreystair.controllers.positions import Position
from comfreystair.manifest.serving import DEFAULT_PRIORITY
from comfreystair.peers.messages import definitions
from comfreystair.pooling.local_execution import (
    DeliveryFailure,
    Outcome,
    StatementRequest,
)
from comfreystair.sessions.statements import (
    Answer,
    Failure,
    PreparedStatement,
    Statement,
    StatementKind,
)


def pack_request(request: StatementRequest, target: str = '', handle: str = ''):
    """Return the peer message for a statement and its session values.

    :param target: id of the target; empty for an open transaction.
    :param handle: of the transaction; empty for a single statement.
    """
    statement = request.statement
    return definitions.WorkRequest(
        target=target,
        handle=handle,
        organisation=request.organisation,
        ident=statement.ident,
        kind=statement.kind.name,
        text=statement.text,
        argument=statement.argument,
        session_values=request.values,
        prepared=_pack_prepared(request.prepared),
        floor=_pack_position(request.floor),
        priority=request.priority,
        patience=request.max_wait_seconds,
        seconds=request.timeout_seconds,
        organisation_priority=request.organisation_priority,
        aim_left=_pack_time(request.aim_at),
        aim_seconds=request.aim_seconds,
    )


def unpack_request(message) -> StatementRequest:
    """Return the statement and its session values from a peer message."""
    prepared = message.prepared
    organisation_priority = message.organisation_priority
    if organisation_priority is None:
        organisation_priority = DEFAULT_PRIORITY
    return StatementRequest(
        Statement(
            message.ident,
            StatementKind[message.kind],
            message.text,
            argument=message.argument or '',
        ),
        message.organisation,
        message.session_values or {},
        PreparedStatement(prepared.shape, prepared.is_writing)
        if prepared
        else None,
        _unpack_position(message.floor),
        message.priority,
        message.patience,
        message.seconds,
        organisation_priority,
        _unpack_time(message.aim_left),
        message.aim_seconds or 0,
    )


def pack_outcome(outcome: Outcome):
    """Return the peer message for an outcome."""
    answer = outcome.answer
    has_failed = outcome.delivery_failure is not DeliveryFailure.none
    return definitions.WorkOutcome(
        rows=list(answer.rows),
        signature=answer.signature,
        failure=answer.failure.name if answer.failure else '',
        detail=answer.detail,
        position=_pack_position(answer.position),
        is_aborted=answer.is_aborted,
        trouble=outcome.delivery_failure.name if has_failed else '',
        is_sent=outcome.is_sent,
        reason=outcome.reason,
        retry_seconds=outcome.retry_seconds,
    )


def unpack_outcome(message) -> Outcome:
    """Return the outcome from a peer message."""
    answer = Answer(
        tuple(message.rows or ()),
        message.signature or '-',
        Failure[message.failure] if message.failure else None,
        message.detail or '',
        _unpack_position(message.position),
        bool(message.is_aborted),
    )
    return Outcome(
        answer,
        DeliveryFailure[message.trouble]
        if message.trouble
        else DeliveryFailure.none,
        bool(message.is_sent),
        message.reason or '',
        message.retry_seconds or 0,
    )


def _pack_prepared(prepared: PreparedStatement | None):
    if prepared is None:
        return None
    return definitions.PreparedStatement(**prepared._asdict())


def _pack_time(at: float | None) -> float | None:
    """Return the time left until a time, as clocks of instances differ."""
    return None if at is None else at - read_clock()


def _unpack_time(seconds: float | None) -> float | None:
    """Return the time that is this many seconds from now."""
    return None if seconds is None else read_clock() + seconds


def _pack_position(position: Position | None):
    if position is None:
        return None
    return definitions.LogPosition(**position._asdict())


def _unpack_position(position) -> Position | None:
    return Position(position.term, position.offset) if position else None
