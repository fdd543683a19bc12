"""Run statements at targets, and say truthfully what became of them."""

from typing import Final

import curio

from comfreystair.clocks import read_clock
from comfreystair.coordination.state import FleetState, GroupState
from comfreystair.exceptions import ComfreystairError
from comfreystair.manifest.serving import Consistency, ServingRoute
from comfreystair.observability.decisions import DecisionLog
from comfreystair.pooling.board import TargetBoard
from comfreystair.pooling.exceptions import (
    PoolError,
    TargetLostError,
    TargetRefusedError,
)
from comfreystair.pooling.gates import Gate
from comfreystair.pooling.pool import Pooled, align, find_name
from comfreystair.sessions.placement import Need, Place, Placement
from comfreystair.sessions.session import Session, Transaction
from comfreystair.sessions.statements import (
    NOT_RUN,
    Answer,
    Failure,
    Prepared,
    Statement,
    StatementKind,
    fail,
)

# Kept of a statement's time for the way back to the caller, in seconds.
_RETURN_SECONDS: Final = 0.03
# Share of a read's time after which it is tried at another target.
_FIRST_SHARE: Final = 0.5
# How long a full target is left alone, in seconds.
_SHED_SECONDS: Final = 0.03
_MOST_ATTEMPTS: Final = 6
_LEAST_SECONDS: Final = 0.01
# Share of a statement's time that it may wait for its turn.
_WAIT_SHARE: Final = 0.7
# Priority of statements that hold a transaction open.
_URGENT: Final = -1
# How long an answer waits for the proof that its target was the primary, in
# seconds.
_PROOF_WAIT_SECONDS: Final = 0.8
_RETRY_SECONDS: Final = 0.02
_REPEATABLE_READS: Final = frozenset((Failure.timed_out, Failure.failed))
_RETRY_ADVICE: Final = 'not run, retry after 300 ms'


