"""Run one attempt of a statement at a target and record the result."""

import random
from typing import Final, NamedTuple

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.connections.retry_budget import RetryBudget
from comfreystair.coordination.state import FleetState, GroupState
from comfreystair.gateways import (
    GatewayClient,
    GatewaySelector,
    PinnedTransaction,
)
from comfreystair.observability.decisions import DecisionLog
from comfreystair.pooling.local_execution import (
    DeliveryFailure,
    Outcome,
    StatementRequest,
)
from comfreystair.pooling.manager import PoolManager
from comfreystair.sessions.session import Session
from comfreystair.sessions.statements import (
    NOT_RUN_FAILURES,
    Answer,
    Failure,
    StatementKind,
    build_failed_answer,
    build_retry_answer,
)
from comfreystair.sessions.target_selector import (
    SelectedTarget,
    TargetRequirements,
)

# Part of a statement's time reserved for returning the answer, in seconds.
RESPONSE_MARGIN_SECONDS: Final = 0.03
# Delay before a statement is retried at the same target, and before a write's
# proof is looked for again, in seconds.
RETRY_DELAY_SECONDS: Final = 0.02
MAX_ATTEMPTS: Final = 6
_WRITING_KINDS: Final = frozenset((StatementKind.write, StatementKind.begin))
NOT_SERVED: Final = build_failed_answer(
    Failure.overloaded, 'not run, retry after 300 ms'
)
_NO_GATEWAY: Final = build_failed_answer(
    Failure.overloaded, 'gateway unavailable, not run, retry after 300 ms'
)._replace(is_gateway_failure=True)
# Backoff from an overloaded target, in seconds.
_OVERLOAD_BACKOFF_SECONDS: Final = 0.03
# Backoff from a primary that reports it is read-only, in seconds.
_READ_ONLY_BACKOFF_SECONDS: Final = 0.09
# Share of its latency objective within which a request that one target
# rejected may try another one: the rejection has to come within a quarter.
_OTHER_TARGET_SHARE: Final = 0.2
# How long the answer to a write waits for a proof that its target was the
# primary, in seconds.
_PROOF_WAIT_SECONDS: Final = 0.8
# Callers whose request is not retried come back after at least this long, and
# spread over this much more. The budget of a lone organisation refills in 1 s.
_MIN_WITHHELD_SECONDS: Final = 0.3
_WITHHELD_SPREAD_SECONDS: Final = 0.7


class RetryControl(NamedTuple):
    """What decides whether a failed statement is retried.

    :param selector: tells at which targets retries have a budget.
    """

    budget: RetryBudget
    selector: GatewaySelector


