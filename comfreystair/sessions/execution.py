"""Run single statements, and say truthfully what became of them."""

from typing import Final

from comfreystair.clocks import read_clock
from comfreystair.coordination.state import FleetState
from comfreystair.manifest.serving import Consistency, ServingRoute
from comfreystair.observability.decisions import DecisionLog
from comfreystair.pooling.local_execution import StatementRequest
from comfreystair.sessions.attempts import (
    MOST_ATTEMPTS,
    NOT_SERVED,
    RETURN_SECONDS,
    AttemptRunner,
    is_writing,
    prepare_retry,
)
from comfreystair.sessions.target_selector import Need, Place, TargetSelector
from comfreystair.sessions.session import Session
from comfreystair.sessions.statements import (
    NOT_RUN,
    Answer,
    Failure,
    Statement,
)

# Share of a read's time after which it is tried at another target.
_FIRST_SHARE: Final = 0.5
# Share of a statement's time that it may wait for its turn.
_WAIT_SHARE: Final = 0.7
_REPEATABLE_READS: Final = frozenset((Failure.timed_out, Failure.failed))


class StatementExecutor:
    """Run reads and writes outside of transactions."""

    def __init__(
        self,
        state: FleetState,
        placement: TargetSelector,
        attempts: AttemptRunner,
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
        work = build_work(session, route, organisation, statement)
        is_write = is_writing(work)
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
            tried = await self._try(session, need, work, share)
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
        self, session: Session, need: Need, work: StatementRequest, share: float
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
        seconds = remaining * share
        group = self._state.find_group(place.entry.group)
        is_write = is_writing(work)
        group.writes += is_write
        try:
            answer = await self._attempts.run(
                session,
                place,
                work._replace(
                    floor=place.position,
                    timeout_seconds=seconds,
                    max_wait_seconds=min(
                        seconds * _WAIT_SHARE, need.route.aim_seconds
                    ),
                ),
            )
        finally:
            group.writes -= is_write
        return place, answer

    def _note_retry(
        self, statement: Statement, place: Place, answer: Answer
    ) -> None:
        self._log.write(
            'retry',
            id=statement.ident,
            target=place.entry.ident,
            floor=place.position,
            floor_age=read_clock() - place.floor.known_at
            if place.floor
            else 0.0,
            failure=answer.failure.name if answer.failure else '',
        )


def build_work(
    session: Session,
    route: ServingRoute,
    organisation: str,
    statement: Statement,
) -> StatementRequest:
    """Return a statement with its session's state, for no place yet."""
    return StatementRequest(
        statement,
        organisation,
        dict(session.values),
        session.prepared.get(statement.name),
        None,
        route.priority,
        0,
        0,
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