class Executor:
    """Run statements through placement, pools and connections."""

    def __init__(
        self,
        state: FleetState,
        board: TargetBoard,
        placement: Placement,
        log: DecisionLog,
    ) -> None:
        """Take the parts."""
        self._state = state
        self._board = board
        self._placement = placement
        self._log = log

    async def run_single(
        self,
        session: Session,
        route: ServingRoute,
        organisation: str,
        statement: Statement,
    ) -> Answer:
        """Run a read or write outside of a transaction."""
        now = read_clock()
        deadline = now + route.statement_seconds - _RETURN_SECONDS
        prepared = session.prepared.get(statement.name)
        is_write = is_writing(statement, prepared)
        needs_primary = is_write or route.consistency is Consistency.primary
        need = Need(
            route, organisation, needs_primary, now, session.floor, set()
        )
        answer = fail(Failure.overloaded, _RETRY_ADVICE)
        for attempt in range(_MOST_ATTEMPTS):
            place = await self._placement.find(need, deadline)
            remaining = deadline - read_clock()
            if place is None or remaining <= 0:
                break
            if not attempt and not is_write:
                remaining *= _FIRST_SHARE
            answer = await self._attempt(
                session, need, statement, place, remaining
            )
            if not _may_repeat(answer, is_write):
                break
            self._note_retry(statement, place, answer)
            if not await _prepare_retry(need, place, answer):
                break
        return answer

    async def run_in_transaction(
        self, session: Session, organisation: str, statement: Statement
    ) -> Answer:
        """Run a statement of a transaction, beginning it if need be."""
        transaction = session.transaction
        route = transaction.route
        deadline = read_clock() + route.statement_seconds - _RETURN_SECONDS
        if transaction.pooled is None:
            answer = await self._begin(session, organisation, deadline)
            if answer.failure is not None:
                return answer
        return await self._run_pinned(session, statement, deadline)

    async def end(self, transaction: Transaction) -> None:
        """Roll back at the target, if the transaction has one."""
        pooled, pool = transaction.pooled, transaction.pool
        transaction.pooled = None
        if pooled is None or pool is None:
            return
        try:
            await pooled.connection.rollback(_RETURN_SECONDS * 10)
        except TargetLostError as error:
            self._log.write('rollback_lost', target=pool.entry.ident, why=error)
            await pool.discard(pooled)
        else:
            await pool.give_back(pooled)

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
            return self._refuse_full(place, error)
        answer = fail(Failure.overloaded, _RETRY_ADVICE)
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
        taken = await self._take(
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
                answer = await self._acknowledge(group, place, answer)
                session.raise_floor(answer.position, read_clock())
        finally:
            if is_write:
                group.writes -= 1
        return answer

    async def _take(
        self,
        place: Place,
        organisation: str,
        route: ServingRoute,
        seconds: float,
    ) -> Pooled | Answer:
        ident = place.pool.entry.ident
        try:
            return await place.pool.take(organisation, route.priority, seconds)
        except PoolError as error:
            return self._refuse_full(place, error)
        except TargetRefusedError as error:
            self._log.write('target_refused', target=ident, why=error)
            if error.failure is Failure.wrong_target:
                await self._note_lost(place, error)
                return fail(Failure.overloaded, _RETRY_ADVICE)
            self._board.find_health(ident).shed(_SHED_SECONDS, read_clock())
            return fail(Failure.overloaded, _RETRY_ADVICE)
        except TargetLostError as error:
            await self._note_lost(place, error)
            return fail(Failure.overloaded, _RETRY_ADVICE)

    def _refuse_full(self, place: Place, error: PoolError) -> Answer:
        self._log.write(
            'target_full',
            target=place.pool.entry.ident,
            why=error,
            load=place.pool.gate.load,
        )
        return fail(Failure.connection_limit, _RETRY_ADVICE)

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
            name = await _ready(pooled, session, statement, deadline)
            asked_at = read_clock()
            is_sent = True
            answer = await pooled.connection.forward(
                statement, place.position, name, _find_rest(deadline)
            )
            is_whole = True
        except TargetLostError as error:
            await self._note_lost(place, error)
            if not is_sent:
                return fail(Failure.overloaded, _RETRY_ADVICE)
            lost = Failure.in_doubt if is_write else Failure.timed_out
            return fail(lost, f'{place.pool.entry.ident} gave no answer')
        finally:
            if is_whole:
                await place.pool.give_back(pooled)
            else:
                await place.pool.discard(pooled)
        self._note_answer(place, answer, asked_at)
        return answer

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
        answer = fail(Failure.overloaded, _RETRY_ADVICE)
        for _ in range(_MOST_ATTEMPTS):
            place = await self._placement.find(need, deadline)
            remaining = deadline - read_clock()
            if place is None or remaining <= 0:
                break
            answer = await self._begin_at(
                session, organisation, place, remaining
            )
            if answer.failure is None:
                break
            if not await _prepare_retry(need, place, answer):
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
        taken = await self._take(
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
                _find_rest(deadline),
            )
            has_begun = answer.failure is None
        except TargetLostError as error:
            await self._note_lost(place, error)
            return fail(Failure.overloaded, _RETRY_ADVICE)
        finally:
            if has_begun:
                transaction.pooled = taken
                transaction.pool = place.pool
            else:
                await place.pool.discard(taken)
        self._note_answer(place, answer, asked_at)
        return answer

    async def _run_pinned(
        self, session: Session, statement: Statement, deadline: float
    ) -> Answer:
        transaction = session.transaction
        pool, pooled = transaction.pool, transaction.pooled
        group = self._state.find_group(pool.entry.group)
        place = Place(pool, None, is_primary=not transaction.is_read_only)
        is_commit = statement.kind is StatementKind.commit
        is_deciding = is_commit and transaction.has_written
        if is_deciding:
            ident = pool.entry.ident
            if not group.leadership.may_acknowledge(ident, read_clock()):
                return fail(Failure.aborted, 'the primary was replaced')
            group.writes += 1
        is_whole = False
        try:
            answer = await self._send_pinned(session, statement, deadline)
            is_whole = True
            if is_deciding and answer.failure is None:
                answer = await self._acknowledge(group, place, answer)
                session.raise_floor(answer.position, read_clock())
        except TargetLostError as error:
            await self._note_lost(place, error)
            lost = Failure.in_doubt if is_deciding else Failure.aborted
            return fail(lost, f'{pool.entry.ident} gave no answer')
        finally:
            if is_deciding:
                group.writes -= 1
            if not is_whole:
                transaction.pooled = None
                await pool.discard(pooled)
        prepared = session.prepared.get(statement.name)
        if is_writing(statement, prepared):
            transaction.has_written = True
        return answer

    async def _send_pinned(
        self, session: Session, statement: Statement, deadline: float
    ) -> Answer:
        """Send a statement, again while the target is full."""
        pooled = session.transaction.pooled
        gate = session.transaction.pool.gate
        name = await _ready(pooled, session, statement, deadline)
        while True:
            await _enter_urgently(gate, pooled.organisation, deadline)
            asked_at = read_clock()
            is_shed = True
            try:
                answer = await pooled.connection.forward(
                    statement, None, name, _find_rest(deadline)
                )
                is_shed = answer.failure is Failure.overloaded
            finally:
                await gate.leave('', read_clock() - asked_at, is_shed)
            is_full = answer.failure is Failure.overloaded
            if not is_full or answer.is_aborted:
                return answer
            if read_clock() + _RETRY_SECONDS >= deadline:
                return answer
            await curio.sleep(_RETRY_SECONDS)

    async def _acknowledge(
        self, group: GroupState, place: Place, answer: Answer
    ) -> Answer:
        """Hand on a write's success only if its target surely led then."""
        ident = place.pool.entry.ident
        give_up_at = read_clock() + _PROOF_WAIT_SECONDS
        while not group.leadership.may_acknowledge(ident, read_clock()):
            record = group.leadership.record
            is_replaced = record.is_changing or record.primary != ident
            if is_replaced or read_clock() >= give_up_at:
                self._log.write(
                    'write_in_doubt',
                    target=ident,
                    primary=record.primary,
                    revision=record.revision,
                    proof_age=group.leadership.find_proof_age(read_clock()),
                )
                return fail(Failure.in_doubt, 'the primary was replaced')
            await group.wait(_RETRY_SECONDS)
        return answer

    def _note_answer(
        self, place: Place, answer: Answer, asked_at: float
    ) -> None:
        now = read_clock()
        entry = place.pool.entry
        health = self._board.find_health(entry.ident)
        group = self._state.find_group(entry.group)
        if answer.failure is Failure.overloaded:
            health.shed(_SHED_SECONDS, now)
        elif answer.failure is Failure.lagging:
            known_at = place.floor.known_at if place.floor else now
            health.lag(now - known_at, now)
        else:
            health.succeed(now - asked_at, answer.position, now)
        leadership = group.leadership
        if not place.is_primary or entry.ident != leadership.record.primary:
            return
        if answer.failure is Failure.read_only:
            group.miss(now)
            health.shed(_SHED_SECONDS * 3, now)
            return
        group.hear(now)
        if answer.position and leadership.may_acknowledge(entry.ident, now):
            leadership.add_sample(asked_at, answer.position)

    async def _note_lost(self, place: Place, error: ComfreystairError) -> None:
        now = read_clock()
        entry = place.pool.entry
        health = self._board.find_health(entry.ident)
        health.fail(now)
        self._log.write(
            'target_lost',
            target=entry.ident,
            step=error.step,
            why=error,
            failures=health.failures,
        )
        group = self._state.find_group(entry.group)
        if entry.ident == group.leadership.record.primary:
            group.miss(now)
        await place.pool.close_resting()

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


def is_writing(statement: Statement, prepared: Prepared | None) -> bool:
    """Tell whether a statement may change something."""
    if statement.kind is StatementKind.execute:
        return prepared is not None and prepared.is_writing
    return statement.kind is StatementKind.write


def _may_repeat(answer: Answer, is_write: bool) -> bool:
    """Tell whether a statement may run again elsewhere."""
    if answer.failure is None:
        return False
    if answer.failure in NOT_RUN or (
        answer.failure is Failure.connection_limit
    ):
        return True
    return not is_write and answer.failure in _REPEATABLE_READS


def _find_rest(deadline: float) -> float:
    """Return the time that is left, in seconds; a little when there is none."""
    return max(deadline - read_clock(), _LEAST_SECONDS)


async def _enter_urgently(gate: Gate, name: str, deadline: float) -> None:
    """Wait for a turn ahead of requests that hold no connection.

    :raises TargetLostError: when there was none in time.
    """
    patience = _find_rest(deadline)
    try:
        await gate.enter(name, _URGENT, patience)
    except PoolError as error:
        raise TargetLostError(str(error), error.step, error.peer) from error


async def _prepare_retry(need: Need, place: Place, answer: Answer) -> bool:
    """Keep off a place that failed; tell whether another may do."""
    if not place.is_primary:
        need.tried.add(place.pool.entry.ident)
        return True
    if answer.failure is Failure.connection_limit:
        return False
    await curio.sleep(_RETRY_SECONDS)
    return True


async def _ready(
    pooled: Pooled, session: Session, statement: Statement, deadline: float
) -> str:
    """Bring a connection to the session's state.

    :returns: what a prepared statement is called there, empty for others.
    """
    seconds = _find_rest(deadline)
    await align(pooled, session.values, seconds)
    if statement.kind is not StatementKind.execute:
        return ''
    prepared = session.prepared[statement.name]
    return await find_name(pooled, prepared, seconds)
