"""Manage sessions and run their statements.

A statement passes the access check and the rate limit before it runs.
"""

from collections.abc import Awaitable, Callable
from typing import Final

import curio

from comfreystair.clocks import read_clock
from comfreystair.coordination.rate_limiter import RateLimiter
from comfreystair.coordination.state import FleetState
from comfreystair.manifest.serving import (
    PUBLIC_CLIENT,
    ServingPlan,
    ServingRoute,
)
from comfreystair.observability.counters import Counters
from comfreystair.observability.decisions import DecisionLog
from comfreystair.sessions.execution import StatementExecutor
from comfreystair.sessions.session import Session, Transaction
from comfreystair.sessions.statements import (
    DONE,
    Answer,
    Failure,
    PreparedStatement,
    SessionPhase,
    Statement,
    StatementKind,
    build_failed_answer,
    build_retry_answer,
)
from comfreystair.sessions.transactions import TransactionManager
from comfreystair.tasks import contain_errors

# One success in this many is logged.
_SUCCESSES_PER_LOG_LINE: Final = 50
# How long an unknown database or key waits for a newer plan, in seconds.
_PLAN_WAIT_SECONDS: Final = 1.5
# Maximum age of a plan that may refuse a database or key, in seconds.
_REFUSAL_AGE_SECONDS: Final = 1.5
_PLAN_POLL_SECONDS: Final = 0.05
# Interval of the check for idle transactions, in seconds.
_IDLE_CHECK_SECONDS: Final = 0.5
# Safety margin on the time within which a revoked key must stop working, in
# seconds.
_KEY_REVOCATION_MARGIN_SECONDS: Final = 0.3
_DATA_KINDS: Final = frozenset(
    (StatementKind.read, StatementKind.write, StatementKind.execute)
)
_BEGIN_KINDS: Final = frozenset((StatementKind.begin, StatementKind.begin_read))
_NO_ROUTE: Final = build_failed_answer(
    Failure.unknown_database, 'no route has this name'
)
_END_KINDS: Final = frozenset((StatementKind.commit, StatementKind.rollback))


