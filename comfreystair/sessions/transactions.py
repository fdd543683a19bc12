"""Run transactions, each on one connection from its first statement on."""

from typing import Final

import curio

from comfreystair.clocks import read_clock
from comfreystair.coordination.state import FleetState
from comfreystair.manifest.serving import Consistency
from comfreystair.observability.decisions import DecisionLog
from comfreystair.pooling.exceptions import PoolError, TargetLostError
from comfreystair.pooling.gates import Gate
from comfreystair.pooling.pool import align
from comfreystair.sessions.attempts import (
    MOST_ATTEMPTS,
    NOT_SERVED,
    RETRY_SECONDS,
    RETURN_SECONDS,
    Attempts,
    find_rest,
    is_writing,
    make_ready,
    prepare_retry,
)
from comfreystair.sessions.placement import Need, Place, Placement
from comfreystair.sessions.session import Session, Transaction
from comfreystair.sessions.statements import (
    Answer,
    Failure,
    Statement,
    StatementKind,
    fail,
)

# Priority of statements that hold a transaction open.
_URGENT: Final = -1
# Bound on a rollback, in seconds; a connection without its answer is closed.
_ROLLBACK_SECONDS: Final = 0.3


class Transactions:
    """Begin, run and end callers' transactions at targets."""

    def __init__(
        self,
        state: FleetState,
        placement: Placement,
        attempts: Attempts,
        log: DecisionLog,
    ) -> None:
        """Take the parts."""
        self._state = state
        self._placement = placement
        self._attempts = attempts
        self._log = log

    async def run(
        self, session: Session, organisation: str, statement: Statement
    ) -> Answer:
        """Run a statement of a transaction, beginning it if need be."""
        transaction = session.transaction
        route = transaction.route
        deadline = read_clock() + route.statement_seconds - RETURN_SECONDS
        if transaction.pooled is None:
            answer = await self._begin(session, organisation, deadline)
            if answer.failure is not None:
                return answer
        if statement.kind is StatementKind.commit and transaction.has_written:
            return await self._commit(session, statement, deadline)
        answer = await self._run_pinned(
            session, statement, deadline, Failure.aborted
        )
        prepared = session.prepared.get(statement.name)
        if is_writing(statement, prepared):
            transaction.has_written = True
        return answer

    async def end(self, transaction: Transaction) -> None:
        """Roll back at the target, if the transaction has one."""
        pooled, pool = transaction.pooled, transaction.pool
        transaction.pooled = None
        if pooled is None or pool is None:
            return
        try:
            await pooled.connection.rollback(_ROLLBACK_SECONDS)
        except TargetLostError as error:
            self._log.write('rollback_lost', target=pool.entry.ident, why=error)
            await pool.discard(pooled)
        else:
            await pool.give_back(pooled)

    async def _begin(
        self, session: Session, organisation: str, deadline: float
    ) -> Answer:
        transaction = session.transaction
        route = transaction.route
        needs_primary = (
            not transaction.is_read_only
            or route.consistency is Consistency.primary
        )
        need = Need(
            route,
            organisation,
            needs_primary,
            transaction.began_at,
            session.floor,
            set(),
        )
        answer = NOT_SERVED
        for _ in range(MOST_ATTEMPTS):
            place = await self._placement.find(need, deadline)
            remaining = deadline - read_clock()
            if place is None or remaining <= 0:
                break
            answer = await self._begin_at(
                session, organisation, place, remaining
            )
            if answer.failure is None:
                break
            if not await prepare_retry(need, place, answer):
                break
        return answer

    async def _begin_at(
        self,
        session: Session,
        organisation: str,
        place: Place,
        seconds: float,
    ) -> Answer:
        transaction = session.transaction
        deadline = read_clock() + seconds
        taken = await self._attempts.take(
            place, organisation, transaction.route, seconds
        )
        if isinstance(taken, Answer):
            return taken
        has_begun = False
        asked_at = read_clock()
        try:
            await align(taken, session.values, seconds)
            answer = await taken.connection.begin(
                transaction.is_read_only,
                place.position,
                find_rest(deadline),
            )
            has_begun = answer.failure is None
        except TargetLostError as error:
            await self._attempts.note_lost(place, error)
            return NOT_SERVED
        finally:
            if has_begun:
                transaction.pooled = taken
                transaction.pool = place.pool
            else:
                await place.pool.discard(taken)
        self._attempts.note_answer(place, answer, asked_at)
        return answer

    async def _commit(
        self, session: Session, statement: Statement, deadline: float
    ) -> Answer:
        """Commit writes; they succeed only at what was surely the primary."""
        entry = session.transaction.pool.entry
        group = self._state.find_group(entry.group)
        if not group.leadership.may_acknowledge(entry.ident, read_clock()):
            return fail(Failure.aborted, 'the primary was replaced')
        place = Place(session.transaction.pool, None, is_primary=True)
        group.writes += 1
        try:
            answer = await self._run_pinned(
                session, statement, deadline, Failure.in_doubt
            )
            if answer.failure is None:
                answer = await self._attempts.acknowledge(group, place, answer)
                session.raise_floor(answer.position, read_clock())
        finally:
            group.writes -= 1
        return answer

    async def _run_pinned(
        self,
        session: Session,
        statement: Statement,
        deadline: float,
        lost: Failure,
    ) -> Answer:
        """Run a statement where the transaction is.

        :param lost: what a missing answer means; the connection is closed.
        """
        transaction = session.transaction
        pool = transaction.pool
        pooled = transaction.pooled
        is_whole = False
        try:
            answer = await self._send_pinned(session, statement, deadline)
            is_whole = True
        except TargetLostError as error:
            is_primary = not transaction.is_read_only
            await self._attempts.note_lost(Place(pool, None, is_primary), error)
            answer = fail(lost, f'{pool.entry.ident} gave no answer')
        finally:
            if not is_whole:
                transaction.pooled = None
                await pool.discard(pooled)
        return answer

    async def _send_pinned(
        self, session: Session, statement: Statement, deadline: float
    ) -> Answer:
        """Send a statement, again while the target is full."""
        pooled = session.transaction.pooled
        gate = session.transaction.pool.gate
        name = await make_ready(pooled, session, statement, deadline)
        while True:
            await _enter_urgently(gate, pooled.organisation, deadline)
            asked_at = read_clock()
            is_shed = True
            try:
                answer = await pooled.connection.forward(
                    statement, None, name, find_rest(deadline)
                )
                is_shed = answer.failure is Failure.overloaded
            finally:
                await gate.leave('', read_clock() - asked_at, is_shed)
            is_full = answer.failure is Failure.overloaded
            if not is_full or answer.is_aborted:
                return answer
            if read_clock() + RETRY_SECONDS >= deadline:
                return answer
            await curio.sleep(RETRY_SECONDS)


async def _enter_urgently(gate: Gate, name: str, deadline: float) -> None:
    """Wait for a turn ahead of requests that hold no connection.

    :raises TargetLostError: when there was none in time.
    """
    patience = find_rest(deadline)
    try:
        await gate.enter(name, _URGENT, patience)
    except PoolError as error:
        raise TargetLostError(str(error), error.step, error.peer) from error
