"""Run statements and transactions on this instance's own connections.

Failures are returned as outcomes and not raised, so that an outcome can be
sent to another instance as it is.
"""

import enum
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.positions import Position
from comfreystair.controllers.scheduling.admission import (
    AdmissionTerms,
    Ending,
)
from comfreystair.controllers.scheduling.minimum_share import Level
from comfreystair.manifest.serving import DEFAULT_PRIORITY
from comfreystair.observability.decisions import DecisionLog
from comfreystair.pooling.exceptions import (
    AdmissionError,
    ConnectionUnavailableError,
    PoolError,
    TargetLostError,
    TargetRefusedError,
)
from comfreystair.pooling.manager import PoolManager
from comfreystair.pooling.pool import (
    PooledConnection,
    TargetPool,
    apply_session_values,
    ensure_prepared,
)
from comfreystair.pooling.tokens import (
    Permit,
    RenewPermit,
    TokenRequest,
    permit_always,
)
from comfreystair.sessions.statements import (
    Answer,
    Failure,
    PreparedStatement,
    Statement,
    StatementKind,
    build_failed_answer,
    build_retry_answer,
)

# Priority of statements in an open transaction, ahead of all others.
_TRANSACTION_PRIORITY: Final = -1
# Delay before a statement is sent again to an overloaded target, in seconds.
_RESEND_DELAY_SECONDS: Final = 0.02
# Bound on a rollback, in seconds; without an answer the connection is closed.
_ROLLBACK_TIMEOUT_SECONDS: Final = 0.3
_MIN_TIMEOUT_SECONDS: Final = 0.01
# Share of a request's time that it may wait for a cold target's token. The rest
# is for running it.
_MAX_TOKEN_WAIT_SHARE: Final = 0.5
_UNKNOWN_TARGET: Final = 'target is unknown to this instance'
_EVACUATED: Final = 'zone of the target is evacuated'


class DeliveryFailure(enum.Enum):
    """Why the target gave no answer.

    ``full``: no concurrency slot, connection or token was free in time; with a
    token missing, the answer says when to retry. ``refused``:
    the target refused a connection. ``lost``: the target did not answer,
    rejected the connection as meant for another target, or the transaction
    can't continue. ``away``: the gateway, the instance that has the
    connections, could not be reached or does not serve the target.
    ``silent``: the gateway did not answer, as when its whole availability zone
    is cut off.
    """

    none = enum.auto()
    full = enum.auto()
    refused = enum.auto()
    lost = enum.auto()
    away = enum.auto()
    silent = enum.auto()


class StatementRequest(NamedTuple):
    """A statement with the session state that a connection needs to run it.

    :param values: the session's values, by name.
    :param prepared: the prepared statement that it executes, if any.
    :param floor: log position that the target must have applied, if any.
    :param priority: lower values run first.
    :param max_wait_seconds: bound on the wait for a concurrency slot; a
        request whose estimated wait and run time exceed it is refused.
    :param timeout_seconds: bound on the whole request.
    :param organisation_priority: second to the priority.
    :param aim_at: end of the latency objective, by the clock of this instance;
        absent if the request came from a build that does not send it.
    :param aim_seconds: the whole latency objective.
    """

    statement: Statement
    organisation: str
    values: dict[str, str]
    prepared: PreparedStatement | None
    floor: Position | None
    priority: int
    max_wait_seconds: float
    timeout_seconds: float
    organisation_priority: int = DEFAULT_PRIORITY
    aim_at: float | None = None
    aim_seconds: float = 0


class Outcome(NamedTuple):
    """The result of a request: the target's answer, or why there is none.

    :param is_sent: the target may have received the statement.
    :param reason: text for the log when there is no answer.
    :param retry_seconds: after which a request that admission control rejected
        should come back; 0 for all others.
    """

    answer: Answer
    delivery_failure: DeliveryFailure = DeliveryFailure.none
    is_sent: bool = False
    reason: str = ''
    retry_seconds: float = 0


# Obtains permission to send a request; returns the outcome if there is none.
_Admit = Callable[[], Awaitable[Outcome | None]]
# The target accepts statements on the connection, or has not been asked.
_KEPT: Final = frozenset((DeliveryFailure.none, DeliveryFailure.full))
_NO_ANSWER: Final = build_failed_answer(Failure.overloaded, 'not run')


