"""Failover of a database group's primary.

The coordinator holds a lease of the store during a failover, and the store
position at which it took the lease is the fencing token. The steps are:

1. Mark the group's record as changing.
2. Make every instance stop using the old primary. If an instance does not
   confirm, wait until its proof from before the announcement has expired, or
   its contact with other zones if that is sooner.
3. Demote the old primary meanwhile, if it can be reached.
4. Wait for a limited time until a successor has received the old primary's
   log. There is no limit if the old primary runs and only its availability
   zone is evacuated. In a group with synchronous replication, wait until a
   successor is proved to hold all acknowledged commits.
5. Promote the successor.
6. Write the new record and publish it to all instances.

After the store has returned from an older copy, the record in it may lack later
failovers. The steps are then preceded by a look for the present primary: all
instances are asked which record they know, and all targets for their role. If
one target is undisputed, it is recorded and nothing is promoted.
"""

from collections.abc import Awaitable, Callable, Iterable
from typing import Final, NamedTuple

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.positions import Position
from comfreystair.controllers.primary_failover import (
    ReplicationStatus,
    choose_durable_successor,
    choose_successor,
    find_other_primary,
    has_caught_up,
)
from comfreystair.controllers.primary_tracking import (
    CONTACT_TTL_SECONDS,
    PROOF_TTL_SECONDS,
    PrimaryRecord,
)
from comfreystair.controllers.store_position import ABSENT, StorePosition
from comfreystair.coordination.exceptions import FailoverError
from comfreystair.coordination.durable_logs import DurableEndFinder
from comfreystair.coordination.failover_notices import (
    Broadcast,
    FailoverNotices,
)
from comfreystair.coordination.records import (
    FAILOVER_LEASES_PREFIX,
    GROUPS_PREFIX,
    INSTANCES_PREFIX,
    Committed,
    Conflict,
    GroupRecord,
    InstanceRecord,
    Lease,
    StoreClient,
    decode_instance,
    decode_primary_record,
    encode_record,
)
from comfreystair.coordination.restored_primary import RestoredPrimaryFinder
from comfreystair.coordination.state import FleetState
from comfreystair.coordination.target_prober import TargetProber
from comfreystair.exceptions import ComfreystairError
from comfreystair.observability.decisions import DecisionLog
from comfreystair.pooling.targets import TargetReport

# ``step`` of the error when a failover can't start, as another instance holds
# the failover lease or has changed the record.
STEP_ANNOUNCE: Final = 'announce'
# TTL of the failover lease. It is renewed once, before the promotion.
LEASE_TTL_SECONDS: Final = 5.0
# Time that must remain on the lease when a call to the store or a target
# starts, so that the call ends before the lease expires.
_LEASE_MARGIN_SECONDS: Final = 1.2
# Added to the validity of proofs when waiting until they have expired.
_PROOF_MARGIN_SECONDS: Final = 0.1
# How long a successor may take to receive the old primary's log, indexed by
# ``is_planned``: in an unplanned failover, and in a planned one, where the old
# primary still runs.
_CATCH_UP_TIMEOUTS_SECONDS: Final = (1.0, 2.5)
# How long a target may take to report itself as primary after its promotion.
_PROMOTION_TIMEOUT_SECONDS: Final = 3.0
_POLL_INTERVAL_SECONDS: Final = 0.06

Promote = Callable[[str, str, int], Awaitable[bool]]


class Failover(NamedTuple):
    """A failover in progress.

    :param group: name of the database group.
    :param old_record: the group's record before the failover.
    :param announced: store position of the announcement. It is passed with
        the promotion as the fencing token, so that the promotion is rejected
        after a later failover has begun.
    :param lease: the failover lease in the store.
    :param lease_ends_at: when the lease expires, on this instance's clock.
    :param is_planned: the old primary is to leave the group and still runs.
    :param log_end: end of the old primary's log; nothing while it is not known.
    :param doubtful_targets: ids of targets that probably do not answer.
    """

    group: str
    old_record: PrimaryRecord
    announced: StorePosition
    lease: Lease
    lease_ends_at: float
    is_planned: bool
    log_end: Position | None = None
    doubtful_targets: frozenset[str] = frozenset()


