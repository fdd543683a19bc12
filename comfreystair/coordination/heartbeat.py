"""Keep the proofs of the plan and of every group's primary young.

One conditional call without writes names the revisions that this instance
knows. Success proves that all are the newest; a conflict brings those that
are newer. Its own registration is among them, so a proof implies that whoever
replaces a primary finds this instance in the list.
"""

from typing import Final

import curio
import msgspec

from comfreystair.clocks import read_clock
from comfreystair.coordination.jitter import add_jitter
from comfreystair.coordination.plan_cache import PlanCache
from comfreystair.coordination.proofs import (
    ProofExchange,
    update_primary_record,
)
from comfreystair.coordination.records import (
    GROUPS_PREFIX,
    INSTANCES_PREFIX,
    Committed,
    Conflict,
    StoreClient,
    StoredValue,
    decode_primary_record,
    encode_record,
)
from comfreystair.coordination.state import FleetState
from comfreystair.exceptions import ComfreystairError
from comfreystair.observability.decisions import DecisionLog

# Time between proofs, in seconds: a quarter of a proof's life.
_PULSE_SECONDS: Final = 0.7
_RETRY_SECONDS: Final = 0.15
# Between two reads, however urgently they are asked for, in seconds.
_LEAST_PAUSE_SECONDS: Final = 0.05
# Life of this instance's registration without renewal, in seconds: twice a
# proof's, so that no proof outlives the registration it implies.
LEASE_TTL_SECONDS: Final = 7.0
_RENEW_SECONDS: Final = 2.8
_MOST_ATTEMPTS: Final = 3
# With a proof younger than this another instance is asked before the store is,
# in seconds: half of a proof's life.
_PATIENT_SECONDS: Final = 1.5
# Keys in one call at most, as the store states it.
_MOST_KEYS: Final = 32


