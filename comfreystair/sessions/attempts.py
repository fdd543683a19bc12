"""What every attempt at a target does, and learns from its answer."""

from typing import Final

import curio

from comfreystair.clocks import read_clock
from comfreystair.coordination.state import FleetState, GroupState
from comfreystair.gateways import Pinned, Relay
from comfreystair.observability.decisions import DecisionLog
from comfreystair.pooling.manager import PoolManager
from comfreystair.pooling.local_execution import (
    Outcome,
    DeliveryFailure,
    StatementRequest,
)
from comfreystair.sessions.target_selector import Need, Place
from comfreystair.sessions.session import Session
from comfreystair.sessions.statements import (
    Answer,
    Failure,
    StatementKind,
    build_failed_answer,
)

# Kept of a statement's time for the way back to the caller, in seconds.
RETURN_SECONDS: Final = 0.03
# Pause before a statement is tried again at the same target, in seconds.
RETRY_SECONDS: Final = 0.02
MOST_ATTEMPTS: Final = 6
NOT_SERVED: Final = build_failed_answer(
    Failure.overloaded, 'not run, retry after 300 ms'
)
_NO_GATEWAY: Final = build_failed_answer(
    Failure.overloaded, 'gateway away, not run, retry after 300 ms'
)
# How long a full target is left alone, in seconds.
_SHED_SECONDS: Final = 0.03
# The same for a target that says it is no primary, in seconds.
_DEPOSED_SECONDS: Final = 0.09
# How long an answer waits for the proof that its target was the primary, in
# seconds.
_PROOF_WAIT_SECONDS: Final = 0.8


class AttemptRunner:
    """Work at targets, and what its outcomes change."""

    def __init__(
        self,
        state: FleetState,
        board: PoolManager,
        relay: Relay,
        log: DecisionLog,
    ) -> None:
        """Take the parts."""
        self._state = state
        self._relay = relay
        self._board = board
        self._log = log

    async def run(
        self, session: Session, place: Place, work: StatementRequest
    ) -> Answer:
        """Run a single statement at a place and learn from what happens."""
        ident = place.entry.ident
        asked_at = read_clock()
        self._board.count_start(ident)
        try:
            outcome = await self._relay.run(place.entry, work)
        finally:
            self._board.count_end(ident)
        is_write = is_writing(work)
        lost = Failure.in_doubt if is_write else Failure.timed_out
        answer = self.read(place, outcome, asked_at, lost)
        if is_write and answer.failure is None:
            group = self._state.find_group(place.entry.group)
            answer = await self.acknowledge(group, place, answer)
            session.raise_floor(answer.position, read_clock())
        return answer

    async def begin(
        self, place: Place, work: StatementRequest, is_read_only: bool
    ) -> tuple[Answer, Pinned]:
        """Open a transaction at a place."""
        asked_at = read_clock()
        outcome, pinned = await self._relay.begin(
            place.entry, work, is_read_only
        )
        # A transaction whose begin was lost keeps nothing.
        unsent = outcome._replace(is_sent=False)
        return self.read(place, unsent, asked_at, Failure.aborted), pinned

    def read(
        self, place: Place, outcome: Outcome, asked_at: float, lost: Failure
    ) -> Answer:
        """Return the answer that an outcome gives, and learn from it.

        :param lost: what a missing answer to a sent statement means.
        """
        trouble = outcome.delivery_failure
        ident = place.entry.ident
        if trouble is DeliveryFailure.none:
            self._note_answer(place, outcome.answer, asked_at)
            return outcome.answer
        if trouble is DeliveryFailure.full:
            self._log.write('target_full', target=ident, why=outcome.reason)
            return NOT_SERVED._replace(failure=Failure.connection_limit)
        if trouble is DeliveryFailure.refused:
            self._log.write('target_refused', target=ident, why=outcome.reason)
            self._board.find_health(ident).shed(_SHED_SECONDS, read_clock())
        elif trouble is DeliveryFailure.lost:
            self.note_lost(place, outcome.reason)
        elif place.is_primary:
            self._state.find_group(place.entry.group).miss(read_clock())
        if outcome.is_sent:
            return build_failed_answer(lost, f'{ident} gave no answer')
        return _NO_GATEWAY if trouble is DeliveryFailure.away else NOT_SERVED

    async def acknowledge(
        self, group: GroupState, place: Place, answer: Answer
    ) -> Answer:
        """Hand on a write's success only if its target surely led then."""
        ident = place.entry.ident
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
                return build_failed_answer(
                    Failure.in_doubt, 'the primary was replaced'
                )
            await group.wait(RETRY_SECONDS)
        return answer

    def note_lost(self, place: Place, reason: str) -> None:
        """Take in that a target did not answer."""
        now = read_clock()
        entry = place.entry
        health = self._board.find_health(entry.ident)
        health.fail(now)
        self._log.write(
            'target_lost',
            target=entry.ident,
            why=reason,
            failures=health.failures,
        )
        group = self._state.find_group(entry.group)
        if entry.ident == group.leadership.record.primary:
            group.miss(now)

    def _note_answer(
        self, place: Place, answer: Answer, asked_at: float
    ) -> None:
        now = read_clock()
        entry = place.entry
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


def is_writing(work: StatementRequest) -> bool:
    """Tell whether a statement may change something."""
    if work.prepared is not None:
        return work.prepared.is_writing
    return work.statement.kind is StatementKind.write


async def prepare_retry(need: Need, place: Place, answer: Answer) -> bool:
    """Keep off a place that failed; tell whether another may do."""
    if answer is _NO_GATEWAY:
        # The next gateway of the same target may do.
        return True
    if not place.is_primary:
        need.tried.add(place.entry.ident)
        return True
    if answer.failure is Failure.connection_limit:
        return False
    await curio.sleep(RETRY_SECONDS)
    return True
