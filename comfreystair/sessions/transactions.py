"""Run transactions, each pinned to one connection by its first statement."""

from comfreystair.clocks import read_clock
from comfreystair.coordination.state import FleetState
from comfreystair.gateways import GatewayClient
from comfreystair.manifest.serving import Consistency, find_client
from comfreystair.pooling.local_execution import (
    DeliveryFailure,
    Outcome,
    StatementRequest,
    find_remaining_seconds,
)
from comfreystair.sessions.attempts import (
    MAX_ATTEMPTS,
    RESPONSE_MARGIN_SECONDS,
    AttemptRunner,
    is_writing,
)
from comfreystair.sessions.execution import (
    build_request,
    find_organisation_priority,
)
from comfreystair.sessions.session import Session, Transaction
from comfreystair.sessions.statements import (
    Answer,
    Failure,
    Statement,
    StatementKind,
    build_failed_answer,
)
from comfreystair.sessions.target_selector import (
    SelectedTarget,
    TargetRequirements,
    TargetSelector,
)


class TransactionManager:
    """Begins, runs and ends callers' transactions at targets."""

    def __init__(
        self,
        state: FleetState,
        target_selector: TargetSelector,
        attempt_runner: AttemptRunner,
        gateway_client: GatewayClient,
    ) -> None:
        """Initialize with the selector of targets and the runner of attempts.

        :param gateway_client: runs requests on local connections or on a
            gateway.
        """
        self._state = state
        self._target_selector = target_selector
        self._attempt_runner = attempt_runner
        self._gateway_client = gateway_client

    async def run(
        self, session: Session, organisation: str, statement: Statement
    ) -> Answer:
        """Run a statement of a session's transaction.

        The first one selects the target and begins the transaction there.
        """
        transaction = session.transaction
        route = transaction.route
        deadline = (
            read_clock() + route.statement_seconds - RESPONSE_MARGIN_SECONDS
        )
        priority = find_organisation_priority(self._state, session)
        request = build_request(
            session, route, organisation, statement, priority
        )
        pinned = transaction.pinned
        if pinned and not self._state.may_send(pinned.entry, read_clock()):
            return build_failed_answer(
                Failure.aborted, 'zone of the target is evacuated'
            )
        if pinned is None:
            answer = await self._begin(session, request, deadline)
            if answer.failure is not None:
                return answer
        if self.is_outside(session):
            return build_failed_answer(
                Failure.aborted,
                f'{transaction.target} is not in the allowed regions',
            )
        if statement.kind is StatementKind.commit and transaction.has_written:
            return await self._commit(session, request, deadline)
        answer = await self._run_pinned(
            transaction, request, deadline, Failure.aborted
        )
        if is_writing(request):
            transaction.has_written = True
        return answer

    def is_outside(self, session: Session) -> bool:
        """Tell whether a session's transaction may not go on at its target.

        A plan that came in force after its begin no longer allows the region.
        """
        pinned = session.transaction.pinned
        if pinned is None:
            return False
        return not self._target_selector.is_in_allowed_region(
            pinned.entry,
            session.transaction.route,
            find_client(self._state.plan, session.key),
        )

    async def rollback(self, transaction: Transaction) -> None:
        """Roll back at the target, if the transaction has begun at one."""
        pinned = transaction.pinned
        transaction.pinned = None
        if pinned is not None:
            await self._gateway_client.rollback(pinned)

    async def _begin(
        self, session: Session, request: StatementRequest, deadline: float
    ) -> Answer:
        transaction = session.transaction
        route = transaction.route
        needs_primary = (
            not transaction.is_read_only
            or route.consistency is Consistency.primary
        )
        requirements = TargetRequirements(
            route,
            request.organisation,
            needs_primary,
            transaction.began_at,
            session.floor,
            set(),
            find_client(self._state.plan, session.key),
        )
        answer = await self._try_targets(
            transaction, requirements, request, deadline
        )
        return answer or self._target_selector.build_rejection(requirements)

    async def _try_targets(
        self,
        transaction: Transaction,
        requirements: TargetRequirements,
        request: StatementRequest,
        deadline: float,
    ) -> Answer | None:
        """Begin at one target after the other; nothing when there is none."""
        answer = None
        for _ in range(MAX_ATTEMPTS):
            may_wait = not (answer and answer.retry_seconds)
            selected = await self._target_selector.select(
                requirements, deadline, may_wait
            )
            remaining = deadline - read_clock()
            if selected is None or remaining <= 0:
                break
            answer = await self._begin_at(
                transaction,
                selected,
                request._replace(timeout_seconds=remaining),
            )
            if answer.failure is None:
                break
            refusal = await self._attempt_runner.prepare_retry(
                requirements, selected, answer
            )
            if refusal is not None:
                return refusal
        return answer

    async def _begin_at(
        self,
        transaction: Transaction,
        selected: SelectedTarget,
        request: StatementRequest,
    ) -> Answer:
        is_read_only = transaction.is_read_only
        kind = StatementKind.begin_read if is_read_only else StatementKind.begin
        begin_request = request._replace(
            statement=Statement('', kind, ''),
            prepared=None,
            floor=selected.position,
            aim_at=transaction.began_at + transaction.route.aim_seconds,
        )
        answer, pinned = await self._attempt_runner.begin(
            selected, begin_request, is_read_only
        )
        if answer.failure is None:
            transaction.pinned = pinned
        return answer

    async def _commit(
        self, session: Session, request: StatementRequest, deadline: float
    ) -> Answer:
        """Commit writes, only at a target that is proved to be the primary.

        Success also needs such a proof after the commit.
        """
        transaction = session.transaction
        entry = transaction.pinned.entry
        group = self._state.find_group(entry.group)
        if not group.primary_tracker.may_acknowledge(entry.ident, read_clock()):
            return build_failed_answer(
                Failure.aborted, 'the primary was replaced'
            )
        selected = SelectedTarget(entry, None, is_primary=True)
        group.running_writes += 1
        try:
            answer = await self._run_pinned(
                transaction, request, deadline, Failure.in_doubt
            )
            if answer.failure is None:
                answer = await self._attempt_runner.acknowledge_write(
                    group, selected, answer
                )
                session.raise_floor(answer.position, read_clock())
        finally:
            group.running_writes -= 1
        return answer

    async def _run_pinned(
        self,
        transaction: Transaction,
        request: StatementRequest,
        deadline: float,
        lost: Failure,
    ) -> Answer:
        """Run a statement on the transaction's connection.

        Without an answer the transaction is over.

        :param lost: failure to report when a sent statement got no answer.
        """
        pinned = transaction.pinned
        remaining = find_remaining_seconds(deadline)
        asked_at = read_clock()
        outcome = await self._gateway_client.run_pinned(
            pinned,
            request._replace(
                timeout_seconds=remaining, max_wait_seconds=remaining
            ),
        )
        if outcome.delivery_failure is DeliveryFailure.none:
            return outcome.answer
        transaction.pinned = None
        is_primary = not transaction.is_read_only
        return self._build_lost_answer(
            SelectedTarget(pinned.entry, None, is_primary),
            outcome,
            lost,
            asked_at,
        )

    def _build_lost_answer(
        self,
        selected: SelectedTarget,
        outcome: Outcome,
        lost: Failure,
        asked_at: float,
    ) -> Answer:
        """Return the answer to a caller when the target gave none.

        :param asked_at: when the request was sent.
        """
        ident = selected.entry.ident
        if outcome.delivery_failure is DeliveryFailure.lost and outcome.is_sent:
            self._attempt_runner.record_lost_target(
                selected, outcome.reason, asked_at
            )
        if outcome.is_sent:
            return build_failed_answer(lost, f'{ident} gave no answer')
        return build_failed_answer(
            Failure.aborted, f'not run at {ident}: {outcome.reason}'
        )
