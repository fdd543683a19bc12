"""Election of the keeper of each availability zone.

The keeper grants the zone's rate limit tokens. It holds a key in the store
that is bound to a lease. Another instance takes the key over when the lease
expires, or at once when the holder has provably stopped: it answers that it is
not the keeper any more, or its process has restarted and answers with another
incarnation.
"""

from typing import Final, NamedTuple

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.store_position import ABSENT, StorePosition
from comfreystair.coordination.concurrency import run_concurrently
from comfreystair.coordination.jitter import add_jitter
from comfreystair.coordination.rate_limiter import TokenKeeper
from comfreystair.coordination.records import (
    KEEPERS_PREFIX,
    Committed,
    Conflict,
    InstanceRecord,
    Lease,
    StoreClient,
    StoredValue,
    decode_instance,
    encode_record,
)
from comfreystair.coordination.rendezvous import find_rank
from comfreystair.coordination.state import FleetState
from comfreystair.observability.decisions import DecisionLog
from comfreystair.peers import PeerClients, PeerError
from comfreystair.peers.messages import definitions
from comfreystair.tasks import describe_error

# TTL of the keeper lease in the store.
_LEASE_TTL_SECONDS: Final = 6.0
# A keeper stops this long after its last renewal. This is a little less than
# the time for which requests with keys are still served without a proof.
_KEEPER_TTL_SECONDS: Final = 4.2
_RENEW_INTERVAL_SECONDS: Final = 1.5
_CHECK_INTERVAL_SECONDS: Final = 0.5
# Each further rank waits this much longer before it acquires a free lease.
_RANK_DELAY_SECONDS: Final = 0.4
# Highest rank that asks the holder whether it still is the keeper.
_MAX_ASKING_RANK: Final = 2
_REQUEST_TIMEOUT_SECONDS: Final = 0.4
# Timeout of the question to all instances of the zone. Some may be down, and
# no tokens are granted meanwhile.
_SURVEY_TIMEOUT_SECONDS: Final = 0.2


class _Survey(NamedTuple):
    """Answers of the zone's other instances.

    :param is_complete: all of them have answered.
    """

    answers: list
    is_complete: bool