class AttemptRunner:
    """Runs attempts at targets and updates health and primary state."""

    def __init__(
        self,
        state: FleetState,
        pools: PoolManager,
        gateway_client: GatewayClient,
        log: DecisionLog,
        retry_control: RetryControl | None = None,
    ) -> None:
        """Initialize with the fleet state and pools that attempts update.

        :param pools: connection pools, health and load of the targets.
        :param gateway_client: runs requests on local connections or on a
            gateway.
        :param retry_control: limits retries; if absent, they have no limit.
        """
        self._state = state
        self._gateway_client = gateway_client
        self._pools = pools
        self._log = log
        self._retry_control = retry_control

    async def run(
        self,
        session: Session,
        selected: SelectedTarget,
        request: StatementRequest,
    ) -> Answer:
        """Run a statement outside of transactions and record the result.

        A write that succeeds raises the session's floor.
        """
        ident = selected.entry.ident
        asked_at = read_clock()
        self._pools.record_request_start(ident)
        try:
            outcome = await self._gateway_client.run(selected.entry, request)
        finally:
            self._pools.record_request_end(ident)
        is_write = is_writing(request)
        lost = Failure.in_doubt if is_write else Failure.timed_out
        answer = self.read(selected, outcome, asked_at, lost)
        self._record_success(request, answer)
        if is_write and answer.failure is None:
            group = self._state.find_group(selected.entry.group)
            answer = await self.acknowledge_write(group, selected, answer)
            session.raise_floor(answer.position, read_clock())
        return answer

    async def begin(
        self,
        selected: SelectedTarget,
        request: StatementRequest,
        is_read_only: bool,
    ) -> tuple[Answer, PinnedTransaction]:
        """Begin a transaction at a target and record the result."""
        asked_at = read_clock()
        outcome, pinned = await self._gateway_client.begin(
            selected.entry, request, is_read_only
        )
        # A transaction whose begin got no answer has changed nothing.
        unsent = outcome._replace(is_sent=False)
        answer = self.read(selected, unsent, asked_at, Failure.aborted)
        self._record_success(request, answer)
        return answer, pinned

    def read(
        self,
        selected: SelectedTarget,
        outcome: Outcome,
        asked_at: float,
        lost: Failure,
    ) -> Answer:
        """Return an outcome's answer and record the target's health.

        :param asked_at: when the request was sent.
        :param lost: failure to report when a sent statement got no answer.
        """
        failure = outcome.delivery_failure
        ident = selected.entry.ident
        if failure is DeliveryFailure.none:
            self._record_answer(selected, outcome.answer, asked_at)
            return outcome.answer
        if outcome.retry_seconds:
            return build_retry_answer(
                f'{ident} is overloaded, not run', outcome.retry_seconds
            )
        if failure is DeliveryFailure.full:
            self._log.write('target_full', target=ident, why=outcome.reason)
            if outcome.answer.failure is Failure.connection_limit:
                # The pool tells when to come back.
                return outcome.answer
            return NOT_SERVED._replace(failure=Failure.connection_limit)
        if failure is DeliveryFailure.refused:
            self._log.write('target_refused', target=ident, why=outcome.reason)
            self._pools.find_health(ident).back_off(
                _OVERLOAD_BACKOFF_SECONDS, read_clock()
            )
        elif failure is DeliveryFailure.lost:
            self.record_lost_target(selected, outcome.reason, asked_at)
        elif selected.is_primary:
            self._state.find_group(selected.entry.group).record_failure(
                asked_at
            )
        is_away = failure is DeliveryFailure.away
        if outcome.is_sent:
            answer = build_failed_answer(lost, f'{ident} gave no answer')
            return answer._replace(is_gateway_failure=is_away)
        return _NO_GATEWAY if is_away else NOT_SERVED

    async def acknowledge_write(
        self, group: GroupState, selected: SelectedTarget, answer: Answer
    ) -> Answer:
        """Return a write's answer once its target is proved to be the primary.

        Without a proof the write is in doubt once a failover is running, the
        primary is replaced or the wait for the proof ends.
        """
        ident = selected.entry.ident
        give_up_at = read_clock() + _PROOF_WAIT_SECONDS
        while not group.primary_tracker.may_acknowledge(ident, read_clock()):
            record = group.primary_tracker.record
            is_replaced = record.is_changing or record.primary != ident
            if is_replaced or read_clock() >= give_up_at:
                self._log.write(
                    'write_in_doubt',
                    target=ident,
                    primary=record.primary,
                    revision=record.position.revision,
                    proof_age=group.primary_tracker.find_proof_age(
                        read_clock()
                    ),
                )
                return build_failed_answer(
                    Failure.in_doubt, 'the primary was replaced'
                )
            await group.wait_for_change(RETRY_DELAY_SECONDS)
        return answer

    def record_lost_target(
        self, selected: SelectedTarget, reason: str, asked_at: float
    ) -> None:
        """Log that a target did not answer and record it for its health.

        For a primary, the group also records that it was unreachable.

        :param asked_at: when the request was sent.
        """
        now = read_clock()
        entry = selected.entry
        health = self._pools.find_health(entry.ident)
        health.record_failure(now)
        self._log.write(
            'target_lost',
            target=entry.ident,
            why=reason,
            failures=health.failures,
        )
        group = self._state.find_group(entry.group)
        if entry.ident == group.primary_tracker.record.primary:
            group.record_failure(asked_at)

    async def prepare_retry(
        self,
        requirements: TargetRequirements,
        selected: SelectedTarget,
        answer: Answer,
    ) -> Answer | None:
        """Exclude a target that failed and wait until the next attempt.

        A primary is not excluded: it is retried after a delay, or not at all if
        it had no free connection. Without a gateway the target is retried at
        once. An attempt at another gateway does not draw on the budget.

        :returns: the answer to the caller if there is no other attempt.
        """
        if answer is _NO_GATEWAY:
            # Another gateway may serve the same target.
            return None
        if _is_shed(answer):
            requirements.tried.add(selected.entry.ident)
            may_move = _may_move(requirements) and self._may_retry(
                requirements, selected
            )
            return None if may_move else answer
        is_full = answer.failure is Failure.connection_limit
        if selected.is_primary and is_full:
            return answer
        if not (
            answer.is_gateway_failure or self._may_retry(requirements, selected)
        ):
            return _build_withheld_answer(answer)
        if selected.is_primary:
            await curio.sleep(RETRY_DELAY_SECONDS)
        elif not _may_catch_up(requirements, answer):
            requirements.tried.add(selected.entry.ident)
        return None

    def _may_retry(
        self, requirements: TargetRequirements, selected: SelectedTarget
    ) -> bool:
        """Spend a token of the retry budget, if retries have one."""
        control = self._retry_control
        if control is None or not control.selector.has_shares(selected.entry):
            return True
        organisation = requirements.organisation
        if control.budget.take(organisation, read_clock()):
            return True
        self._log.write(
            'retry_withheld',
            target=selected.entry.ident,
            organisation=organisation,
            withheld=control.budget.withheld,
        )
        return False

    def _record_success(
        self, request: StatementRequest, answer: Answer
    ) -> None:
        if self._retry_control is not None and answer.failure is None:
            self._retry_control.budget.record_success(
                request.organisation, read_clock()
            )

    def _record_answer(
        self, selected: SelectedTarget, answer: Answer, asked_at: float
    ) -> None:
        now = read_clock()
        entry = selected.entry
        health = self._pools.find_health(entry.ident)
        group = self._state.find_group(entry.group)
        if answer.failure is Failure.overloaded:
            health.back_off(_OVERLOAD_BACKOFF_SECONDS, now)
        elif answer.failure is Failure.lagging:
            known_at = selected.floor.known_at if selected.floor else now
            health.record_lag(now - known_at, now)
        else:
            health.record_success(now - asked_at, answer.position, now)
        primary_tracker = group.primary_tracker
        if (
            not selected.is_primary
            or entry.ident != primary_tracker.record.primary
        ):
            return
        if answer.failure is Failure.read_only:
            group.record_failure(now)
            health.back_off(_READ_ONLY_BACKOFF_SECONDS, now)
            return
        group.record_answer(now)
        if answer.position and primary_tracker.may_acknowledge(
            entry.ident, now
        ):
            primary_tracker.add_sample(asked_at, answer.position)


