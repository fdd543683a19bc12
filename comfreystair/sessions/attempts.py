"""What every attempt at a target does, and learns from its answer."""

from typing import Final

import curio

from comfreystair.clocks import read_clock
from comfreystair.coordination.state import FleetState, GroupState
from comfreystair.exceptions import ComfreystairError
from comfreystair.manifest.serving import ServingRoute
from comfreystair.observability.decisions import DecisionLog
from comfreystair.pooling.board import TargetBoard
from comfreystair.pooling.exceptions import (
    PoolError,
    TargetLostError,
    TargetRefusedError,
)
from comfreystair.pooling.pool import Pooled, align, find_name
from comfreystair.sessions.placement import Need, Place
from comfreystair.sessions.session import Session
from comfreystair.sessions.statements import (
    Answer,
    Failure,
    Prepared,
    Statement,
    StatementKind,
    fail,
)

# Kept of a statement's time for the way back to the caller, in seconds.
RETURN_SECONDS: Final = 0.03
# Pause before a statement is tried again at the same target, in seconds.
RETRY_SECONDS: Final = 0.02
MOST_ATTEMPTS: Final = 6
NOT_SERVED: Final = fail(Failure.overloaded, 'not run, retry after 300 ms')
_LEAST_SECONDS: Final = 0.01
# How long a full target is left alone, in seconds.
_SHED_SECONDS: Final = 0.03
# The same for a target that says it is no primary, in seconds.
_DEPOSED_SECONDS: Final = 0.09
# How long an answer waits for the proof that its target was the primary, in
# seconds.
_PROOF_WAIT_SECONDS: Final = 0.8


class Attempts:
    """Connections for attempts, and what their outcomes change."""

    def __init__(
        self, state: FleetState, board: TargetBoard, log: DecisionLog
    ) -> None:
        """Take the parts."""
        self._state = state
        self._board = board
        self._log = log

    async def take(
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
            return self.refuse_full(place, error)
        except TargetRefusedError as error:
            self._log.write('target_refused', target=ident, why=error)
            if error.failure is Failure.wrong_target:
                await self.note_lost(place, error)
                return NOT_SERVED
            self._board.find_health(ident).shed(_SHED_SECONDS, read_clock())
            return NOT_SERVED
        except TargetLostError as error:
            await self.note_lost(place, error)
            return NOT_SERVED

    def refuse_full(self, place: Place, error: PoolError) -> Answer:
        self._log.write(
            'target_full',
            target=place.pool.entry.ident,
            why=error,
            load=place.pool.gate.load,
        )
        return NOT_SERVED._replace(failure=Failure.connection_limit)

    async def acknowledge(
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
            await group.wait(RETRY_SECONDS)
        return answer

    def note_answer(
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
            health.shed(_DEPOSED_SECONDS, now)
            return
        group.hear(now)
        if answer.position and leadership.may_acknowledge(entry.ident, now):
            leadership.add_sample(asked_at, answer.position)

    async def note_lost(self, place: Place, error: ComfreystairError) -> None:
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


def is_writing(statement: Statement, prepared: Prepared | None) -> bool:
    """Tell whether a statement may change something."""
    if statement.kind is StatementKind.execute:
        return prepared is not None and prepared.is_writing
    return statement.kind is StatementKind.write


def find_rest(deadline: float) -> float:
    """Return the time that is left, in seconds; a little when there is none."""
    return max(deadline - read_clock(), _LEAST_SECONDS)


async def prepare_retry(need: Need, place: Place, answer: Answer) -> bool:
    """Keep off a place that failed; tell whether another may do."""
    if not place.is_primary:
        need.tried.add(place.pool.entry.ident)
        return True
    if answer.failure is Failure.connection_limit:
        return False
    await curio.sleep(RETRY_SECONDS)
    return True


async def make_ready(
    pooled: Pooled, session: Session, statement: Statement, deadline: float
) -> str:
    """Bring a connection to the session's state.

    :returns: what a prepared statement is called there, empty for others.
    """
    seconds = find_rest(deadline)
    await align(pooled, session.values, seconds)
    if statement.kind is not StatementKind.execute:
        return ''
    prepared = session.prepared[statement.name]
    return await find_name(pooled, prepared, seconds)
