"""Failure detection of the groups' primaries.

The monitor starts a failover for a primary that has failed, is no longer
listed or is leaving.
"""

from collections.abc import Awaitable, Callable
from typing import Final

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.primary_failover import FAILURE_DETECTION_SECONDS
from comfreystair.controllers.primary_tracking import PROOF_TTL_SECONDS
from comfreystair.coordination.exceptions import FailoverError
from comfreystair.coordination.failover import (
    LEASE_TTL_SECONDS,
    STEP_ANNOUNCE,
    FailoverCoordinator,
)
from comfreystair.coordination.failover_notices import FailoverNotices
from comfreystair.coordination.jitter import add_jitter
from comfreystair.coordination.rendezvous import find_rank
from comfreystair.coordination.state import FleetState, GroupState
from comfreystair.coordination.target_prober import TargetProber
from comfreystair.observability.decisions import DecisionLog
from comfreystair.pooling.targets import TargetEntry
from comfreystair.tasks import contain_errors, describe_error

_CHECK_INTERVAL_SECONDS: Final = 0.2
# Greatest age of the lists of targets and instances at which a failover may
# start. The lists are read once a second.
_MAX_LISTS_AGE_SECONDS: Final = 2.5
# Each further rank waits this much longer before it starts a failover.
_RANK_DELAY_SECONDS: Final = 0.12
_MAX_DELAYED_RANK: Final = 12
# The same for an evacuated primary. Each rank queries the whole group, and as
# nobody may be able to lead it, all of them would do so again and again.
_EVACUATED_RANK_DELAY_SECONDS: Final = 0.4
# Delays after a failover that failed. The longer ones apply when another
# instance holds the failover lease, and when no target may lead the group.
_RETRY_DELAY_SECONDS: Final = 0.45
STEP_CHOOSE: Final = 'choose'
_STEP_RETRY_DELAYS_SECONDS: Final = {  # noqa: WPS407
    STEP_ANNOUNCE: 1.4,
    STEP_CHOOSE: 2.0,
}

_NO_PRIMARY: Final = 'no primary known'
_RESTORED: Final = 'store was restored'
_STALLED: Final = 'failover stalled'
_GONE: Final = 'primary is gone'
_LEAVING: Final = 'primary leaves'
_EVACUATED: Final = "primary's zone is evacuated"
_UNREACHABLE: Final = 'primary does not answer'
_DEMOTED: Final = 'primary has become a replica'
# How long a reason must persist before a failover starts, 0 s for the other
# reasons. A failover that another instance announced can't be taken over before
# its lease has expired.
_PERSISTENCE_SECONDS: Final = {  # noqa: WPS407
    _NO_PRIMARY: 0.3,
    _STALLED: LEASE_TTL_SECONDS,
    _GONE: 0.3,
    _LEAVING: 0.2,
    _EVACUATED: 0.1,
    _DEMOTED: 0.2,
}


# Reasons for which the primary is replaced while it still runs.
_PLANNED_REASONS: Final = frozenset((_LEAVING, _EVACUATED))