class KeeperElection:
    """Acquires, renews and releases the keeper lease of the own zone."""

    def __init__(
        self,
        state: FleetState,
        store: StoreClient,
        peers: PeerClients,
        keeper: TokenKeeper,
        log: DecisionLog,
        settle_seconds: float = 0,
    ) -> None:
        """Initialise an election in which this instance holds no lease.

        :param state: this instance's view of the fleet.
        :param store: holds the lease.
        :param peers: clients of the other instances.
        :param keeper: token buckets, started and stopped with the lease.
        :param log: receives an event when the lease is acquired or lost.
        :param settle_seconds: time after the start in which this instance does
            not acquire the lease while no holder is known, because it must
            learn of the other instances first.
        """
        self._state = state
        self._store = store
        self._peers = peers
        self._keeper = keeper
        self._log = log
        self._key = f'{KEEPERS_PREFIX}{state.own.zone}'
        self._lease: Lease | None = None
        self._renewed_at = float('-inf')
        self._vacant_since: float | None = None
        self._last_holder: InstanceRecord | None = None
        self._not_granting_since = read_clock()
        self._settles_at = self._not_granting_since + settle_seconds

    async def run(self) -> None:
        """Renew or try to acquire the lease periodically until cancelled."""
        while True:
            try:
                await self._renew_or_acquire()
            except Exception as error:
                self._log.write(
                    'keeper_step_failed', reason=describe_error(error)
                )
            await curio.sleep(add_jitter(_CHECK_INTERVAL_SECONDS))

    async def resign(self) -> None:
        """Stop being the keeper and revoke the lease.

        :raises ComfreystairError: when the store does not answer.
        """
        self._keeper.stop()
        lease = self._lease
        if lease is not None:
            self._lease = None
            await self._store.revoke_lease(lease)

    async def _renew_or_acquire(self) -> None:
        """Renew the lease, or acquire it when it has no running holder.

        An instance of a further rank waits longer before it acquires the
        lease. A draining instance does nothing.
        """
        if self._state.is_draining:
            return
        if self._lease is not None:
            await self._renew(self._lease)
            return
        holder = self._state.keepers.get(self._state.own.zone)
        if holder is not None:
            self._last_holder = holder
            if not await self._has_stopped(holder):
                self._vacant_since = None
                return
        now = read_clock()
        if holder is None and now < self._settles_at:
            return
        if self._vacant_since is None:
            self._vacant_since = now
        if now - self._vacant_since >= self._find_rank() * _RANK_DELAY_SECONDS:
            await self._acquire()

    async def _renew(self, lease: Lease) -> None:
        """Renew the lease if it is due; stop being the keeper if it is lost.

        A lease that the store has lost in a restore is replaced, if no other
        instance has become the keeper. The buckets are kept: whoever does so
        asks first, and grants nothing while this instance may.
        """
        now = read_clock()
        is_lost = lease.era != self._state.store_era.current
        if not is_lost and now - self._renewed_at < _RENEW_INTERVAL_SECONDS:
            return
        is_expired = now - self._renewed_at >= _KEEPER_TTL_SECONDS
        if not is_expired and (
            await self._store.renew_lease(lease)
            or await self._replace_lost_lease(lease)
        ):
            self._renewed_at = now
            if self._keeper.extend(now + _KEEPER_TTL_SECONDS):
                return
        # From now on this instance answers that it is not the keeper, and any
        # other may take the lease over. So this instance does not continue
        # with the old lease.
        self._lease = None
        self._keeper.stop()
        self._not_granting_since = now
        self._log.write('keeper_lapsed', zone=self._state.own.zone)

    async def _replace_lost_lease(self, lost: Lease) -> bool:
        """Hold the key with a new lease after a restore of the store.

        :returns: whether the key was free, or still held by this instance. A
            lease of the present era has expired, and is not replaced.
        """
        if lost.era == self._state.store_era.current:
            return False
        lease = await self._store.grant_lease(_LEASE_TTL_SECONDS)
        outcome = await self._write_holder(lease, ABSENT)
        if isinstance(outcome, Conflict):
            stored = outcome.items.get(self._key)
            if (
                stored is not None
                and decode_instance(stored) == self._state.own
            ):
                outcome = await self._write_holder(lease, stored.position)
        if not isinstance(outcome, Committed):
            await self._store.revoke_lease(lease)
            return False
        self._lease = lease
        self._log.write('keeper_lease_replaced', zone=self._state.own.zone)
        return True

    async def _acquire(self) -> None:
        """Acquire the lease and become the keeper.

        The key is replaced if its holder has provably stopped. Otherwise the
        attempt ends without effect.
        """
        own = self._state.own
        asked_at = read_clock()
        lease = await self._store.grant_lease(_LEASE_TTL_SECONDS)
        position = ABSENT
        outcome = await self._write_holder(lease, position)
        if isinstance(outcome, Conflict):
            stored = outcome.items.get(self._key)
            if stored is None or not await self._has_stored_holder_stopped(
                stored
            ):
                await self._store.revoke_lease(lease)
                return
            position = stored.position
            outcome = await self._write_holder(lease, position)
        if not isinstance(outcome, Committed):
            await self._store.revoke_lease(lease)
            return
        since = await self._find_start_time()
        self._lease = lease
        self._renewed_at = asked_at
        self._state.keepers = {**self._state.keepers, own.zone: own}
        self._keeper.start(since, asked_at + _KEEPER_TTL_SECONDS)
        self._log.write(
            'keeper_taken', zone=own.zone, was_proved_ended=position.is_set
        )

    async def _write_holder(
        self, lease: Lease, position: StorePosition
    ) -> Committed | Conflict:
        """Write this instance as holder if the key still has a position."""
        content = encode_record(self._state.own)
        return await self._store.compare_and_set(
            {self._key: position}, {self._key: content}, lease, (self._key,)
        )

    async def _find_start_time(self) -> float:
        """Return the time from which no earlier holder grants tokens.

        Buckets fill from then on. If another instance of the zone answers as
        keeper, it is when the lease of that one must have expired. One that
        does not answer may be a keeper that the store has forgotten, which
        stops its TTL after the restore at the latest.
        """
        others = await self._ask_instances()
        if any(one.is_keeper for one in others.answers):
            return read_clock() + _LEASE_TTL_SECONDS
        since = await self._find_end_of_last_term()
        if others.is_complete:
            return since
        restored_at = self._state.store_era.restored_at
        return max(since, restored_at + _KEEPER_TTL_SECONDS)

    async def _find_end_of_last_term(self) -> float:
        """Return when the last known holder has certainly stopped.

        If this instance was the last holder, it is the time at which it
        started or stopped being the keeper. If another holder is not known to
        have stopped, it lies a full lease TTL ahead, since the store may have
        ended that lease early during an outage.
        """
        last = self._last_holder
        if last is not None and last.name == self._state.own.name:
            return self._not_granting_since
        if last is None or await self._has_stopped(last):
            return read_clock()
        return read_clock() + _LEASE_TTL_SECONDS

    async def _ask_instances(self) -> '_Survey':
        """Ask the zone's other instances whether one of them is the keeper.

        After a restore of the store the key may name an earlier keeper, or
        none, while one that the store has forgotten still grants tokens.
        """
        own = self._state.own
        others = [
            one
            for one in self._state.instances.values()
            if one.zone == own.zone and one.name != own.name
        ]
        answers: list = []

        async def ask(instance: InstanceRecord) -> None:
            answers.append(
                await self._peers.call(
                    instance.address,
                    'identify',
                    definitions.Empty(),
                    definitions.Identity,
                    _SURVEY_TIMEOUT_SECONDS,
                )
            )

        await run_concurrently(ask, others)
        return _Survey(answers, len(answers) == len(others))

    async def _has_stored_holder_stopped(self, stored: StoredValue) -> bool:
        """Record the holder in the store and tell whether it has stopped.

        A holder that can't be decoded counts as running.
        """
        holder = decode_instance(stored)
        if holder is None:
            return False
        self._state.keepers = {
            **self._state.keepers,
            self._state.own.zone: holder,
        }
        return await self._has_stopped(holder)

    async def _has_stopped(self, holder) -> bool:
        """Tell whether a holder has provably stopped being the keeper.

        An earlier run of this instance has stopped. Other holders are asked,
        but only by the first ranks.
        """
        own = self._state.own
        if holder.name == own.name:
            is_same = holder.incarnation == own.incarnation
            return not (is_same and self._lease is not None)
        if self._find_rank() > _MAX_ASKING_RANK:
            return False
        return await has_stopped(self._peers, holder)

    def _find_rank(self) -> int:
        """Return this instance's rank in its zone, 0 for the first."""
        state = self._state
        names = [
            one.name
            for one in state.instances.values()
            if one.zone == state.own.zone
        ]
        return find_rank(state.own.zone, names, state.own.name)


async def has_stopped(peers: PeerClients, holder: InstanceRecord) -> bool:
    """Ask a holder whether it has stopped being the keeper.

    An answer with another incarnation proves it as well, since the process has
    restarted. A refused connection does not: during a network partition,
    connections to a process that still runs may be refused.
    """
    try:
        answer = await peers.call(
            holder.address,
            'identify',
            definitions.Empty(),
            definitions.Identity,
            _REQUEST_TIMEOUT_SECONDS,
        )
    except PeerError:
        return False
    return answer.incarnation != holder.incarnation or not answer.is_keeper