def build_failed_outcome(
    failure: DeliveryFailure, reason: str, is_sent: bool = False
) -> Outcome:
    """Return the outcome of a request that got no answer."""
    return Outcome(_NO_ANSWER, failure, is_sent, reason)


class _OpenTransaction:
    """An open transaction with the connection that it is pinned to."""

    def __init__(self, pool: TargetPool, pooled: PooledConnection) -> None:
        self.pool = pool
        self.pooled = pooled
        self.used_at = read_clock()
        self.is_busy = False
        self.is_rollback_requested = False


class LocalExecutor:
    """Runs requests on connections that this instance holds."""

    def __init__(
        self,
        pools: PoolManager,
        log: DecisionLog,
        renew_permit: RenewPermit = permit_always,
    ) -> None:
        """Initialize with no open transaction.

        :param pools: connection pools of the targets.
        :param renew_permit: permits begins and statements to be sent.
        """
        self._pools = pools
        self._log = log
        self._renew_permit = renew_permit
        self._transactions: dict[str, _OpenTransaction] = {}
        self._opening: set[str] = set()
        self._running = 0
        self._last_request_times: dict[str, float] = {}

    @property
    def active_count(self) -> int:
        """Return how many transactions are open or other statements run."""
        return self._running + len(self._transactions)

    def find_last_request_time(self, target: str) -> float:
        """Return when a request for a target last came, by the monotonic clock.

        Minus infinity if none has come. Later statements of a transaction
        don't count.
        """
        return self._last_request_times.get(target, float('-inf'))

    async def run(self, target: str, request: StatementRequest) -> Outcome:
        """Run a statement outside of transactions."""
        pool = self._pools.find_pool(target)
        if pool is None:
            return build_failed_outcome(DeliveryFailure.away, _UNKNOWN_TARGET)
        self._last_request_times[target] = read_clock()
        deadline = read_clock() + request.timeout_seconds
        self._running += 1
        try:
            admit = self._build_admission(pool, request, deadline)
            return await _run_with_semaphore(pool, request, deadline, admit)
        finally:
            self._running -= 1

    async def begin(
        self,
        target: str,
        handle: str,
        request: StatementRequest,
        is_read_only: bool,
    ) -> Outcome:
        """Begin a transaction under a handle.

        It is discarded if it is rolled back before it has begun.

        :param handle: id by which later calls refer to the transaction.
        """
        pool = self._pools.find_pool(target)
        if pool is None:
            return build_failed_outcome(DeliveryFailure.away, _UNKNOWN_TARGET)
        self._last_request_times[target] = read_clock()
        self._opening.add(handle)
        try:
            return await self._open_in_order(
                pool, handle, request, is_read_only
            )
        finally:
            self._opening.discard(handle)

    async def run_pinned(
        self, handle: str, request: StatementRequest
    ) -> Outcome:
        """Run a statement of an open transaction.

        A commit that succeeds releases the connection; a delivery failure
        closes it.
        """
        transaction = self._transactions.get(handle)
        if transaction is None or transaction.is_busy:
            return build_failed_outcome(
                DeliveryFailure.lost, 'transaction is unknown or busy'
            )
        transaction.is_busy = True
        try:
            outcome = await self._run_in_transaction(transaction, request)
        except BaseException:
            await self._discard_transaction(handle, transaction)
            raise
        transaction.is_busy = False
        transaction.used_at = read_clock()
        is_committed = request.statement.kind is StatementKind.commit and (
            outcome.answer.failure is None
        )
        if (
            transaction.is_rollback_requested
            or outcome.delivery_failure is not DeliveryFailure.none
        ):
            await self._discard_transaction(handle, transaction)
        elif is_committed:
            self._transactions.pop(handle, None)
            await transaction.pool.release(transaction.pooled)
        return outcome

    async def rollback(self, handle: str) -> None:
        """Roll a transaction back, if it is still open."""
        # A transaction that is still being opened is then not kept.
        self._opening.discard(handle)
        transaction = self._transactions.get(handle)
        if transaction is None:
            return
        if transaction.is_busy:
            # run_pinned() closes the connection after the running statement.
            transaction.is_rollback_requested = True
            return
        if not transaction.pool.may_send:
            # The target rolls back when the connection is closed.
            await self._discard_transaction(handle, transaction)
            return
        self._transactions.pop(handle)
        try:
            await transaction.pooled.connection.rollback(
                _ROLLBACK_TIMEOUT_SECONDS
            )
        except TargetLostError as error:
            target = transaction.pool.entry.ident
            self._log.write('rollback_lost', target=target, why=error)
            await transaction.pool.discard(transaction.pooled)
        else:
            await transaction.pool.release(transaction.pooled)

    async def rollback_idle(self, last_used_before: float) -> None:
        """Roll back transactions without a statement since a time.

        :param last_used_before: reading of the monotonic clock, in seconds.
        """
        for handle, transaction in list(self._transactions.items()):
            if (
                transaction.used_at < last_used_before
                and not transaction.is_busy
            ):
                self._log.write(
                    'transaction_left',
                    target=transaction.pool.entry.ident,
                    since=transaction.used_at,
                )
                await self.rollback(handle)

    async def abort_disallowed(self) -> None:
        """Abort transactions at targets to which nothing may be sent any more.

        A statement that is running is left to end.
        """
        for handle, transaction in list(self._transactions.items()):
            if not transaction.is_busy and not transaction.pool.may_send:
                target = transaction.pool.entry.ident
                self._log.write(
                    'transaction_aborted', target=target, why=_EVACUATED
                )
                await self._discard_transaction(handle, transaction)

    async def _open_in_order(
        self,
        pool: TargetPool,
        handle: str,
        request: StatementRequest,
        is_read_only: bool,
    ) -> Outcome:
        """Open a transaction, with a slot if transactions are admitted too."""
        if not pool.semaphore.admits_transactions:
            return await self._open_transaction(
                pool, handle, request, is_read_only
            )

        deadline = read_clock() + request.timeout_seconds

        async def open_transaction() -> Outcome:
            remaining = request._replace(
                timeout_seconds=find_remaining_seconds(deadline)
            )
            return await self._open_transaction(
                pool, handle, remaining, is_read_only
            )

        return await _run_with_slot(pool, request, open_transaction)

    async def _open_transaction(
        self,
        pool: TargetPool,
        handle: str,
        request: StatementRequest,
        is_read_only: bool,
    ) -> Outcome:
        deadline = read_clock() + request.timeout_seconds
        admit = self._build_admission(pool, request, deadline)
        acquired = await admit() or await _acquire_connection(
            pool, request, find_remaining_seconds(deadline)
        )
        if isinstance(acquired, Outcome):
            return acquired
        is_kept = False
        try:
            await apply_session_values(
                acquired, request.values, find_remaining_seconds(deadline)
            )
            rejection = await admit()
            if rejection is not None:
                return rejection
            answer = await acquired.connection.begin(
                is_read_only, request.floor, find_remaining_seconds(deadline)
            )
            is_kept = answer.failure is None and handle in self._opening
        except TargetLostError as error:
            await pool.close_idle()
            return build_failed_outcome(DeliveryFailure.lost, str(error))
        finally:
            if not is_kept:
                await pool.discard(acquired)
        if is_kept:
            self._transactions[handle] = _OpenTransaction(pool, acquired)
        return Outcome(answer)

    async def _run_in_transaction(
        self, transaction: _OpenTransaction, request: StatementRequest
    ) -> Outcome:
        """Run a transaction's statement, resending it after overload.

        The concurrency slot is released between two attempts.
        """
        semaphore = transaction.pool.semaphore
        deadline = read_clock() + request.timeout_seconds
        terms = _build_terms(request)._replace(is_pinned=True)
        while True:
            admit = self._build_admission(
                transaction.pool, request, deadline, is_pinned=True
            )
            rejection = await admit()
            if rejection is not None:
                return rejection
            remaining = find_remaining_seconds(deadline)
            try:
                await semaphore.acquire(
                    request.organisation,
                    _TRANSACTION_PRIORITY,
                    remaining,
                    terms,
                )
            except PoolError as error:
                return build_failed_outcome(DeliveryFailure.lost, str(error))
            began_at = read_clock()
            outcome = build_failed_outcome(
                DeliveryFailure.lost, 'cancelled', is_sent=True
            )
            try:
                outcome = await _send(
                    transaction.pooled, request, deadline, admit
                )
            finally:
                # The transaction keeps its connection, so none becomes free.
                await semaphore.release(
                    '',
                    read_clock() - began_at,
                    _find_ending(outcome) is Ending.rejected,
                    terms,
                    _find_ending(outcome),
                )
            if not _should_resend(outcome, deadline):
                return outcome
            await curio.sleep(_RESEND_DELAY_SECONDS)

    def _build_admission(
        self,
        pool: TargetPool,
        request: StatementRequest,
        deadline: float,
        is_pinned: bool = False,
    ) -> _Admit:
        """Return a function that obtains permission to send a request once.

        It is called first of all, so that a request without a token takes no
        slot and opens no connection, and again just before the request is
        sent. The second call does nothing while the first one's token is valid.

        :param is_pinned: the request is a statement of an open transaction.
        """
        wanted = TokenRequest(
            pool.entry.ident,
            is_pinned or request.floor is None,
            _TRANSACTION_PRIORITY if is_pinned else request.priority,
            0,
        )
        permit = Permit(is_given=False)

        async def admit() -> Outcome | None:
            nonlocal permit
            seconds = find_remaining_seconds(deadline) * _MAX_TOKEN_WAIT_SHARE
            permit = await self._renew_permit(
                wanted._replace(seconds=seconds), permit
            )
            if not pool.may_send:
                return build_failed_outcome(DeliveryFailure.full, _EVACUATED)
            return None if permit.is_given else _build_rejection(permit)

        return admit

    async def _discard_transaction(
        self, handle: str, transaction: _OpenTransaction
    ) -> None:
        self._transactions.pop(handle, None)
        await transaction.pool.discard(transaction.pooled)


