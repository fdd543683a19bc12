"""Run statements and transactions on an instance's own connections.

What becomes of them is returned and not raised, so that it can be handed on to
another instance as it is.
"""

import enum
from typing import Final, NamedTuple

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.positions import Position
from comfreystair.observability.decisions import DecisionLog
from comfreystair.pooling.manager import PoolManager
from comfreystair.pooling.exceptions import (
    PoolError,
    TargetLostError,
    TargetRefusedError,
)
from comfreystair.pooling.pool import Pooled, TargetPool, align, find_name
from comfreystair.sessions.statements import (
    Answer,
    Failure,
    PreparedStatement,
    Statement,
    StatementKind,
    build_failed_answer,
)

# Priority of statements that hold a transaction open.
_URGENT: Final = -1
# Pause before a statement is sent again to a full target, in seconds.
_RETRY_SECONDS: Final = 0.02
# Bound on a rollback, in seconds; a connection without its answer is closed.
_ROLLBACK_SECONDS: Final = 0.3
_LEAST_SECONDS: Final = 0.01
_UNKNOWN_TARGET: Final = 'target not known here'


class DeliveryFailure(enum.Enum):
    """Why there is no answer of the target.

    ``full``: no turn or connection in time. ``refused``: the target refused a
    connection. ``lost``: the target did not answer. ``away``: the instance
    that has the connections could not be asked, or does not help. ``silent``:
    it did not answer, as when its whole zone is cut off.
    """

    none = enum.auto()
    full = enum.auto()
    refused = enum.auto()
    lost = enum.auto()
    away = enum.auto()
    silent = enum.auto()


class StatementRequest(NamedTuple):
    """A statement with all that a connection needs to run it.

    :param values: the session's values.
    :param prepared: what the statement executes, if anything.
    :param floor: position that the log must hold.
    :param patience: seconds that waiting for a turn and running may take.
    :param seconds: bound on the whole.
    """

    statement: Statement
    organisation: str
    values: dict[str, str]
    prepared: PreparedStatement | None
    floor: Position | None
    priority: int
    max_wait_seconds: float
    timeout_seconds: float


class Outcome(NamedTuple):
    """What became of a piece of work.

    :param is_sent: the target may have got the statement.
    """

    answer: Answer
    delivery_failure: DeliveryFailure = DeliveryFailure.none
    is_sent: bool = False
    reason: str = ''


_NO_ANSWER: Final = build_failed_answer(Failure.overloaded, 'not run')


def build_failed_outcome(
    trouble: DeliveryFailure, reason: str, is_sent: bool = False
) -> Outcome:
    """Return an outcome without an answer."""
    return Outcome(_NO_ANSWER, trouble, is_sent, reason)


class _Pinned:
    """A transaction that is open on one connection."""

    def __init__(self, pool: TargetPool, pooled: Pooled) -> None:
        self.pool = pool
        self.pooled = pooled
        self.used_at = read_clock()
        self.is_busy = False
        self.is_ended = False


class LocalExecutor:
    """Work on connections that this instance holds."""

    def __init__(self, board: PoolManager, log: DecisionLog) -> None:
        """Start without open transactions."""
        self._board = board
        self._log = log
        self._pinned: dict[str, _Pinned] = {}
        self._opening: set[str] = set()
        self._running = 0
        self._asked: dict[str, float] = {}

    @property
    def active_count(self) -> int:
        """Return statements that run and transactions that are open."""
        return self._running + len(self._pinned)

    def find_last_request_time(self, target: str) -> float:
        """Return when work at a target was last asked for."""
        return self._asked.get(target, float('-inf'))

    async def run(self, target: str, work: StatementRequest) -> Outcome:
        """Run a single statement."""
        pool = self._board.find_pool(target)
        if pool is None:
            return build_failed_outcome(DeliveryFailure.away, _UNKNOWN_TARGET)
        self._asked[target] = read_clock()
        deadline = read_clock() + work.timeout_seconds
        self._running += 1
        try:
            return await _run_in_turn(pool, work, deadline)
        finally:
            self._running -= 1

    async def begin(
        self,
        target: str,
        handle: str,
        work: StatementRequest,
        is_read_only: bool,
    ) -> Outcome:
        """Open a transaction under a handle, unless it is ended meanwhile."""
        pool = self._board.find_pool(target)
        if pool is None:
            return build_failed_outcome(DeliveryFailure.away, _UNKNOWN_TARGET)
        self._asked[target] = read_clock()
        self._opening.add(handle)
        try:
            return await self._open(pool, handle, work, is_read_only)
        finally:
            self._opening.discard(handle)

    async def run_pinned(self, handle: str, work: StatementRequest) -> Outcome:
        """Run a statement of an open transaction."""
        pinned = self._pinned.get(handle)
        if pinned is None or pinned.is_busy:
            return build_failed_outcome(
                DeliveryFailure.lost, 'no such transaction'
            )
        pinned.is_busy = True
        try:
            outcome = await self._run_on(pinned, work)
        except BaseException:
            await self._discard(handle, pinned)
            raise
        pinned.is_busy = False
        pinned.used_at = read_clock()
        is_over = work.statement.kind is StatementKind.commit and (
            outcome.answer.failure is None
        )
        if (
            pinned.is_ended
            or outcome.delivery_failure is not DeliveryFailure.none
        ):
            await self._discard(handle, pinned)
        elif is_over:
            self._pinned.pop(handle, None)
            await pinned.pool.give_back(pinned.pooled)
        return outcome

    async def rollback(self, handle: str) -> None:
        """Roll a transaction back, if it is still open."""
        # One that is being opened is not kept.
        self._opening.discard(handle)
        pinned = self._pinned.get(handle)
        if pinned is None:
            return
        if pinned.is_busy:
            # Its statement still runs; the connection is closed after it.
            pinned.is_ended = True
            return
        self._pinned.pop(handle)
        try:
            await pinned.pooled.connection.rollback(_ROLLBACK_SECONDS)
        except TargetLostError as error:
            target = pinned.pool.entry.ident
            self._log.write('rollback_lost', target=target, why=error)
            await pinned.pool.discard(pinned.pooled)
        else:
            await pinned.pool.give_back(pinned.pooled)

    async def rollback_idle(self, oldest: float) -> None:
        """Roll back what no statement has used since a time."""
        for handle, pinned in list(self._pinned.items()):
            if pinned.used_at < oldest and not pinned.is_busy:
                self._log.write(
                    'transaction_left',
                    target=pinned.pool.entry.ident,
                    since=pinned.used_at,
                )
                await self.rollback(handle)

    async def _open(
        self,
        pool: TargetPool,
        handle: str,
        work: StatementRequest,
        is_read_only: bool,
    ) -> Outcome:
        deadline = read_clock() + work.timeout_seconds
        taken = await _take(pool, work, work.timeout_seconds)
        if isinstance(taken, Outcome):
            return taken
        has_begun = False
        try:
            await align(taken, work.values, find_rest(deadline))
            answer = await taken.connection.begin(
                is_read_only, work.floor, find_rest(deadline)
            )
            has_begun = answer.failure is None and handle in self._opening
        except TargetLostError as error:
            await pool.close_resting()
            return build_failed_outcome(DeliveryFailure.lost, str(error))
        finally:
            if not has_begun:
                await pool.discard(taken)
        if has_begun:
            self._pinned[handle] = _Pinned(pool, taken)
        return Outcome(answer)

    async def _run_on(self, pinned: _Pinned, work: StatementRequest) -> Outcome:
        """Send a statement, again while the target is full."""
        gate = pinned.pool.gate
        deadline = read_clock() + work.timeout_seconds
        while True:
            rest = find_rest(deadline)
            try:
                await gate.enter(work.organisation, _URGENT, rest)
            except PoolError as error:
                return build_failed_outcome(DeliveryFailure.lost, str(error))
            began_at = read_clock()
            sent = build_failed_outcome(
                DeliveryFailure.lost, 'cancelled', is_sent=True
            )
            try:
                sent = await _send(pinned.pooled, work, deadline)
            finally:
                await gate.leave('', read_clock() - began_at, _is_shed(sent))
            if not _should_resend(sent, deadline):
                return sent
            await curio.sleep(_RETRY_SECONDS)

    async def _discard(self, handle: str, pinned: _Pinned) -> None:
        self._pinned.pop(handle, None)
        await pinned.pool.discard(pinned.pooled)


