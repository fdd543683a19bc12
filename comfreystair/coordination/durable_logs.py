"""Find which targets hold all acknowledged commits of a group.

Only for groups with synchronous replication. See
:mod:`comfreystair.controllers.replica_logs` for what proves it.
"""

from collections.abc import Iterable
from typing import Final

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.positions import Position
from comfreystair.controllers.primary_failover import ReplicationStatus
from comfreystair.controllers.replica_logs import (
    find_durable_end,
    hold_position,
)
from comfreystair.coordination.exceptions import FailoverError
from comfreystair.coordination.jitter import add_jitter
from comfreystair.coordination.records import (
    GROUPS_PREFIX,
    StoreClient,
    decode_log_addresses,
)
from comfreystair.coordination.rendezvous import find_rank
from comfreystair.coordination.state import FleetState
from comfreystair.coordination.target_prober import TargetProber
from comfreystair.observability.decisions import DecisionLog
from comfreystair.tasks import contain_errors

# ``step`` of the error when no replica follows a primary that leaves.
STEP_PREPARE: Final = 'prepare'
# Between asking a primary and its replicas for their logs, in seconds.
_FOLLOW_SECONDS: Final = 0.1
# For how long a busy target is queried again, in seconds.
_BUSY_SECONDS: Final = 0.5
# Interval at which it is checked whether lost logs may be forgotten, in
# seconds.
_SETTLE_INTERVAL_SECONDS: Final = 1.0
# Instances up to this rank check it by queries.
_MAX_SETTLING_RANK: Final = 2


class DurableEndFinder:
    """Proves where the acknowledged commits of a group end."""

    def __init__(
        self,
        state: FleetState,
        store: StoreClient,
        prober: TargetProber,
        log: DecisionLog,
    ) -> None:
        """Initialise a finder.

        :param state: this instance's view of the fleet.
        :param store: holds the groups' records.
        :param prober: queries the targets.
        :param log: receives an event when nothing is proved.
        """
        self._state = state
        self._store = store
        self._prober = prober
        self._log = log

    async def prepare(self, group: str, is_planned: bool) -> None:
        """Make ready for a failover, before it is announced.

        A primary that leaves stays in use until a replica follows it: one that
        has stopped sends no more commits to a replica that lags.

        :raises FailoverError: when no replica follows.
        """
        await read_log_addresses(self._state, self._store, group)
        record = self._state.find_group(group).primary_tracker.record
        if is_planned and not await self._is_followed(group, record.primary):
            raise FailoverError('no replica follows the primary', STEP_PREPARE)

    def find(
        self,
        group: str,
        old_primary: str,
        log_end: Position | None,
        statuses: Iterable[ReplicationStatus],
    ) -> Position | None:
        """Return a position up to which a log holds all acknowledged commits.

        :param log_end: end of the old primary's log, if it is known.
        :returns: nothing when no position is proved.
        """
        replicas = [one for one in statuses if one.ident != old_primary]
        received = [one.received for one in replicas]
        self._settle_by_sample(group, received)
        unheard = self._state.find_replica_logs(group).list_unheard(
            {one.address for one in replicas}, old_primary
        )
        durable_end = find_durable_end(
            received,
            len(unheard),
            log_end,
            self._state.find_sync_replicas(group),
        )
        if durable_end is None:
            self._log.write(
                'promotion_unproved',
                group=group,
                unheard=','.join(sorted(unheard)),
                reports=len(replicas),
            )
        return durable_end

    async def _is_followed(self, group: str, primary: str) -> bool:
        """Tell whether another target has what the primary had a moment ago.

        Also true when the primary does not tell what it has.
        """
        ends = [
            one.received
            for one in await self._query(group)
            if one.ident == primary
        ]
        await curio.sleep(_FOLLOW_SECONDS)
        return not ends or any(
            one.received >= ends[0]
            for one in await self._query(group)
            if one.ident != primary and not one.is_leaving
        )

    async def _query(self, group: str) -> list[ReplicationStatus]:
        return await self._prober.query_group(group, busy_seconds=_BUSY_SECONDS)

    def _settle_by_sample(self, group: str, received: list[Position]) -> None:
        """Forget losses that a position of the primary shows to be harmless."""
        logs = self._state.find_replica_logs(group)
        tracker = self._state.find_group(group).primary_tracker
        for lost_at in sorted(logs.losses.values()):
            sample = tracker.find_sample(lost_at)
            if sample is not None and hold_position(
                received,
                sample.position,
                self._state.find_sync_replicas(group),
            ):
                logs.settle(sample.asked_at)


class LostLogSettler:
    """Checks whether the logs that were lost are needed no more.

    Otherwise a primary that crashes later could not be replaced without them.
    """

    def __init__(
        self,
        state: FleetState,
        store: StoreClient,
        prober: TargetProber,
        log: DecisionLog,
    ) -> None:
        """Initialise a settler.

        :param state: this instance's view of the fleet.
        :param store: holds the groups' records.
        :param prober: queries the targets.
        :param log: receives an event when losses are settled.
        """
        self._state = state
        self._store = store
        self._prober = prober
        self._log = log
        self._groups_read: set[str] = set()

    async def run(self) -> None:
        """Check all groups periodically until cancelled."""
        while True:
            await curio.sleep(add_jitter(_SETTLE_INTERVAL_SECONDS))
            groups = filter(
                self._state.find_sync_replicas, list(self._state.groups)
            )
            for group in groups:
                with contain_errors('settle_losses', group):
                    await self._settle(group)

    async def _settle(self, group: str) -> None:
        logs = self._state.find_replica_logs(group)
        own = self._state.own.name
        rank = find_rank(group, self._state.instances, own)
        if rank > _MAX_SETTLING_RANK:
            return
        if group not in self._groups_read:
            # Logs may have been lost before this instance started.
            await read_log_addresses(self._state, self._store, group)
            self._groups_read.add(group)
        if not logs.losses:
            return
        asked_at = read_clock()
        end = await self._find_end(group)
        if end is None:
            return
        await curio.sleep(_FOLLOW_SECONDS)
        received = [
            one.received
            for one in await self._prober.query_group(group)
            if not one.is_primary
        ]
        sync_replicas = self._state.find_sync_replicas(group)
        if hold_position(received, end, sync_replicas):
            logs.settle(asked_at)
            self._log.write('losses_settled', group=group, end=end)

    async def _find_end(self, group: str) -> Position | None:
        """Return the end of the primary's log, if the primary is proved."""
        tracker = self._state.find_group(group).primary_tracker
        statuses = await self._prober.query_group(group)
        # A primary that was replaced meanwhile does not know the last commits.
        primary = tracker.find_primary(read_clock())
        ends = [
            one.received
            for one in statuses
            if one.ident == primary and one.is_primary
        ]
        return ends[0] if ends else None


async def read_log_addresses(
    state: FleetState, store: StoreClient, group: str
) -> None:
    """Learn from a group's record where its log was kept.

    :raises ComfreystairError: when the store does not answer.
    """
    stored = await store.read(f'{GROUPS_PREFIX}{group}')
    state.find_replica_logs(group).add_addresses(
        decode_log_addresses(stored), read_clock()
    )