async def _run_with_semaphore(
    pool: TargetPool, request: StatementRequest, deadline: float, admit: _Admit
) -> Outcome:
    async def run() -> Outcome:
        return await _run_with_connection(pool, request, deadline, admit)

    rejection = await admit()
    if rejection is not None:
        return rejection
    return await _run_with_slot(pool, request, run)


async def _run_with_slot(
    pool: TargetPool,
    request: StatementRequest,
    run: Callable[[], Awaitable[Outcome]],
) -> Outcome:
    terms = _build_terms(request)
    try:
        pool.raise_if_unavailable(request.organisation)
        await pool.semaphore.acquire(
            request.organisation,
            request.priority,
            request.max_wait_seconds,
            terms,
        )
    except PoolError as error:
        return _build_full_outcome(error)
    acquired_at = read_clock()
    outcome = build_failed_outcome(
        DeliveryFailure.lost, 'cancelled', is_sent=True
    )
    try:
        outcome = await run()
    finally:
        elapsed = read_clock() - acquired_at
        await pool.semaphore.release(
            request.organisation,
            elapsed,
            _find_ending(outcome) is Ending.rejected,
            terms,
            _find_ending(outcome),
        )
    return outcome


async def _run_with_connection(
    pool: TargetPool, request: StatementRequest, deadline: float, admit: _Admit
) -> Outcome:
    acquired = await _acquire_connection(
        pool, request, find_remaining_seconds(deadline)
    )
    if isinstance(acquired, Outcome):
        return acquired
    is_kept = False
    try:
        outcome = await _send(acquired, request, deadline, admit)
        is_kept = outcome.delivery_failure in _KEPT
    finally:
        if is_kept:
            await pool.release(acquired)
        else:
            await pool.discard(acquired)
    if not is_kept:
        await pool.close_idle()
    return outcome