class Heartbeat:
    """Read proofs from the store."""

    def __init__(
        self,
        state: FleetState,
        store: StoreClient,
        plan_key: str,
        plans: PlanCache,
        exchange: ProofExchange,
        log: DecisionLog,
    ) -> None:
        """Take the parts."""
        self._exchange = exchange
        self._state = state
        self._store = store
        self._plan_key = plan_key
        self._plans = plans
        self._log = log
        self._own_key = f'{INSTANCES_PREFIX}{state.own.name}'
        self._own_revision = 0
        self._lease = 0
        self._renewed_at = float('-inf')
        self._tried_at = float('-inf')
        self._wake = curio.Event()
        self._is_reached = False

    @property
    def is_reached(self) -> bool:
        """Tell whether the last proof came, from the store or from others."""
        return self._is_reached

    async def refresh_now(self) -> None:
        """Read a proof now."""
        await self._wake.set()

    async def announce_shutdown(self) -> None:
        """Tell the others that this instance is shutting down.

        Without a registration there is no lease that a record would end with.
        """
        if not self._own_revision:
            return
        own = msgspec.structs.replace(self._state.own, is_leaving=True)
        outcome = await self._store.compare_and_set(
            {self._own_key: self._own_revision},
            {self._own_key: encode_record(own)},
            self._lease,
            (self._own_key,),
        )
        if isinstance(outcome, Committed):
            self._own_revision = outcome.revision

    async def run(self) -> None:
        """Read proofs until cancelled."""
        pause = _RETRY_SECONDS
        while True:
            try:
                await self._beat()
            except ComfreystairError as error:
                self._note_reached(is_reached=False, reason=str(error))
                pause = min(2 * pause, _PULSE_SECONDS)
            else:
                self._note_reached(is_reached=True, reason='')
                pause = _PULSE_SECONDS
            await curio.sleep(_LEAST_PAUSE_SECONDS)
            async with curio.ignore_after(add_jitter(pause)):
                await self._wake.wait()
            self._wake.clear()
            if pause == _PULSE_SECONDS:
                pause = _RETRY_SECONDS

    async def _beat(self) -> None:
        """Take a proof over, or read the store, or ask other zones."""
        exchange = self._exchange
        if not exchange.is_reader:
            if await exchange.fetch_from(exchange.list_sources()[0]):
                await self._try_renew()
                return
            if self._state.find_plan_age(read_clock()) < _PATIENT_SECONDS:
                # Another instance is asked next; the store is spared a herd.
                await self._wake.set()
                return
        try:
            await self._read_store()
        except ComfreystairError as error:
            self._log.write('store_not_read', reason=error)
            if not await self._take_others():
                raise

    async def _read_store(self) -> None:
        if self._own_revision:
            await self._renew()
        else:
            await self._register()
        groups = self._list_groups()
        room = _MOST_KEYS - 2
        for start in range(0, max(len(groups), 1), room):
            await self._prove(groups[start : start + room])

    async def _take_others(self) -> bool:
        """Take proofs from other zones while the store does not answer."""
        if self._state.plan is None:
            return False
        for source in self._exchange.list_sources():
            if await self._exchange.fetch_from(source):
                return True
        return False

    async def _try_renew(self) -> None:
        """Stay on the list; those that give proofs know of it besides."""
        now = read_clock()
        if now - self._tried_at < _RENEW_SECONDS:
            return
        self._tried_at = now
        try:
            await (self._renew() if self._own_revision else self._register())
        except ComfreystairError as error:
            self._log.write('registration_not_renewed', reason=error)

    async def _prove(self, groups: list[str]) -> None:
        state = self._state
        expected = {
            self._plan_key: self._plans.revision,
            self._own_key: self._own_revision,
        }
        for group in groups:
            record = state.find_group(group).primary_tracker.record
            expected[f'{GROUPS_PREFIX}{group}'] = record.revision
        asked_at = read_clock()
        outcome = await self._store.compare_and_set(expected)
        self._state.store_read_at = asked_at
        if isinstance(outcome, Conflict):
            await self._take_conflict(expected, outcome, groups, asked_at)
            return
        if self._plans.revision:
            self._plans.record_proof(asked_at)
        for group in groups:
            await self._learn(group, None, asked_at)

    async def _take_conflict(
        self,
        expected: dict[str, int],
        conflict: Conflict,
        groups: list[str],
        asked_at: float,
    ) -> None:
        found = conflict.items
        missing = StoredValue(b'', 0)
        if found.get(self._own_key, missing).revision != self._own_revision:
            self._own_revision = 0
            await self._wake.set()
            return
        plan = found.get(self._plan_key, missing)
        if plan.revision:
            self._plans.update(plan, asked_at, 'store')
        for group in groups:
            key = f'{GROUPS_PREFIX}{group}'
            item = found.get(key, missing)
            await self._learn(group, item, asked_at)
        if set(self._list_groups()) - set(groups):
            await self._wake.set()

    async def _learn(
        self, group: str, item: StoredValue | None, asked_at: float
    ) -> None:
        """Take in a group's record, the known one where nothing was read."""
        record = self._state.find_group(group).primary_tracker.record
        if item is not None:
            record = decode_primary_record(item)
        await update_primary_record(
            self._state, self._log, group, record, asked_at
        )

    def _list_groups(self) -> list[str]:
        plan = self._state.plan
        if plan is None:
            return []
        return sorted({route.group for route in plan.routes.values()})

    async def _register(self) -> None:
        asked_at = read_clock()
        if not self._lease:
            self._lease = await self._store.grant_lease(LEASE_TTL_SECONDS)
        content = encode_record(self._state.own)
        expected = {self._own_key: self._own_revision}
        for _ in range(_MOST_ATTEMPTS):
            outcome = await self._store.compare_and_set(
                expected,
                {self._own_key: content},
                self._lease,
                (self._own_key,),
            )
            if isinstance(outcome, Committed):
                self._own_revision = outcome.revision
                self._renewed_at = asked_at
                return
            found = outcome.items.get(self._own_key)
            if found is None and not outcome.items:
                self._lease = 0
                return
            expected = {self._own_key: found.revision if found else 0}

    async def _renew(self) -> None:
        asked_at = read_clock()
        if asked_at - self._renewed_at < _RENEW_SECONDS:
            return
        if await self._store.renew_lease(self._lease):
            self._renewed_at = asked_at
        else:
            self._lease = 0
            self._own_revision = 0
            await self._register()

    def _note_reached(self, is_reached: bool, reason: str) -> None:
        if is_reached != self._is_reached:
            self._is_reached = is_reached
            event = 'proofs_regained' if is_reached else 'proofs_lost'
            age = self._state.find_plan_age(read_clock())
            self._log.write(event, reason=reason, proof_age=age)