class FailoverCoordinator:
    """Runs the failovers that this instance starts."""

    def __init__(
        self,
        state: FleetState,
        store: StoreClient,
        prober: TargetProber,
        notices: FailoverNotices,
        promote: Promote,
        log: DecisionLog,
    ) -> None:
        """Initialise a coordinator without a failover in progress.

        :param state: this instance's view of the fleet.
        :param store: holds the leases and the groups' records.
        :param prober: queries and demotes targets.
        :param notices: tells the other instances of a failover.
        :param promote: promotes a target, given the group, the target and the
            fencing token; returns whether the target is running.
        :param log: receives an event for each step.
        """
        self._state = state
        self._store = store
        self._prober = prober
        self._notices = notices
        self._promote = promote
        self._log = log
        self._finder = RestoredPrimaryFinder(state, notices, prober, log)
        self._durable_ends = DurableEndFinder(state, store, prober, log)
        self._started_at = read_clock()

    async def fail_over(self, name: str, reason: str, is_planned: bool) -> None:
        """Find or promote a new primary for a group and publish it.

        :param name: name of the database group.
        :param reason: why the primary is replaced, for the log.
        :param is_planned: the old primary is to leave the group and still runs.
        :raises ComfreystairError: its ``step`` names the step that failed.
        """
        if self._state.find_sync_replicas(name):
            await self._durable_ends.prepare(name, is_planned)
        failover = await self._announce(name, reason, is_planned)
        undisputed = None
        if failover.old_record.is_restored:
            failover, undisputed = await self._find_restored(failover)
        primary, term = undisputed or await self._replace_primary(failover)
        record = await self._write_record(failover, primary, term)
        await self._notices.publish(name, record)
        if undisputed or not failover.old_record.primary:
            # Nothing was promoted, so the next failover can start at once
            # instead of waiting until the lease expires.
            await self._store.revoke_lease(failover.lease)

    async def _announce(
        self, name: str, reason: str, is_planned: bool
    ) -> Failover:
        """Acquire the failover lease and mark the group's record as changing.

        Both keys are written in one transaction.

        :raises FailoverError: when another instance holds the lease, or the
            record was changed since it was read.
        """
        old_record = self._state.find_group(name).primary_tracker.record
        asked_at = read_clock()
        lease = await self._store.grant_lease(LEASE_TTL_SECONDS)
        outcome = await self._write_announcement(
            name, old_record, lease, ABSENT
        )
        if isinstance(outcome, Conflict):
            leftover = _find_leftover_lease(outcome, name)
            if leftover is not None:
                outcome = await self._write_announcement(
                    name, old_record, lease, leftover
                )
        if not isinstance(outcome, Committed):
            await self._store.revoke_lease(lease)
            raise FailoverError(
                'another instance holds the lease or changed the record',
                STEP_ANNOUNCE,
            )
        self._log.write(
            'change_announced',
            group=name,
            why=reason,
            primary=old_record.primary,
            term=old_record.term,
            token=outcome.position.fencing_token,
        )
        lease_ends_at = asked_at + LEASE_TTL_SECONDS
        return Failover(
            name,
            old_record,
            outcome.position,
            lease,
            lease_ends_at,
            is_planned,
        )

    async def _write_announcement(
        self,
        name: str,
        old_record: PrimaryRecord,
        lease: Lease,
        held_at: StorePosition,
    ) -> Committed | Conflict:
        """Write the failover lease and the changing record of a group.

        :param held_at: position of the key of the failover lease.
        """
        lease_key = f'{FAILOVER_LEASES_PREFIX}{name}'
        key = f'{GROUPS_PREFIX}{name}'
        record = GroupRecord(
            old_record.primary,
            old_record.term,
            is_changing=True,
            era=lease.era,
            addresses=self._list_log_addresses(name),
        )
        return await self._store.compare_and_set(
            {lease_key: held_at, key: old_record.position},
            {
                lease_key: encode_record(self._state.own),
                key: encode_record(record),
            },
            lease,
            (lease_key,),
        )

    async def _find_restored(
        self, failover: Failover
    ) -> tuple[Failover, tuple[str, int] | None]:
        """Look for the present primary after a restore of the store.

        :returns: the failover with the newest record that is known, and the
            primary with its term; nothing when it is disputed.
        """
        recipients = await self._list_recipients(failover, read_clock())
        old_record = failover.old_record
        announced = old_record._replace(
            is_changing=True, position=failover.announced, is_restored=False
        )
        found = await self._finder.find(
            failover.group, old_record, announced, recipients
        )
        failover = failover._replace(
            old_record=old_record._replace(
                primary=found.known.primary, term=found.known.term
            )
        )
        primary = (found.primary, found.term) if found.primary else None
        return failover, primary

    async def _replace_primary(self, failover: Failover) -> tuple[str, int]:
        """Stop the use of the old primary and return the new one's id and term.

        :raises ComfreystairError: its ``step`` names the step that failed.
        """
        if failover.old_record.primary:
            failover = await self._stop_use_of_old_primary(failover)
            failover = await self._renew_lease(failover)
        return await self._find_or_promote(failover)

    async def _renew_lease(self, failover: Failover) -> Failover:
        """Renew the lease, so that the promotion ends before it expires.

        :raises FailoverError: when the lease has expired.
        """
        asked_at = read_clock()
        is_renewed = await self._retry(
            failover, lambda: self._store.renew_lease(failover.lease)
        )
        if not is_renewed:
            raise FailoverError('the failover lease has expired', 'extend')
        return failover._replace(lease_ends_at=asked_at + LEASE_TTL_SECONDS)

    async def _stop_use_of_old_primary(self, failover: Failover) -> Failover:
        """Wait until no instance uses the old primary any more, and demote it.

        It is demoted while the proofs of silent instances expire.

        :returns: the failover with the end of the old primary's log, if it
            answered, and the targets that probably do not answer.
        """
        announced_at = read_clock()
        recipients = await self._list_recipients(failover, announced_at)
        record = failover.old_record._replace(
            is_changing=True, position=failover.announced
        )
        broadcast = await self._notices.broadcast(
            failover.group, record, set(recipients)
        )
        demotion = await curio.spawn(self._demote_old_primary, failover)
        silent = [recipients.get(one) for one in broadcast.unconfirmed]
        await self._wait_for_silent(
            failover.group, announced_at, broadcast, silent
        )
        log_end = await demotion.join()
        doubtful = self._find_doubtful_targets(failover.group, silent)
        if log_end is None:
            doubtful |= {failover.old_record.primary}
        return failover._replace(log_end=log_end, doubtful_targets=doubtful)

    async def _wait_for_silent(
        self,
        group: str,
        announced_at: float,
        broadcast: Broadcast,
        silent: list[InstanceRecord | None],
    ) -> None:
        """Wait until instances that did not confirm have stopped as well.

        :param silent: their records, nothing for an unknown one.
        """
        validity = self._find_validity(announced_at, silent)
        waited = 0.0
        if validity:
            is_contact = validity == CONTACT_TTL_SECONDS
            since = broadcast.confirmed_at if is_contact else announced_at
            waited = _find_wait(since + validity)
        # Before the restore, instances may have got proofs, and one a failover
        # lease, of which the store knows nothing any more.
        rest = LEASE_TTL_SECONDS if silent else PROOF_TTL_SECONDS
        restored_at = self._state.store_era.restored_at
        waited = max(waited, _find_wait(restored_at + rest))
        await curio.sleep(waited)
        self._log.write(
            'change_stopped_all',
            group=group,
            silent=','.join(broadcast.unconfirmed),
            validity=validity,
            waited=waited,
        )

    def _find_doubtful_targets(
        self, group: str, silent: list[InstanceRecord | None]
    ) -> frozenset[str]:
        """Return the group's targets in zones of which an instance is silent.

        Such a zone may be cut off.
        """
        zones = {record.zone for record in silent if record is not None}
        return frozenset(
            entry.ident
            for entry in self._state.list_targets(group)
            if entry.zone in zones
        )

    def _find_validity(
        self, announced_at: float, silent: list[InstanceRecord | None]
    ) -> float:
        """Return how long an instance may go on using the old primary.

        When an instance did not confirm, every proof from before the
        announcement must expire first. The same applies while this instance
        has not run for twice the validity of a proof: until then it may not
        know all instances that were listed within that time.

        Silent instances of a single zone stop sooner: they need a contact, and
        no instance of another zone gives them one after it has confirmed the
        announcement.

        :returns: seconds, from the announcement for proofs and from the last
            confirmation for contacts; 0 when all instances have stopped.
        """
        is_recently_started = (
            announced_at - self._started_at < 2 * PROOF_TTL_SECONDS
        )
        if not silent and not is_recently_started:
            return 0
        if not is_recently_started and needs_contact_of_other_zones(silent):
            return CONTACT_TTL_SECONDS
        return PROOF_TTL_SECONDS

    async def _list_recipients(
        self, failover: Failover, announced_at: float
    ) -> dict[str, InstanceRecord | None]:
        """Return the other instances to tell of a failover, by address.

        These are the instances that may hold a proof from before the
        announcement. Instances that were listed within twice the validity of a
        proof are included, since the store may have dropped their
        registrations during an outage. Those that have stopped are not, but
        their followers are, without a record.
        """
        items = await self._retry(
            failover,
            lambda: self._store.list(INSTANCES_PREFIX, is_stale_ok=False),
        )
        listed = [decode_instance(item) for item in items.values()]
        oldest = announced_at - 2 * PROOF_TTL_SECONDS
        recent = [
            record
            for record, seen_at in self._state.recently_listed.values()
            if seen_at > oldest
        ]
        recipients = list_recipients(
            one for one in (*recent, *listed) if one is not None
        )
        recipients.pop(self._state.own.address, None)
        return recipients

    async def _demote_old_primary(self, failover: Failover) -> Position | None:
        """Demote the old primary.

        :returns: the end of its log, or nothing when it did not answer.
        """
        entry = self._state.targets.get(failover.old_record.primary)
        if entry is None:
            return None
        report = await self._prober.step_down(
            entry, failover.old_record.term + 1
        )
        self._log.write(
            'change_stepped_down',
            group=failover.group,
            target=entry.ident,
            is_answered=report is not None,
            received=report.received if report else None,
        )
        return report.received if report else None

    async def _find_or_promote(self, failover: Failover) -> tuple[str, int]:
        """Find a target that is primary already, or promote one.

        A target is promoted once a successor has received the old primary's
        log, the time for this has passed, or the end of the log is not known.
        In a group with synchronous replication it must be proved to hold all
        acknowledged commits. In a group without an old primary, none is
        promoted.

        :returns: the id of the new primary and its term.
        :raises FailoverError: when there is none before the lease expires.
        """
        timeout = _CATCH_UP_TIMEOUTS_SECONDS[failover.is_planned]
        catch_up_ends_at = read_clock() + timeout
        failed_targets: set[str] = set()
        while read_clock() < failover.lease_ends_at - _LEASE_MARGIN_SECONDS:
            statuses = await self._prober.query_group(
                failover.group, failover.doubtful_targets
            )
            other_primary = find_other_primary(
                statuses, failover.old_record.primary, failover.old_record.term
            )
            if other_primary is not None:
                return other_primary.ident, other_primary.term
            failover = await self._find_log_end(failover, statuses)
            may_promote = self._may_promote(
                failover, statuses, read_clock() >= catch_up_ends_at
            )
            if failover.old_record.primary and may_promote:
                promoted = await self._promote_successor(
                    failover, statuses, failed_targets
                )
                if promoted is not None:
                    return promoted
            await curio.sleep(_POLL_INTERVAL_SECONDS)
        raise FailoverError(
            'no target became primary before the lease expired', 'elect'
        )

    def _select_candidates(
        self, group: str, statuses: list[ReplicationStatus]
    ) -> list[ReplicationStatus]:
        """Return the statuses without those of targets that may not lead."""
        allowed = {one.ident for one in self._state.list_successors(group)}
        return [status for status in statuses if status.ident in allowed]

    def _may_promote(
        self,
        failover: Failover,
        statuses: list[ReplicationStatus],
        is_overdue: bool,
    ) -> bool:
        """Tell whether a successor has received enough to be promoted.

        :param is_overdue: the time for catching up has passed.
        """
        candidates = self._select_candidates(failover.group, statuses)
        has_whole_log = has_caught_up(
            candidates, failover.log_end, failover.old_record.primary
        )
        if self._must_catch_up(failover, statuses):
            return failover.log_end is not None and has_whole_log
        return is_overdue or has_whole_log

    def _must_catch_up(
        self, failover: Failover, statuses: Iterable[ReplicationStatus]
    ) -> bool:
        """Tell whether nothing may be lost, however long it takes.

        That is so when the old primary runs and only its zone is evacuated: it
        keeps its log and can lead again.
        """
        old = failover.old_record.primary
        entry = self._state.targets.get(old)
        if entry is None or entry.is_leaving:
            return False
        is_running = any(status.ident == old for status in statuses)
        return is_running and self._state.evacuations.is_evacuated(entry.zone)

    async def _promote_successor(
        self,
        failover: Failover,
        statuses: list[ReplicationStatus],
        failed_targets: set[str],
    ) -> tuple[str, int] | None:
        """Promote the target with the most advanced log.

        :param failed_targets: ids of targets whose promotion has failed in
            this failover; the target is added when its promotion fails.
        :returns: the target's id and term; nothing when no target can be
            promoted or the promotion failed.
        """
        successor = self._choose_successor(failover, statuses, failed_targets)
        if successor is None:
            return None
        term = await self._promote_target(failover, successor)
        if not term:
            failed_targets.add(successor.ident)
            return None
        return successor.ident, term

    def _choose_successor(
        self,
        failover: Failover,
        statuses: list[ReplicationStatus],
        failed_targets: set[str],
    ) -> ReplicationStatus | None:
        old_primary = failover.old_record.primary
        candidates = self._select_candidates(failover.group, statuses)
        preferred = self._state.list_home_targets(failover.group)
        if not self._state.find_sync_replicas(failover.group):
            return choose_successor(
                candidates, old_primary, failed_targets, preferred
            )
        durable_end = self._durable_ends.find(
            failover.group, old_primary, failover.log_end, statuses
        )
        if durable_end is None:
            return None
        return choose_durable_successor(
            candidates, old_primary, failed_targets, durable_end, preferred
        )

    async def _find_log_end(
        self, failover: Failover, statuses: list[ReplicationStatus]
    ) -> Failover:
        """Look for the end of the old primary's log, if it must be known.

        The old primary may have been busy or unreachable when it was demoted.
        """
        old = failover.old_record.primary
        status = next((one for one in statuses if one.ident == old), None)
        is_known = failover.log_end is not None
        is_needed = self._state.find_sync_replicas(
            failover.group
        ) or self._must_catch_up(failover, statuses)
        if status is None or is_known or not is_needed:
            return failover
        if not status.is_primary:
            return failover._replace(log_end=status.received)
        return failover._replace(
            log_end=await self._demote_old_primary(failover)
        )

    def _list_log_addresses(self, group: str) -> tuple[str, ...]:
        if not self._state.find_sync_replicas(group):
            return ()
        return tuple(sorted(self._state.find_replica_logs(group).addresses))

    async def _promote_target(
        self, failover: Failover, successor: ReplicationStatus
    ) -> int:
        """Promote a target and wait until it reports itself as primary.

        :returns: its term; 0 when it is not running or does not become primary
            in time.
        """
        is_running = await self._order_promotion(failover, successor.ident)
        self._log.write(
            'change_promoted',
            group=failover.group,
            target=successor.ident,
            received=successor.received,
            token=failover.announced.fencing_token,
            is_running=is_running,
        )
        if not is_running:
            return 0
        give_up_at = read_clock() + _PROMOTION_TIMEOUT_SECONDS
        while read_clock() < give_up_at:
            entry = self._state.targets.get(successor.ident)
            report = await self._prober.query_status(entry) if entry else None
            if _is_promoted(report, successor, failover.old_record.term):
                return report.term
            await curio.sleep(_POLL_INTERVAL_SECONDS)
        return 0

    async def _order_promotion(self, failover: Failover, target: str) -> bool:
        """Order a promotion, unless the failover lease has been lost.

        :returns: whether the target is running.
        :raises FailoverError: when the store has lost the lease.
        """
        if failover.lease.era != self._state.store_era.current:
            raise FailoverError('the store has lost the lease', 'promote')
        group = self._state.find_group(failover.group)
        group.is_promoting = True
        try:
            return await self._promote(
                failover.group, target, failover.announced.fencing_token
            )
        finally:
            group.is_promoting = False

    async def _write_record(
        self, failover: Failover, primary: str, term: int
    ) -> PrimaryRecord:
        """Write the group's new record and return it.

        :raises FailoverError: when another instance has changed the record.
        """
        key = f'{GROUPS_PREFIX}{failover.group}'
        era = failover.announced.era
        content = encode_record(
            GroupRecord(
                primary,
                term,
                is_changing=False,
                era=era,
                addresses=self._list_log_addresses(failover.group),
            )
        )
        outcome = await self._retry(
            failover,
            lambda: self._store.compare_and_set(
                {key: failover.announced}, {key: content}
            ),
        )
        if isinstance(outcome, Committed):
            return PrimaryRecord(primary, term, False, outcome.position)
        # An earlier attempt of this write may have taken effect although its
        # answer was lost. Then the conflict is with the instance's own write.
        found = decode_primary_record(outcome.items.get(key))
        if found.primary != primary or found.is_changing:
            raise FailoverError(
                "another instance has changed the group's record", 'write'
            )
        return found

    async def _retry(self, failover: Failover, call):
        """Repeat a call until it succeeds or the lease is about to expire.

        :param call: a read or a conditional write, which is safe to repeat.
        :raises FailoverError: with the last error, when the lease is about to
            expire.
        """
        while True:
            try:
                return await call()
            except ComfreystairError as error:
                if (
                    read_clock()
                    > failover.lease_ends_at - _LEASE_MARGIN_SECONDS
                ):
                    raise FailoverError(str(error), 'store') from error
            await curio.sleep(_POLL_INTERVAL_SECONDS)