class SessionManager:
    """Opens, serves and closes the sessions of this instance."""

    def __init__(
        self,
        state: FleetState,
        rate_limiter: RateLimiter,
        executor: StatementExecutor,
        transactions: TransactionManager,
        refresh_proofs: Callable[[], Awaitable[None]],
        key_seconds: float,
        counters: Counters,
        log: DecisionLog,
    ) -> None:
        """Initialize without sessions.

        :param rate_limiter: limits the requests of each organisation.
        :param executor: runs statements outside of transactions.
        :param transactions: runs statements of open transactions.
        :param refresh_proofs: requests a new proof of the plan at once.
        :param key_seconds: time within which a revoked key must stop working.
        """
        self._state = state
        self._rate_limiter = rate_limiter
        self._executor = executor
        self._transactions = transactions
        self._refresh_proofs = refresh_proofs
        self._max_plan_age = key_seconds - _KEY_REVOCATION_MARGIN_SECONDS
        self._counters = counters
        self._log = log
        self._sessions: set[Session] = set()
        self._transaction_deadline = float('inf')
        self._successes = 0

    @property
    def sessions(self) -> set[Session]:
        """Return the open sessions."""
        return self._sessions

    @property
    def is_ready(self) -> bool:
        """Tell whether new callers should connect to this instance.

        Not while it drains, nor while its plan is too old to accept keys.
        """
        age = self._state.find_plan_age(read_clock())
        return not self._state.is_draining and age < self._max_plan_age

    def start_draining(self, transaction_seconds: float) -> None:
        """Begin draining; :meth:`should_close` tells which sessions to close.

        :param transaction_seconds: how long open transactions may continue.
        """
        self._state.is_draining = True
        self._transaction_deadline = read_clock() + transaction_seconds

    def should_close(self, session: Session) -> bool:
        """Tell whether to close a session that runs no request.

        While the instance drains, a session without a transaction closes at
        once, and one with a transaction when the time for open transactions
        is over.
        """
        if not self._state.is_draining:
            return False
        is_idle = session.phase is SessionPhase.idle
        return is_idle or read_clock() >= self._transaction_deadline

    async def open(
        self, database: str, key: str
    ) -> tuple[Session, Answer | None]:
        """Return a new session, and the refusal if access is denied.

        A session that is denied access does not count as open.
        """
        session = Session(database, key)
        refusal = await self._check_access_with_wait(session)
        if refusal is None:
            self._sessions.add(session)
        else:
            self._log_failure('-', session, refusal)
        return session, refusal

    async def close(self, session: Session) -> None:
        """Close a session and roll back its open transaction."""
        self._sessions.discard(session)
        if session.transaction is not None:
            await self._transactions.rollback(session.transaction)
            session.transaction = None

    async def rollback_idle(self) -> None:
        """Roll back transactions that may not go on, until cancelled.

        They are idle for too long, or their target is in a region that the
        plan no longer allows.
        """
        while True:
            await curio.sleep(_IDLE_CHECK_SECONDS)
            plan = self._state.plan
            if plan is not None:
                last_used_before = read_clock() - plan.idle_seconds
                with contain_errors('rollback_idle'):
                    await self._rollback_idle_since(last_used_before)

    async def execute(self, session: Session, statement: Statement) -> Answer:
        """Run one statement, update its transaction and record the result.

        Every result is counted; every failure and a sample of the successes
        are logged.
        """
        started_at = read_clock()
        session.asked_at = started_at
        if session.phase is SessionPhase.in_failed_transaction:
            answer = _answer_failed_transaction(session, statement)
        elif statement.kind in _DATA_KINDS or statement.kind in _END_KINDS:
            answer = await self._run_statement(session, statement)
        elif statement.kind in _BEGIN_KINDS:
            answer = await self._begin(session, statement)
        else:
            answer = _update_session(session, statement)
        await self._update_transaction(session, statement, answer)
        self._record_answer(
            session, statement, answer, read_clock() - started_at
        )
        return answer

    async def _rollback_idle_since(self, last_used_before: float) -> None:
        for session in list(self._sessions):
            transaction = session.transaction
            is_between_requests = session.reader_task is not None
            if (
                transaction is None
                or transaction.is_failed
                or not is_between_requests
            ):
                continue
            if transaction.used_at < last_used_before:
                await self._rollback_resting(session, 'transaction_idle')
            elif self._transactions.is_outside(session):
                await self._rollback_resting(session, 'transaction_outside')

    async def _rollback_resting(self, session: Session, event: str) -> None:
        """Roll back a transaction between two requests of its caller."""
        transaction = session.transaction
        target = transaction.target
        transaction.is_failed = True
        await self._transactions.rollback(transaction)
        self._log.write(
            event,
            database=session.database,
            target=target,
            since=transaction.used_at,
        )

    async def _run_statement(
        self, session: Session, statement: Statement
    ) -> Answer:
        """Run a statement that needs a target or ends a transaction."""
        refusal = _check_session_state(session, statement)
        if refusal is not None:
            return refusal
        if statement.kind is StatementKind.rollback:
            await self._transactions.rollback(session.transaction)
            return DONE
        refusal = self._check_access(session)
        if refusal is not None:
            return refusal
        organisation = self._find_organisation(session)
        if session.transaction is None:
            return await self._run_outside_transaction(
                session, organisation, statement
            )
        return await self._transactions.run(session, organisation, statement)

    async def _run_outside_transaction(
        self, session: Session, organisation: str, statement: Statement
    ) -> Answer:
        route = self._find_route(session)
        if route is None:
            return _NO_ROUTE
        # What is rejected here takes no token, so that the organisation has
        # its tokens when there is a target again.
        refusal = self._executor.reject_hopeless(
            session, route, organisation, statement
        ) or await self._apply_rate_limit(session)
        if refusal is not None:
            return refusal
        return await self._executor.run(session, route, organisation, statement)

    async def _begin(self, session: Session, statement: Statement) -> Answer:
        """Begin a transaction; its first statement selects its target."""
        if session.transaction is not None:
            return build_failed_answer(
                Failure.malformed, 'a transaction is open'
            )
        refusal = self._check_access(session)
        if refusal is not None:
            return refusal
        route = self._find_route(session)
        if route is None:
            return _NO_ROUTE
        organisation = self._find_organisation(session)
        refusal = self._executor.reject_hopeless(
            session, route, organisation, statement
        ) or await self._apply_rate_limit(session)
        if refusal is not None:
            return refusal
        is_read_only = statement.kind is StatementKind.begin_read
        session.transaction = Transaction(route, is_read_only, read_clock())
        return DONE

    async def _update_transaction(
        self, session: Session, statement: Statement, answer: Answer
    ) -> None:
        """Update the session's transaction after an answer.

        A commit or rollback ends it. After any other failure it counts as
        failed and is rolled back at its target.
        """
        transaction = session.transaction
        if transaction is None:
            return
        transaction.used_at = read_clock()
        if statement.kind in _END_KINDS:
            is_committed = statement.kind is StatementKind.commit
            if is_committed and answer.failure is None:
                # The connection was released with the answer.
                transaction.pinned = None
            await self._transactions.rollback(transaction)
            session.transaction = None
        elif answer.failure is not None and not transaction.is_failed:
            transaction.is_failed = True
            await self._transactions.rollback(transaction)

    async def _apply_rate_limit(self, session: Session) -> Answer | None:
        """Spend a token of the organisation that holds the session's key.

        Sessions without a known key are not limited, whatever organisations
        are named.
        """
        plan = self._state.plan
        organisation = plan.owners.get(session.key) if plan else None
        if organisation is None:
            return None
        retry_seconds = await self._rate_limiter.admit(organisation)
        if retry_seconds is None:
            return None
        return build_retry_answer('rate limit, not run', retry_seconds)

    async def _check_access_with_wait(self, session: Session) -> Answer | None:
        """Check access; refuse it only by a recent plan, if one comes in time.

        The database or key may be newer than the plan of this instance.
        """
        give_up_at = read_clock() + _PLAN_WAIT_SECONDS
        asked_at = read_clock()
        refusal = self._check_access(session)
        while refusal is not None and read_clock() < give_up_at:
            if self._state.plan_proved_at > asked_at - _REFUSAL_AGE_SECONDS:
                break
            await self._refresh_proofs()
            await curio.sleep(_PLAN_POLL_SECONDS)
            refusal = self._check_access(session)
        return refusal

    def _check_access(self, session: Session) -> Answer | None:
        """Return the refusal of access, nothing if access is granted.

        A database that was removed is refused only outside of transactions.
        """
        plan = self._state.plan
        if plan is None:
            return build_failed_answer(
                Failure.overloaded, 'starting, retry after 500 ms'
            )
        age = self._state.find_plan_age(read_clock())
        route = plan.routes.get(session.database)
        if route is None and session.transaction is None:
            is_recent = age < _REFUSAL_AGE_SECONDS
            return _NO_ROUTE if is_recent else _build_stale_plan_answer(age)
        if route is not None and route.is_open:
            return None
        return self._check_key(session.key, plan, age)

    def _check_key(
        self, key: str, plan: ServingPlan, age: float
    ) -> Answer | None:
        if age > self._max_plan_age:
            return _build_stale_plan_answer(age)
        if key not in plan.owners:
            return build_failed_answer(
                Failure.unauthenticated, 'the key is not known'
            )
        return None

    def _find_organisation(self, session: Session) -> str:
        plan = self._state.plan
        owners = plan.owners if plan else {}
        return owners.get(session.key, PUBLIC_CLIENT)

    def _find_route(self, session: Session) -> ServingRoute | None:
        plan = self._state.plan
        return plan.routes.get(session.database) if plan else None

    def _record_answer(
        self,
        session: Session,
        statement: Statement,
        answer: Answer,
        seconds: float,
    ) -> None:
        kind = statement.kind.name
        if answer.failure is not None:
            self._counters.count(f'{kind}_{answer.failure.name}')
            self._log_failure(statement.ident, session, answer, seconds)
            return
        self._counters.count(f'{kind}_done')
        self._counters.time(seconds)
        self._successes += 1
        if not self._successes % _SUCCESSES_PER_LOG_LINE:
            self._log.write(
                'served',
                id=statement.ident,
                kind=kind,
                database=session.database,
                took=seconds,
                signature=answer.signature,
            )

    def _log_failure(
        self,
        ident: str,
        session: Session,
        answer: Answer,
        seconds: float = 0,
    ) -> None:
        plan = self._state.plan
        self._log.write(
            'not_served',
            id=ident,
            database=session.database,
            organisation=self._find_organisation(session),
            failure=answer.failure.name if answer.failure else '',
            why=answer.detail,
            phase=session.phase.name,
            took=seconds,
            plan=plan.version if plan else 0,
            plan_age=self._state.find_plan_age(read_clock()),
        )