async def _acquire_connection(
    pool: TargetPool, request: StatementRequest, seconds: float
) -> PooledConnection | Outcome:
    terms = _build_terms(request)
    try:
        return await pool.acquire(
            request.organisation,
            request.priority,
            seconds,
            pool.semaphore.bound_connection_wait(terms),
        )
    except PoolError as error:
        return _build_full_outcome(
            pool.semaphore.reject_unconnected(terms, error)
        )
    except TargetRefusedError as error:
        if error.failure is Failure.wrong_target:
            return build_failed_outcome(DeliveryFailure.lost, str(error))
        return build_failed_outcome(DeliveryFailure.refused, str(error))
    except TargetLostError as error:
        await pool.close_idle()
        return build_failed_outcome(DeliveryFailure.lost, str(error))


def _build_full_outcome(error: PoolError) -> Outcome:
    """Return the outcome of a request that got no slot or connection.

    Its answer tells when to come back, if the pool does.
    """
    outcome = build_failed_outcome(DeliveryFailure.full, str(error))
    if isinstance(error, AdmissionError):
        return outcome._replace(retry_seconds=error.retry_seconds)
    if not isinstance(error, ConnectionUnavailableError):
        return outcome
    answer = build_retry_answer('not run', error.retry_seconds)
    return outcome._replace(
        answer=answer._replace(failure=Failure.connection_limit)
    )


