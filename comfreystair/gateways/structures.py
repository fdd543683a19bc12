"""Work and its outcome as instances send them to each other."""

from comfreystair.controllers.positions import Position
from comfreystair.peers.messages import definitions
from comfreystair.pooling.local_execution import (
    Outcome,
    DeliveryFailure,
    StatementRequest,
)
from comfreystair.sessions.statements import (
    Answer,
    Failure,
    PreparedStatement,
    Statement,
    StatementKind,
)


def pack_work(work: StatementRequest, target: str = '', handle: str = ''):
    """Return work as it is sent."""
    statement = work.statement
    return definitions.WorkRequest(
        target=target,
        handle=handle,
        organisation=work.organisation,
        ident=statement.ident,
        kind=statement.kind.name,
        text=statement.text,
        argument=statement.argument,
        session_values=work.values,
        prepared=_pack_prepared(work.prepared),
        floor=_pack_position(work.floor),
        priority=work.priority,
        patience=work.max_wait_seconds,
        seconds=work.timeout_seconds,
    )


def unpack_work(request) -> StatementRequest:
    """Return work as it was sent."""
    prepared = request.prepared
    return StatementRequest(
        Statement(
            request.ident,
            StatementKind[request.kind],
            request.text,
            argument=request.argument or '',
        ),
        request.organisation,
        request.session_values or {},
        PreparedStatement(prepared.shape, prepared.is_writing)
        if prepared
        else None,
        _unpack_position(request.floor),
        request.priority,
        request.patience,
        request.seconds,
    )


def pack_outcome(outcome: Outcome):
    """Return an outcome as it is sent."""
    answer = outcome.answer
    is_missing = outcome.delivery_failure is not DeliveryFailure.none
    return definitions.WorkOutcome(
        rows=list(answer.rows),
        signature=answer.signature,
        failure=answer.failure.name if answer.failure else '',
        detail=answer.detail,
        position=_pack_position(answer.position),
        is_aborted=answer.is_aborted,
        trouble=outcome.delivery_failure.name if is_missing else '',
        is_sent=outcome.is_sent,
        reason=outcome.reason,
    )


def unpack_outcome(sent) -> Outcome:
    """Return an outcome as it was sent."""
    answer = Answer(
        tuple(sent.rows or ()),
        sent.signature or '-',
        Failure[sent.failure] if sent.failure else None,
        sent.detail or '',
        _unpack_position(sent.position),
        bool(sent.is_aborted),
    )
    return Outcome(
        answer,
        DeliveryFailure[sent.trouble] if sent.trouble else DeliveryFailure.none,
        bool(sent.is_sent),
        sent.reason or '',
    )


def _pack_prepared(prepared: PreparedStatement | None):
    if prepared is None:
        return None
    return definitions.PreparedStatement(**prepared._asdict())


def _pack_position(position: Position | None):
    if position is None:
        return None
    return definitions.LogPosition(**position._asdict())


def _unpack_position(position) -> Position | None:
    return Position(position.term, position.offset) if position else None