def _check_session_state(
    session: Session, statement: Statement
) -> Answer | None:
    """Return the failure of a statement that the session's state forbids."""
    if statement.kind in _END_KINDS and session.transaction is None:
        return build_failed_answer(Failure.malformed, 'no transaction is open')
    is_execute = statement.kind is StatementKind.execute
    if is_execute and statement.prepared_name not in session.prepared:
        return build_failed_answer(
            Failure.unknown_statement, 'not prepared here'
        )
    return None


def _build_stale_plan_answer(age: float) -> Answer:
    return build_failed_answer(
        Failure.overloaded,
        f'plan not confirmed for {age:.1f} s, retry after 500 ms',
    )


def _answer_failed_transaction(
    session: Session, statement: Statement
) -> Answer:
    """Answer in a failed transaction, which can only be rolled back."""
    if statement.kind is StatementKind.rollback:
        return DONE
    if statement.kind is StatementKind.commit:
        return build_failed_answer(
            Failure.aborted, 'the transaction had failed'
        )
    return build_failed_answer(Failure.malformed, 'the transaction has failed')


def _update_session(session: Session, statement: Statement) -> Answer:
    """Run a statement that changes only the session's own state.

    Any other statement is malformed.
    """
    kind, name = statement.kind, statement.prepared_name
    if kind is StatementKind.set_value:
        session.values[statement.value_name] = statement.argument
    elif kind is StatementKind.prepare_read:
        session.prepared[name] = PreparedStatement(statement.argument, False)
    elif kind is StatementKind.prepare_write:
        session.prepared[name] = PreparedStatement(statement.argument, True)
    elif kind is StatementKind.close:
        if session.prepared.pop(name, None) is None:
            return build_failed_answer(
                Failure.unknown_statement, 'not prepared here'
            )
    else:
        return build_failed_answer(Failure.malformed, 'not a statement')
    return DONE
