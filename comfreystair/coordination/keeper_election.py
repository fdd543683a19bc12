"""Have one keeper of tokens in each availability zone.

The duty is a leased key. It passes on when the lease ends, or at once when
the holder is proved to have given up: it says so, or another life of its
process answers.
"""

from typing import Final

import curio

from comfreystair.clocks import read_clock
from comfreystair.coordination.jitter import add_jitter
from comfreystair.coordination.rate_limiter import TokenKeeper
from comfreystair.coordination.records import (
    KEEPERS_PREFIX,
    Committed,
    Conflict,
    InstanceRecord,
    StoreClient,
    StoredValue,
    decode_instance,
    encode_record,
)
from comfreystair.coordination.rendezvous import find_rank
from comfreystair.coordination.state import FleetState
from comfreystair.exceptions import ComfreystairError
from comfreystair.observability.decisions import DecisionLog
from comfreystair.peers import PeerClients, PeerError
from comfreystair.peers.messages import definitions

# Life of the duty in the store without renewal, in seconds.
_LEASE_SECONDS: Final = 6.0
# A holder gives up after this long without renewal, in seconds: a little less
# than requests with keys go on without a proof.
_HOLD_SECONDS: Final = 4.2
_RENEW_SECONDS: Final = 1.5
_CHECK_SECONDS: Final = 0.5
# Each later rank waits this much longer before it takes a free duty.
_RANK_SECONDS: Final = 0.4
# Ranks that ask whether the holder still runs.
_MOST_WATCHERS: Final = 2
_ASK_SECONDS: Final = 0.4


class KeeperElection:
    """Take, keep and pass on the duty of this instance's zone."""

    def __init__(
        self,
        state: FleetState,
        store: StoreClient,
        peers: PeerClients,
        keeper: TokenKeeper,
        log: DecisionLog,
        settle_seconds: float = 0,
    ) -> None:
        """Take the parts.

        :param settle_seconds: after the start, to get to know the others,
            where there is no trace of an earlier holder.
        """
        self._state = state
        self._store = store
        self._peers = peers
        self._keeper = keeper
        self._log = log
        self._key = f'{KEEPERS_PREFIX}{state.own.zone}'
        self._lease = 0
        self._renewed_at = float('-inf')
        self._wanted_since: float | None = None
        self._last_holder: InstanceRecord | None = None
        self._started_at = read_clock()
        self._settled_at = self._started_at + settle_seconds

    async def run(self) -> None:
        """Follow the duty until cancelled."""
        while True:
            try:
                await self._step()
            except ComfreystairError as error:
                self._log.write('keeper_step_failed', reason=error)
            await curio.sleep(add_jitter(_CHECK_SECONDS))

    async def resign(self) -> None:
        """Give the duty up."""
        self._keeper.stop()
        if self._lease:
            ended = self._lease
            self._lease = 0
            await self._store.revoke_lease(ended)

    async def _step(self) -> None:
        if self._state.is_draining:
            return
        if self._lease:
            await self._renew()
            return
        holder = self._state.keepers.get(self._state.own.zone)
        if holder is not None:
            self._last_holder = holder
            if not await self._is_ended(holder):
                self._wanted_since = None
                return
        now = read_clock()
        if holder is None and now < self._settled_at:
            return
        if self._wanted_since is None:
            self._wanted_since = now
        if now - self._wanted_since >= self._find_rank() * _RANK_SECONDS:
            await self._take()

    async def _renew(self) -> None:
        now = read_clock()
        if now - self._renewed_at < _RENEW_SECONDS:
            return
        is_lapsed = now - self._renewed_at >= _HOLD_SECONDS
        if not is_lapsed and await self._store.renew_lease(self._lease):
            self._renewed_at = now
            if self._keeper.extend(now + _HOLD_SECONDS):
                return
        # Whoever asks may take the duty from now on, so it is not resumed.
        self._lease = 0
        self._keeper.stop()
        self._started_at = now
        self._log.write('keeper_lapsed', zone=self._state.own.zone)

    async def _take(self) -> None:
        own = self._state.own
        asked_at = read_clock()
        lease = await self._store.grant_lease(_LEASE_SECONDS)
        outcome = await self._swap(lease, 0)
        revision = 0
        if isinstance(outcome, Conflict):
            item = outcome.items.get(self._key)
            if item is None or not await self._is_item_ended(item):
                await self._store.revoke_lease(lease)
                return
            revision = item.revision
            outcome = await self._swap(lease, revision)
        if not isinstance(outcome, Committed):
            await self._store.revoke_lease(lease)
            return
        since = await self._find_start()
        self._lease = lease
        self._renewed_at = asked_at
        self._state.keepers = {**self._state.keepers, own.zone: own}
        self._keeper.start(since, asked_at + _HOLD_SECONDS)
        self._log.write(
            'keeper_taken', zone=own.zone, was_proved_ended=bool(revision)
        )

    async def _swap(self, lease: int, revision: int) -> Committed | Conflict:
        content = encode_record(self._state.own)
        return await self._store.compare_and_set(
            {self._key: revision}, {self._key: content}, lease, (self._key,)
        )

    async def _find_start(self) -> float:
        """Return since when no earlier holder hands out tokens.

        Buckets fill from then on.

        The store may have ended its lease early, during an outage.
        """
        last = self._last_holder
        if last is not None and last.name == self._state.own.name:
            return self._started_at
        if last is None or await self._is_ended(last):
            return read_clock()
        return read_clock() + _LEASE_SECONDS

    async def _is_item_ended(self, item: StoredValue) -> bool:
        holder = decode_instance(item)
        if holder is None:
            return False
        self._state.keepers = {
            **self._state.keepers,
            self._state.own.zone: holder,
        }
        return await self._is_ended(holder)

    async def _is_ended(self, holder) -> bool:
        """Tell whether a holder is proved to have given up."""
        own = self._state.own
        if holder.name == own.name:
            is_same = holder.incarnation == own.incarnation
            return not (is_same and self._lease)
        if self._find_rank() > _MOST_WATCHERS:
            return False
        return await is_ended(self._peers, holder)

    def _find_rank(self) -> int:
        state = self._state
        names = [
            one.name
            for one in state.instances.values()
            if one.zone == state.own.zone
        ]
        return find_rank(state.own.zone, names, state.own.name)


async def is_ended(peers: PeerClients, holder: InstanceRecord) -> bool:
    """Tell whether a holder is proved to have given up the duty.

    Another life's answer proves it as well; a refused connection does not, as
    a partition may refuse connections to a process that still runs.
    """
    try:
        answer = await peers.call(
            holder.address,
            'identify',
            definitions.Empty(),
            definitions.Identity,
            _ASK_SECONDS,
        )
    except PeerError:
        return False
    return answer.incarnation != holder.incarnation or not answer.is_keeper