def list_recipients(
    records: Iterable[InstanceRecord],
) -> dict[str, InstanceRecord | None]:
    """Return whom to tell of a failover, by address.

    Instances that have stopped are not told. Their followers are, without a
    record, as they may not be registered.

    :param records: registrations; later ones replace earlier ones.
    """
    registered = list(records)
    stopped = [one for one in registered if one.is_stopped]
    runs = {one.incarnation for one in stopped}
    recipients: dict[str, InstanceRecord | None] = {
        address: None for one in stopped for address in one.followers
    }
    recipients.update(
        (one.address, one) for one in registered if one.incarnation not in runs
    )
    return recipients


def needs_contact_of_other_zones(
    silent: Iterable[InstanceRecord | None],
) -> bool:
    """Tell whether silent instances can only be in contact with others.

    They can't confirm a primary to each other if all are of one zone. An
    instance without a record may be of any zone and any version.
    """
    records = list(silent)
    if not all(one is not None and one.needs_contact for one in records):
        return False
    return len({one.zone for one in records}) == 1


def _find_leftover_lease(
    conflict: Conflict, group: str
) -> StorePosition | None:
    """Return where a failover lease from before a restore is stored.

    A lease of the present era was written together with the group's record.
    """
    stored = conflict.items.get(f'{FAILOVER_LEASES_PREFIX}{group}')
    record = decode_primary_record(
        conflict.items.get(f'{GROUPS_PREFIX}{group}')
    )
    is_leftover = stored is not None and record.is_restored
    return stored.position if is_leftover else None


def _find_wait(expires_at: float) -> float:
    """Return how long to wait until a proof has certainly expired."""
    return max(expires_at + _PROOF_MARGIN_SECONDS - read_clock(), 0)


def _is_promoted(
    report: TargetReport | None, successor: ReplicationStatus, old_term: int
) -> bool:
    """Tell whether a promotion has taken effect.

    The promotion of a target that was primary already does not change its
    term; any other target must report a term above the old primary's. The
    primary of an earlier term does not count as primary.
    """
    if report is None or not report.is_primary:
        return False
    was_primary = successor.is_primary and successor.term >= old_term
    return was_primary or report.term > old_term