class PrimaryMonitor:
    """Watches the primaries of all groups and starts failovers."""

    def __init__(
        self,
        state: FleetState,
        failover_coordinator: FailoverCoordinator,
        prober: TargetProber,
        notices: FailoverNotices,
        refresh_proofs: Callable[[], Awaitable[None]],
        log: DecisionLog,
    ) -> None:
        """Initialise a monitor with no known failure.

        :param state: this instance's view of the fleet.
        :param failover_coordinator: runs the failovers.
        :param prober: queries the status of a primary.
        :param notices: asks other instances whether they reach a primary.
        :param refresh_proofs: requests that the proofs are refreshed now.
        :param log: receives the outcome of each failover.
        """
        self._state = state
        self._failover_coordinator = failover_coordinator
        self._prober = prober
        self._notices = notices
        self._refresh_proofs = refresh_proofs
        self._log = log
        self._reasons: dict[str, tuple[str, float]] = {}
        self._groups_in_failover: set[str] = set()
        self._groups_in_check: set[str] = set()
        self._reported: dict[str, float] = {}
        self._retry_at: dict[str, float] = {}

    async def run(self) -> None:
        """Check all groups periodically until cancelled.

        Groups whose primary must be queried are checked concurrently, so that
        targets that do not answer delay no other group.
        """
        while True:
            for name, group in list(self._state.groups.items()):
                if name in self._groups_in_failover | self._groups_in_check:
                    continue
                self._groups_in_check.add(name)
                if group.unreachable_since is None:
                    await self._check_contained(name)
                else:
                    await curio.spawn(self._check_contained, name, daemon=True)
            await curio.sleep(add_jitter(_CHECK_INTERVAL_SECONDS))

    async def _check_contained(self, name: str) -> None:
        try:
            with contain_errors('check_group', name):
                await self._check(name)
        finally:
            self._groups_in_check.discard(name)

    async def _check(self, name: str) -> None:
        """Start a failover of a group if a reason for it has persisted.

        An instance of a further rank waits longer before it starts one.
        """
        reason = await self._find_reason(name)
        now = read_clock()
        since = self._find_reason_start(name, reason, now)
        if not reason or now < self._retry_at.get(name, now):
            return
        rank = find_rank(name, self._state.instances, self._state.own.name)
        delay = min(rank, _MAX_DELAYED_RANK) * _RANK_DELAY_SECONDS
        if reason == _EVACUATED:
            delay = rank * _EVACUATED_RANK_DELAY_SECONDS
        if now - since < _PERSISTENCE_SECONDS.get(reason, 0) + delay:
            return
        self._groups_in_failover.add(name)
        await curio.spawn(self._try_failover, name, reason, daemon=True)

    def _find_reason_start(self, name: str, reason: str, now: float) -> float:
        """Record a group's present reason and return since when it holds."""
        known, since = self._reasons.get(name, ('', now))
        if reason != known:
            since = now
            self._reasons[name] = (reason, since)
        return since

    async def _find_reason(self, name: str) -> str:
        """Return why a group needs a failover; empty when it needs none."""
        group = self._state.find_group(name)
        record = group.primary_tracker.record
        if not self._may_start_failover(name):
            return ''
        if record.is_restored:
            return _RESTORED
        if record.is_changing:
            return _STALLED
        age = group.primary_tracker.find_proof_age(read_clock())
        if not record.primary:
            age = self._state.find_plan_age(read_clock())
        if age > PROOF_TTL_SECONDS:
            return ''
        if not record.primary:
            return _NO_PRIMARY
        return await self._find_failure(group, record.primary)

    def _may_start_failover(self, name: str) -> bool:
        """Tell whether this instance may start a failover of a group.

        The lists of targets and instances must be recent: after a network
        partition, an instance must not mistake a primary that is missing in
        its outdated list for one that has left. An instance that is draining
        starts no failover.
        """
        age = read_clock() - self._state.lists_read_at
        is_listed = bool(self._state.list_targets(name))
        return (
            is_listed
            and age < _MAX_LISTS_AGE_SECONDS
            and not (self._state.is_draining)
        )

    async def _find_failure(self, group: GroupState, primary: str) -> str:
        """Return why a primary must be replaced; empty when it is healthy."""
        entry = self._state.targets.get(primary)
        if entry is None:
            return _GONE
        if entry.is_leaving:
            return _LEAVING
        is_evacuated = self._is_replaceable(entry)
        if is_evacuated or group.unreachable_since is None:
            return _EVACUATED if is_evacuated else ''
        asked_at = read_clock()
        probe = await self._prober.probe(entry)
        if not probe.is_answered:
            group.has_failed_probe = True
            group.record_failure(asked_at)
            return await self._judge_unreachable(entry.group, group)
        if probe.report is None or probe.report.is_primary:
            # A primary that is only too busy must not be replaced.
            group.record_answer(read_clock())
            return ''
        return _DEMOTED

    def _is_replaceable(self, entry: TargetEntry) -> bool:
        """Tell whether a primary is evacuated and another target may lead."""
        if not self._state.evacuations.is_evacuated(entry.zone):
            return False
        return any(
            not successor.is_leaving
            for successor in self._state.list_successors(entry.group)
        )

    async def _judge_unreachable(self, name: str, group: GroupState) -> str:
        """Return why a primary that gave no status must be replaced.

        The first-ranked instances are told once, since each of them may not
        use the group at present.
        """
        since = group.unreachable_since
        if since is None:
            # It has answered another request meanwhile.
            return ''
        if self._reported.get(name) != since:
            self._reported[name] = since
            await curio.spawn(
                self._notices.report_unreachable, name, daemon=True
            )
        is_lasting = read_clock() - since >= FAILURE_DETECTION_SECONDS
        return _UNREACHABLE if is_lasting else ''

    async def _has_successor(self, name: str) -> bool:
        """Tell whether a target that may lead a group gives its status.

        Without one, stopping the primary would only end its use sooner.
        """
        allowed = {one.ident for one in self._state.list_successors(name)}
        statuses = await self._prober.query_group(name)
        return any(
            status.ident in allowed and not status.is_leaving
            for status in statuses
        )

    async def _try_failover(self, name: str, reason: str) -> None:
        """Run a failover and log its outcome; a failure delays the next one.

        An unreachable primary is only replaced if enough of the other
        instances can't reach it either.
        """
        group = self._state.find_group(name)
        started_at = read_clock()
        try:
            if (
                reason == _UNREACHABLE
                and not await self._notices.is_widely_unreachable(name)
            ):
                raise FailoverError('other instances reach the primary', 'ask')
            if reason == _EVACUATED and not await self._has_successor(name):
                raise FailoverError('no target may lead the group', STEP_CHOOSE)
            await self._failover_coordinator.fail_over(
                name, reason, reason in _PLANNED_REASONS
            )
        except Exception as error:
            step = getattr(error, 'step', '')
            delay = _STEP_RETRY_DELAYS_SECONDS.get(step, _RETRY_DELAY_SECONDS)
            self._retry_at[name] = read_clock() + add_jitter(delay)
            self._log.write(
                'change_stopped',
                group=name,
                why=reason,
                step=step,
                reason=describe_error(error),
                took=read_clock() - started_at,
            )
            await self._refresh_proofs()
        else:
            self._log.write(
                'change_done',
                group=name,
                why=reason,
                primary=group.primary_tracker.record.primary,
                took=read_clock() - started_at,
            )
        finally:
            self._groups_in_failover.discard(name)
