"""Run single statements, and say truthfully what became of them."""

from typing import Final

from comfreystair.clocks import read_clock
from comfreystair.coordination.state import FleetState
from comfreystair.manifest.serving import Consistency, ServingRoute
from comfreystair.observability.decisions import DecisionLog
from comfreystair.pooling.exceptions import PoolError, TargetLostError
from comfreystair.pooling.pool import Pooled
from comfreystair.sessions.attempts import (
    MOST_ATTEMPTS,
    NOT_SERVED,
    RETURN_SECONDS,
    Attempts,
    find_rest,
    is_writing,
    make_ready,
    prepare_retry,
)
from comfreystair.sessions.placement import Need, Place, Placement
from comfreystair.sessions.session import Session
from comfreystair.sessions.statements import (
    NOT_RUN,
    Answer,
    Failure,
    Statement,
    fail,
)

# Share of a read's time after which it is tried at another target.
_FIRST_SHARE: Final = 0.5
# Share of a statement's time that it may wait for its turn.
_WAIT_SHARE: Final = 0.7
_REPEATABLE_READS: Final = frozenset((Failure.timed_out, Failure.failed))


class Executor:
    """Run reads and writes outside of transactions."""

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
        self,
        session: Session,
        route: ServingRoute,
        organisation: str,
        statement: Statement,
    ) -> Answer:
        """Run a statement, at several targets where that is safe."""
        prepared = session.prepared.get(statement.name)
        is_write = is_writing(statement, prepared)
        needs_primary = is_write or route.consistency is Consistency.primary
        need = Need(
            route,
            organisation,
            needs_primary,
            read_clock(),
            session.floor,
            set(),
        )
        share = 1 if is_write else _FIRST_SHARE
        answer = NOT_SERVED
        for _ in range(MOST_ATTEMPTS):
            tried = await self._try(session, need, statement, share)
            if tried is None:
                break
            place, answer = tried
            if not _may_repeat(answer, is_write):
                break
            self._note_retry(statement, place, answer)
            if not await prepare_retry(need, place, answer):
                break
            share = 1
        return answer

    async def _try(
        self, session: Session, need: Need, statement: Statement, share: float
    ) -> tuple[Place, Answer] | None:
        """Run a statement at the best place; nothing when there is none.

        :param share: of the time left that the attempt may take.
        """
        allowed = need.route.statement_seconds - RETURN_SECONDS
        deadline = need.read_at + allowed
        place = await self._placement.find(need, deadline)
        remaining = deadline - read_clock()
        if place is None or remaining <= 0:
            return None
        answer = await self._attempt(
            session, need, statement, place, remaining * share
        )
        return place, answer

    async def _attempt(
        self,
        session: Session,
        need: Need,
        statement: Statement,
        place: Place,
        seconds: float,
    ) -> Answer:
        """Run a statement at one place.

        A write whose answer is lost is in doubt; everything before it was
        sent is reported as not run.
        """
        started_at = read_clock()
        patience = min(seconds * _WAIT_SHARE, need.route.aim_seconds)
        try:
            await place.pool.gate.enter(
                need.organisation, need.route.priority, patience
            )
        except PoolError as error:
            return self._attempts.refuse_full(place, error)
        answer = NOT_SERVED
        entered_at = read_clock()
        try:
            answer = await self._run_at(
                session, need, statement, place, started_at + seconds
            )
        finally:
            await place.pool.gate.leave(
                need.organisation,
                read_clock() - entered_at,
                answer.failure is Failure.overloaded,
            )
        return answer

    async def _run_at(
        self,
        session: Session,
        need: Need,
        statement: Statement,
        place: Place,
        deadline: float,
    ) -> Answer:
        taken = await self._attempts.take(
            place, need.organisation, need.route, deadline - read_clock()
        )
        if isinstance(taken, Answer):
            return taken
        prepared = session.prepared.get(statement.name)
        is_write = is_writing(statement, prepared)
        group = self._state.find_group(place.pool.entry.group)
        if is_write:
            group.writes += 1
        try:
            answer = await self._send(
                session, statement, place, taken, deadline
            )
            if is_write and answer.failure is None:
                answer = await self._attempts.acknowledge(group, place, answer)
                session.raise_floor(answer.position, read_clock())
        finally:
            if is_write:
                group.writes -= 1
        return answer

    async def _send(
        self,
        session: Session,
        statement: Statement,
        place: Place,
        pooled: Pooled,
        deadline: float,
    ) -> Answer:
        prepared = session.prepared.get(statement.name)
        is_write = is_writing(statement, prepared)
        is_sent = False
        is_whole = False
        try:
            name = await make_ready(pooled, session, statement, deadline)
            asked_at = read_clock()
            is_sent = True
            answer = await pooled.connection.forward(
                statement, place.position, name, find_rest(deadline)
            )
            is_whole = True
        except TargetLostError as error:
            await self._attempts.note_lost(place, error)
            if not is_sent:
                return NOT_SERVED
            lost = Failure.in_doubt if is_write else Failure.timed_out
            return fail(lost, f'{place.pool.entry.ident} gave no answer')
        finally:
            if is_whole:
                await place.pool.give_back(pooled)
            else:
                await place.pool.discard(pooled)
        self._attempts.note_answer(place, answer, asked_at)
        return answer

    def _note_retry(
        self, statement: Statement, place: Place, answer: Answer
    ) -> None:
        self._log.write(
            'retry',
            id=statement.ident,
            target=place.pool.entry.ident,
            floor=place.position,
            floor_age=read_clock() - place.floor.known_at
            if place.floor
            else 0.0,
            failure=answer.failure.name if answer.failure else '',
        )


def _may_repeat(answer: Answer, is_write: bool) -> bool:
    """Tell whether a statement may run again elsewhere."""
    if answer.failure is None:
        return False
    if answer.failure in NOT_RUN or (
        answer.failure is Failure.connection_limit
    ):
        return True
    return not is_write and answer.failure in _REPEATABLE_READS