def is_writing(request: StatementRequest) -> bool:
    """Tell whether a statement may change data, or begins what may."""
    if request.prepared is not None:
        return request.prepared.is_writing
    return request.statement.kind in _WRITING_KINDS


def _is_shed(answer: Answer) -> bool:
    """Tell whether admission control rejected a request at its target."""
    return bool(answer.retry_seconds) and answer.failure is Failure.overloaded


def _may_move(requirements: TargetRequirements) -> bool:
    """Tell whether a request that a target shed may try another target."""
    passed = read_clock() - requirements.read_at
    allowed = requirements.route.aim_seconds * _OTHER_TARGET_SHARE
    return passed < allowed and not requirements.must_be_primary


def _may_catch_up(requirements: TargetRequirements, answer: Answer) -> bool:
    """Tell whether a replica that lags should be tried again.

    In certain regions only, it may be the only target: it is selected again
    once it has probably caught up.
    """
    return answer.failure is Failure.lagging and requirements.is_restricted


def _build_withheld_answer(answer: Answer) -> Answer:
    """Return the answer to a request that is not retried.

    A request that has not run may come back, at a time of its own.
    """
    if answer.failure not in NOT_RUN_FAILURES:
        return answer
    spread = random.random() * _WITHHELD_SPREAD_SECONDS  # noqa: S311
    return build_retry_answer(
        'retry budget is used up, not run', _MIN_WITHHELD_SECONDS + spread
    )