async def _run_in_turn(
    pool: TargetPool, work: StatementRequest, deadline: float
) -> Outcome:
    try:
        await pool.gate.enter(
            work.organisation, work.priority, work.max_wait_seconds
        )
    except PoolError as error:
        return build_failed_outcome(DeliveryFailure.full, str(error))
    entered_at = read_clock()
    outcome = build_failed_outcome(
        DeliveryFailure.lost, 'cancelled', is_sent=True
    )
    try:
        outcome = await _run_single(pool, work, deadline)
    finally:
        passed = read_clock() - entered_at
        await pool.gate.leave(work.organisation, passed, _is_shed(outcome))
    return outcome


async def _run_single(
    pool: TargetPool, work: StatementRequest, deadline: float
) -> Outcome:
    taken = await _take(pool, work, find_rest(deadline))
    if isinstance(taken, Outcome):
        return taken
    is_whole = False
    try:
        outcome = await _send(taken, work, deadline)
        is_whole = outcome.delivery_failure is DeliveryFailure.none
    finally:
        if is_whole:
            await pool.give_back(taken)
        else:
            await pool.discard(taken)
    if not is_whole:
        await pool.close_resting()
    return outcome


async def _take(
    pool: TargetPool, work: StatementRequest, seconds: float
) -> Pooled | Outcome:
    try:
        return await pool.take(work.organisation, work.priority, seconds)
    except PoolError as error:
        return build_failed_outcome(DeliveryFailure.full, str(error))
    except TargetRefusedError as error:
        if error.failure is Failure.wrong_target:
            return build_failed_outcome(DeliveryFailure.lost, str(error))
        return build_failed_outcome(DeliveryFailure.refused, str(error))
    except TargetLostError as error:
        await pool.close_resting()
        return build_failed_outcome(DeliveryFailure.lost, str(error))


async def _send(
    pooled: Pooled, work: StatementRequest, deadline: float
) -> Outcome:
    """Bring a connection to the session's state and run the statement."""
    is_sent = False
    name = ''
    try:
        await align(pooled, work.values, find_rest(deadline))
        if work.prepared is not None:
            name = await find_name(pooled, work.prepared, find_rest(deadline))
        is_sent = True
        answer = await pooled.connection.forward(
            work.statement, work.floor, name, find_rest(deadline)
        )
    except TargetLostError as error:
        return build_failed_outcome(DeliveryFailure.lost, str(error), is_sent)
    return Outcome(answer, is_sent=True)


def _is_shed(outcome: Outcome) -> bool:
    is_answered = outcome.delivery_failure is DeliveryFailure.none
    return is_answered and outcome.answer.failure is Failure.overloaded


def _should_resend(sent: Outcome, deadline: float) -> bool:
    is_late = read_clock() + _RETRY_SECONDS >= deadline
    return _is_shed(sent) and not (sent.answer.is_aborted or is_late)


def find_rest(deadline: float) -> float:
    """Return the time that is left, in seconds; a little when there is none."""
    return max(deadline - read_clock(), _LEAST_SECONDS)