async def _send(
    pooled: PooledConnection,
    request: StatementRequest,
    deadline: float,
    admit: _Admit,
) -> Outcome:
    """Set a connection up for the session and run the statement."""
    is_sent = False
    try:
        name = await _set_up(pooled, request, deadline)
        rejection = await admit()
        if rejection is not None:
            return rejection
        is_sent = True
        answer = await pooled.connection.forward(
            request.statement,
            request.floor,
            name,
            find_remaining_seconds(deadline),
        )
    except TargetLostError as error:
        return build_failed_outcome(DeliveryFailure.lost, str(error), is_sent)
    return Outcome(answer, is_sent=True)


def _build_terms(request: StatementRequest) -> AdmissionTerms:
    """Return what the admission of a request that has just come depends on.

    Without an end of its latency objective it has the whole of it, as far as
    the bound on its wait tells.
    """
    now = read_clock()
    aim_seconds = (
        request.aim_seconds
        or request.max_wait_seconds
        or request.timeout_seconds
    )
    aim_at = now + aim_seconds if request.aim_at is None else request.aim_at
    return AdmissionTerms(
        request.organisation,
        Level(request.priority, request.organisation_priority),
        aim_at,
        aim_seconds,
        now + request.timeout_seconds,
    )


def _find_ending(outcome: Outcome) -> Ending:
    """Return how the use of a slot ended."""
    if outcome.delivery_failure is DeliveryFailure.none:
        is_rejected = outcome.answer.failure is Failure.overloaded
        return Ending.rejected if is_rejected else Ending.answered
    return Ending.lost if outcome.is_sent else Ending.unsent


async def _set_up(
    pooled: PooledConnection, request: StatementRequest, deadline: float
) -> str:
    """Apply the session's state to a connection.

    :returns: name of the prepared statement that the request executes, empty
        for none.
    :raises TargetLostError: the target did not confirm it.
    """
    await apply_session_values(
        pooled, request.values, find_remaining_seconds(deadline)
    )
    if request.prepared is None:
        return ''
    return await ensure_prepared(
        pooled, request.prepared, find_remaining_seconds(deadline)
    )


def _build_rejection(permit: Permit) -> Outcome:
    """Return the outcome of a request that has no token of a cold target.

    :param permit: tells when a token may be there.
    """
    answer = build_retry_answer('not run', permit.retry_seconds)
    return Outcome(
        answer._replace(failure=Failure.connection_limit),
        DeliveryFailure.full,
        reason='no token of a cold target',
    )


def _should_resend(outcome: Outcome, deadline: float) -> bool:
    """Tell whether a rejected statement may still run in its transaction."""
    is_late = read_clock() + _RESEND_DELAY_SECONDS >= deadline
    return _find_ending(outcome) is Ending.rejected and not (
        outcome.answer.is_aborted or is_late
    )


def find_remaining_seconds(deadline: float) -> float:
    """Return the time until a deadline, in seconds.

    At least ``_MIN_TIMEOUT_SECONDS``, so that it can serve as a timeout.
    """
    return max(deadline - read_clock(), _MIN_TIMEOUT_SECONDS)
