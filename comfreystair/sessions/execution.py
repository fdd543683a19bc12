"""Run statements outside of transactions, with retries."""

from typing import Final

from comfreystair.clocks import read_clock
from comfreystair.coordination.state import FleetState
from comfreystair.manifest.serving import (
    DEFAULT_PRIORITY,
    Consistency,
    ServingRoute,
    find_client,
)
from comfreystair.observability.decisions import DecisionLog
from comfreystair.pooling.local_execution import StatementRequest
from comfreystair.sessions.attempts import (
    MAX_ATTEMPTS,
    RESPONSE_MARGIN_SECONDS,
    AttemptRunner,
    is_writing,
)
from comfreystair.sessions.session import Session
from comfreystair.sessions.statements import (
    NOT_RUN_FAILURES,
    Answer,
    Failure,
    PreparedStatement,
    Statement,
    StatementKind,
)
from comfreystair.sessions.target_selector import (
    SelectedTarget,
    TargetRequirements,
    TargetSelector,
    is_restricted,
)

# Share of a read's time that its first attempt may take; the rest is for
# attempts at other targets.
_FIRST_READ_ATTEMPT_SHARE: Final = 0.5
# Share of an attempt's time that it may wait for a concurrency slot.
_MAX_WAIT_SHARE: Final = 0.7
_RETRYABLE_READ_FAILURES: Final = frozenset((Failure.timed_out, Failure.failed))


class StatementExecutor:
    """Runs reads and writes outside of transactions."""

    def __init__(
        self,
        state: FleetState,
        target_selector: TargetSelector,
        attempt_runner: AttemptRunner,
        log: DecisionLog,
    ) -> None:
        """Initialize with the target selector and the runner of attempts."""
        self._state = state
        self._target_selector = target_selector
        self._attempt_runner = attempt_runner
        self._log = log

    def reject_hopeless(
        self,
        session: Session,
        route: ServingRoute,
        organisation: str,
        statement: Statement,
    ) -> Answer | None:
        """Reject a statement that no target will serve in time."""
        client = find_client(self._state.plan, session.key)
        if not (
            is_restricted(route, client)
            or self._target_selector.has_outage(route.group)
        ):
            return None
        priority = find_organisation_priority(self._state, session)
        request = build_request(
            session, route, organisation, statement, priority
        )
        requirements = self._build_requirements(session, route, request)
        deadline = _find_deadline(requirements)
        if not self._target_selector.is_hopeless(requirements, deadline):
            return None
        return self._target_selector.build_rejection(requirements)

    async def run(
        self,
        session: Session,
        route: ServingRoute,
        organisation: str,
        statement: Statement,
    ) -> Answer:
        """Run a statement, retrying at other targets where that is safe."""
        priority = find_organisation_priority(self._state, session)
        request = build_request(
            session, route, organisation, statement, priority
        )
        is_write = is_writing(request)
        requirements = self._build_requirements(session, route, request)
        share = 1 if is_write else _FIRST_READ_ATTEMPT_SHARE
        answer = None
        for _ in range(MAX_ATTEMPTS):
            attempt = await self._run_attempt(
                session,
                requirements,
                request,
                share,
                may_wait=not (answer and answer.retry_seconds),
            )
            if attempt is None:
                break
            selected, answer = attempt
            if not _may_retry(answer, is_write):
                break
            self._log_retry(statement, selected, answer)
            refusal = await self._attempt_runner.prepare_retry(
                requirements, selected, answer
            )
            if refusal is not None:
                return refusal
            share = 1
        return answer or self._target_selector.build_rejection(requirements)

    def _build_requirements(
        self, session: Session, route: ServingRoute, request: StatementRequest
    ) -> TargetRequirements:
        """Return what a statement that begins now needs of its target."""
        is_strict = route.consistency is Consistency.primary
        return TargetRequirements(
            route,
            request.organisation,
            is_strict or is_writing(request),
            read_clock(),
            session.floor,
            set(),
            find_client(self._state.plan, session.key),
        )

    async def _run_attempt(
        self,
        session: Session,
        requirements: TargetRequirements,
        request: StatementRequest,
        share: float,
        may_wait: bool,
    ) -> tuple[SelectedTarget, Answer] | None:
        """Run a statement at the best target; nothing when there is none.

        :param share: share of the remaining time that the attempt may take.
        :param may_wait: no target has rejected it, so that it may wait for
            one.
        """
        deadline = _find_deadline(requirements)
        selected = await self._target_selector.select(
            requirements, deadline, may_wait
        )
        remaining = deadline - read_clock()
        if selected is None or remaining <= 0:
            return None
        seconds = remaining * share
        group = self._state.find_group(selected.entry.group)
        is_write = is_writing(request)
        group.running_writes += is_write
        try:
            answer = await self._attempt_runner.run(
                session,
                selected,
                request._replace(
                    floor=selected.position,
                    timeout_seconds=seconds,
                    max_wait_seconds=min(
                        seconds * _MAX_WAIT_SHARE,
                        requirements.route.aim_seconds,
                    ),
                ),
            )
        finally:
            group.running_writes -= is_write
        return selected, answer

    def _log_retry(
        self, statement: Statement, selected: SelectedTarget, answer: Answer
    ) -> None:
        self._log.write(
            'retry',
            id=statement.ident,
            target=selected.entry.ident,
            floor=selected.position,
            floor_age=read_clock() - selected.floor.known_at
            if selected.floor
            else 0.0,
            failure=answer.failure.name if answer.failure else '',
        )


def find_organisation_priority(state: FleetState, session: Session) -> int:
    """Return the priority of the organisation that holds a session's key."""
    plan = state.plan
    return plan.find_priority(session.key) if plan else DEFAULT_PRIORITY


def build_request(
    session: Session,
    route: ServingRoute,
    organisation: str,
    statement: Statement,
    organisation_priority: int = DEFAULT_PRIORITY,
) -> StatementRequest:
    """Return a statement with its session's state.

    The floor and the time limits are set when a target is selected. The latency
    objective counts from when the session's newest request came.
    """
    return StatementRequest(
        statement,
        organisation,
        dict(session.values),
        _find_prepared(session, statement),
        None,
        route.priority,
        0,
        0,
        organisation_priority,
        session.asked_at + route.aim_seconds,
        route.aim_seconds,
    )


def _find_prepared(
    session: Session, statement: Statement
) -> PreparedStatement | None:
    """Return the prepared statement that a statement executes, if any."""
    if statement.kind is not StatementKind.execute:
        return None
    return session.prepared.get(statement.prepared_name)


def _find_deadline(requirements: TargetRequirements) -> float:
    """Return until when a target must have answered a statement."""
    allowed = requirements.route.statement_seconds - RESPONSE_MARGIN_SECONDS
    return requirements.read_at + allowed


def _may_retry(answer: Answer, is_write: bool) -> bool:
    """Tell whether a statement may safely run again.

    A write may only if it is certain that it did not run.
    """
    if answer.failure is None:
        return False
    if answer.failure in NOT_RUN_FAILURES or (
        answer.failure is Failure.connection_limit
    ):
        return True
    return not is_write and answer.failure in _RETRYABLE_READ_FAILURES
