"""Run transactions, each on one connection from its first statement on."""

from comfreystair.clocks import read_clock
from comfreystair.coordination.state import FleetState
from comfreystair.gateways import Relay
from comfreystair.manifest.serving import Consistency
from comfreystair.pooling.local_execution import (
    Outcome,
    DeliveryFailure,
    StatementRequest,
    find_rest,
)
from comfreystair.sessions.attempts import (
    MOST_ATTEMPTS,
    NOT_SERVED,
    RETURN_SECONDS,
    AttemptRunner,
    is_writing,
    prepare_retry,
)
from comfreystair.sessions.execution import build_work
from comfreystair.sessions.target_selector import Need, Place, TargetSelector
from comfreystair.sessions.session import Session, Transaction
from comfreystair.sessions.statements import (
    Answer,
    Failure,
    Statement,
    StatementKind,
    build_failed_answer,
)


class TransactionManager:
    """Begin, run and end callers' transactions at targets."""

    def __init__(
        self,
        state: FleetState,
        placement: TargetSelector,
        attempts: AttemptRunner,
        relay: Relay,
    ) -> None:
        """Take the parts."""
        self._state = state
        self._placement = placement
        self._attempts = attempts
        self._relay = relay

    async def run(
        self, session: Session, organisation: str, statement: Statement
    ) -> Answer:
        """Run a statement of a transaction, beginning it if need be."""
        transaction = session.transaction
        route = transaction.route
        deadline = read_clock() + route.statement_seconds - RETURN_SECONDS
        work = build_work(session, route, organisation, statement)
        if transaction.pinned is None:
            answer = await self._begin(session, work, deadline)
            if answer.failure is not None:
                return answer
        if statement.kind is StatementKind.commit and transaction.has_written:
            return await self._commit(session, work, deadline)
        answer = await self._run_pinned(
            transaction, work, deadline, Failure.aborted
        )
        if is_writing(work):
            transaction.has_written = True
        return answer

    async def end(self, transaction: Transaction) -> None:
        """Roll back at the target, if the transaction has one."""
        pinned = transaction.pinned
        transaction.pinned = None
        if pinned is not None:
            await self._relay.end(pinned)

    async def _begin(
        self, session: Session, work: StatementRequest, deadline: float
    ) -> Answer:
        transaction = session.transaction
        route = transaction.route
        needs_primary = (
            not transaction.is_read_only
            or route.consistency is Consistency.primary
        )
        need = Need(
            route,
            work.organisation,
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
                transaction, place, work._replace(timeout_seconds=remaining)
            )
            if answer.failure is None:
                break
            if not await prepare_retry(need, place, answer):
                break
        return answer

    async def _begin_at(
        self, transaction: Transaction, place: Place, work: StatementRequest
    ) -> Answer:
        is_read_only = transaction.is_read_only
        kind = StatementKind.begin_read if is_read_only else StatementKind.begin
        opening = work._replace(
            statement=Statement('', kind, ''),
            prepared=None,
            floor=place.position,
        )
        answer, pinned = await self._attempts.begin(
            place, opening, is_read_only
        )
        if answer.failure is None:
            transaction.pinned = pinned
        return answer

    async def _commit(
        self, session: Session, work: StatementRequest, deadline: float
    ) -> Answer:
        """Commit writes; they succeed only at what was surely the primary."""
        transaction = session.transaction
        entry = transaction.pinned.entry
        group = self._state.find_group(entry.group)
        if not group.leadership.may_acknowledge(entry.ident, read_clock()):
            return build_failed_answer(
                Failure.aborted, 'the primary was replaced'
            )
        place = Place(entry, None, is_primary=True)
        group.writes += 1
        try:
            answer = await self._run_pinned(
                transaction, work, deadline, Failure.in_doubt
            )
            if answer.failure is None:
                answer = await self._attempts.acknowledge(group, place, answer)
                session.raise_floor(answer.position, read_clock())
        finally:
            group.writes -= 1
        return answer

    async def _run_pinned(
        self,
        transaction: Transaction,
        work: StatementRequest,
        deadline: float,
        lost: Failure,
    ) -> Answer:
        """Run a statement where the transaction is.

        :param lost: what a missing answer means; the transaction is over.
        """
        pinned = transaction.pinned
        rest = find_rest(deadline)
        outcome = await self._relay.run_pinned(
            pinned, work._replace(timeout_seconds=rest, max_wait_seconds=rest)
        )
        if outcome.delivery_failure is DeliveryFailure.none:
            return outcome.answer
        transaction.pinned = None
        is_primary = not transaction.is_read_only
        return self._explain(
            Place(pinned.entry, None, is_primary), outcome, lost
        )

    def _explain(self, place: Place, outcome: Outcome, lost: Failure) -> Answer:
        """Return what a missing answer means."""
        ident = place.entry.ident
        if outcome.delivery_failure is DeliveryFailure.lost and outcome.is_sent:
            self._attempts.note_lost(place, outcome.reason)
        if outcome.is_sent:
            return build_failed_answer(lost, f'{ident} gave no answer')
        return build_failed_answer(
            Failure.aborted, f'not run at {ident}: {outcome.reason}'
        )
