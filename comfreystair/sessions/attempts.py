"""Run one attempt of a statement at a target and record the result."""

from typing import Final

import curio

from comfreystair.clocks import read_clock
from comfreystair.coordination.state import FleetState, GroupState
from comfreystair.gateways import GatewayClient, PinnedTransaction
from comfreystair.observability.decisions import DecisionLog
from comfreystair.pooling.local_execution import (
    DeliveryFailure,
    Outcome,
    StatementRequest,
)
from comfreystair.pooling.manager import PoolManager
from comfreystair.sessions.session import Session
from comfreystair.sessions.statements import (
    Answer,
    Failure,
    StatementKind,
    build_failed_answer,
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
)
# Backoff from an overloaded target, in seconds.
_OVERLOAD_BACKOFF_SECONDS: Final = 0.03
# Backoff from a primary that reports it is read-only, in seconds.
_READ_ONLY_BACKOFF_SECONDS: Final = 0.09
# How long the answer to a write waits for a proof that its target was the
# primary, in seconds.
_PROOF_WAIT_SECONDS: Final = 0.8


class AttemptRunner:
    """Runs attempts at targets and updates health and primary state."""

    def __init__(
        self,
        state: FleetState,
        pools: PoolManager,
        gateway_client: GatewayClient,
        log: DecisionLog,
    ) -> None:
        """Initialize with the fleet state and pools that attempts update.

        :param pools: connection pools, health and load of the targets.
        :param gateway_client: runs requests on local connections or on a
            gateway.
        """
        self._state = state
        self._gateway_client = gateway_client
        self._pools = pools
        self._log = log

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
        return self.read(selected, unsent, asked_at, Failure.aborted), pinned

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
        if failure is DeliveryFailure.full:
            self._log.write('target_full', target=ident, why=outcome.reason)
            if outcome.answer.failure is Failure.connection_limit:
                # It says when the target will be less busy.
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
        if outcome.is_sent:
            return build_failed_answer(lost, f'{ident} gave no answer')
        return _NO_GATEWAY if failure is DeliveryFailure.away else NOT_SERVED

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


async def prepare_retry(
    requirements: TargetRequirements, selected: SelectedTarget, answer: Answer
) -> bool:
    """Exclude a target that failed; tell whether to try again.

    A primary is not excluded: it is retried after a delay, or not at all if it
    had no free connection. Without a gateway the target is retried at once.
    """
    if answer is _NO_GATEWAY:
        # Another gateway may serve the same target.
        return True
    if not selected.is_primary:
        requirements.tried.add(selected.entry.ident)
        return True
    if answer.failure is Failure.connection_limit:
        return False
    await curio.sleep(RETRY_DELAY_SECONDS)
    return True
