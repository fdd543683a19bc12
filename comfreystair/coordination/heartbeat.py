"""Heartbeat of an instance: renews its registration and its proofs.

A proof shows that the plan or a group's record was the newest in the store at
a time. To get one, the heartbeat sends the store a transaction without writes
whose conditions are the positions known here. Success proves that all of them
are the newest; a conflict returns the newer ones. The instance's own
registration is one of the conditions, so a proof implies that an instance that
runs a failover finds this one in the list.
"""

from typing import Final

import curio
import msgspec

from comfreystair.clocks import read_clock
from comfreystair.controllers.primary_tracking import PROOF_TTL_SECONDS
from comfreystair.controllers.store_position import ABSENT, StorePosition
from comfreystair.coordination.evacuations import EvacuationKeys
from comfreystair.coordination.jitter import add_jitter
from comfreystair.coordination.plan_cache import PlanCache
from comfreystair.coordination.proofs import (
    ProofExchange,
    update_primary_record,
)
from comfreystair.coordination.records import (
    GROUPS_PREFIX,
    INSTANCES_PREFIX,
    MISSING,
    Committed,
    Conflict,
    InstanceRecord,
    Lease,
    StoreClient,
    StoredValue,
    decode_primary_record,
    encode_record,
)
from comfreystair.coordination.state import FleetState
from comfreystair.exceptions import ComfreystairError
from comfreystair.observability.decisions import DecisionLog
from comfreystair.tasks import describe_error

# Interval between refreshes: about a quarter of a proof's validity.
_INTERVAL_SECONDS: Final = 0.7
_RETRY_DELAY_SECONDS: Final = 0.15
# Minimum delay between two refreshes, even if a refresh was requested.
_MIN_DELAY_SECONDS: Final = 0.05
# Validity of this instance's registration without renewal: more than twice a
# proof's, so that no proof outlives the registration that it implies.
REGISTRATION_TTL_SECONDS: Final = 7.0
_RENEW_INTERVAL_SECONDS: Final = 2.8
_MAX_REGISTER_ATTEMPTS: Final = 3
# If the reader gives no usable proof, the store is only read when the plan's
# proof is older than this: half of a proof's validity.
_PREFER_PEERS_SECONDS: Final = 1.5
# Limit of the store on the keys in one transaction.
_MAX_KEYS: Final = 32


class Heartbeat:
    """Keeps this instance registered and its proofs valid."""

    def __init__(
        self,
        state: FleetState,
        store: StoreClient,
        plan_key: str,
        plans: PlanCache,
        exchange: ProofExchange,
        evacuations: EvacuationKeys,
        log: DecisionLog,
    ) -> None:
        """Initialise an instance that is not registered and has no proofs.

        :param state: receives the proofs and the groups' records.
        :param store: client of the store.
        :param plan_key: key of the plan in the store.
        :param plans: receives the plans that are read.
        :param exchange: fetches proofs from other instances.
        :param evacuations: the evacuations of zones.
        :param log: receives an event when proofs are lost and regained.
        """
        self._exchange = exchange
        self._evacuations = evacuations
        self._state = state
        self._store = store
        self._plan_key = plan_key
        self._plans = plans
        self._log = log
        self._own_key = f'{INSTANCES_PREFIX}{state.own.name}'
        self._own_position = ABSENT
        self._lease: Lease | None = None
        self._registered_at = float('inf')
        self._renewed_at = float('-inf')
        self._renewal_tried_at = float('-inf')
        self._wake = curio.Event()
        self._is_reached = False

    @property
    def is_reached(self) -> bool:
        """Tell whether the last refresh did not fail.

        It fails when the store does not answer and no other instance gives a
        usable proof.
        """
        return self._is_reached

    def is_registered(self) -> bool:
        """Tell whether each failover that started lately knows this instance.

        It was registered before every announcement that a proof in use may be
        older than, and the registration has not expired.
        """
        now = read_clock()
        return (
            self._has_registration()
            and now - self._registered_at > PROOF_TTL_SECONDS
            and now - self._renewed_at < REGISTRATION_TTL_SECONDS
        )

    async def refresh_now(self) -> None:
        """Request that the proofs are refreshed without delay."""
        await self._wake.set()

    async def announce_shutdown(self) -> None:
        """Mark this instance's registration as leaving.

        :raises ComfreystairError: when the store does not answer.
        """
        await self._rewrite_registration(
            msgspec.structs.replace(self._state.own, is_leaving=True)
        )

    async def announce_stop(self) -> None:
        """Stop using primaries and mark this instance as stopped.

        A failover then need not wait until its proofs have expired.

        :raises ComfreystairError: when the store does not answer.
        """
        self._state.stop_using_primaries()
        await self._rewrite_registration(
            msgspec.structs.replace(
                self._state.own,
                is_leaving=True,
                is_stopped=True,
                followers=tuple(self._exchange.list_followers()),
            )
        )

    async def run(self) -> None:
        """Refresh the proofs periodically until cancelled.

        After a failure the delay grows exponentially up to the interval.
        """
        delay = _RETRY_DELAY_SECONDS
        while True:
            try:
                await self._refresh()
            except Exception as error:
                # Whatever a source answers, the next refresh asks again.
                reason = describe_error(error)
                self._set_reached(is_reached=False, reason=reason)
                delay = min(2 * delay, _INTERVAL_SECONDS)
            else:
                self._set_reached(is_reached=True, reason='')
                delay = _INTERVAL_SECONDS
            await curio.sleep(_MIN_DELAY_SECONDS)
            async with curio.ignore_after(add_jitter(delay)):
                await self._wake.wait()
            self._wake.clear()
            if delay == _INTERVAL_SECONDS:
                delay = _RETRY_DELAY_SECONDS

    async def _rewrite_registration(self, own: InstanceRecord) -> None:
        """Change the registration of this instance.

        An instance that is not registered writes nothing: without a lease, its
        record would stay in the store for good.
        """
        if not self._own_position.is_set:
            return
        outcome = await self._store.compare_and_set(
            {self._own_key: self._own_position},
            {self._own_key: encode_record(own)},
            self._lease,
            (self._own_key,),
        )
        if isinstance(outcome, Committed):
            self._own_position = outcome.position

    async def _refresh(self) -> None:
        """Get proofs from the zone's reader, the store or other zones.

        When the reader gives none and the plan's proof is still young, the
        refresh only requests the next one.

        :raises ComfreystairError: when no source gave a proof.
        """
        exchange = self._exchange
        if not exchange.is_reader:
            if await exchange.fetch_from(exchange.list_sources()[0]):
                await self._try_renew()
                return
            if self._state.find_plan_age(read_clock()) < _PREFER_PEERS_SECONDS:
                # The reader is avoided from now on, and the next refresh uses
                # the zone's next reader. Otherwise all instances of the zone
                # would read the store at once (thundering herd).
                await self._wake.set()
                return
        try:
            await self._read_store()
        except ComfreystairError as error:
            self._log.write('store_not_read', reason=error)
            if not await self._fetch_from_other_zones():
                raise

    async def _read_store(self) -> None:
        """Keep the registration and get all proofs from the store.

        :raises ComfreystairError: when there is no registration to prove.
        """
        await self._keep_registration()
        if not self._has_registration():
            raise ComfreystairError('the registration was lost', 'register')
        groups = self._list_groups()
        # The evacuations stand in the same call as the plan where they fit.
        keys = list(self._evacuations.list_positions())
        keys.extend(f'{GROUPS_PREFIX}{group}' for group in groups)
        batch_size = _MAX_KEYS - 2
        for start in range(0, max(len(keys), 1), batch_size):
            await self._check_positions(keys[start : start + batch_size])

    async def _fetch_from_other_zones(self) -> bool:
        """Fetch proofs from other zones while the store does not answer.

        :returns: whether a source gave usable proofs. Without a plan no source
            is asked.
        """
        if self._state.plan is None:
            return False
        for source in self._exchange.list_sources():
            if await self._exchange.fetch_from(source):
                return True
        return False

    async def _try_renew(self) -> None:
        """Renew the registration if it is due; a failure is only logged.

        The proof remains usable, as the instance that gave it knows this one
        as a follower.
        """
        now = read_clock()
        is_recent = now - self._renewal_tried_at < _RENEW_INTERVAL_SECONDS
        if is_recent and self._has_registration():
            return
        self._renewal_tried_at = now
        try:
            await self._keep_registration()
        except ComfreystairError as error:
            self._log.write('registration_not_renewed', reason=error)

    async def _check_positions(self, keys: list[str]) -> None:
        """Get proofs of the plan and of other keys with one transaction.

        A conflict returns the current values, which are then applied.

        :param keys: of groups' records and of evacuations.
        """
        expected = {
            self._plan_key: self._plans.position,
            self._own_key: self._own_position,
        }
        groups = _select_groups(keys)
        positions = self._evacuations.list_positions()
        for key in keys:
            expected[key] = positions.get(key, ABSENT)
        for group in groups:
            record = self._state.find_group(group).primary_tracker.record
            expected[f'{GROUPS_PREFIX}{group}'] = record.position
        asked_at = read_clock()
        outcome = await self._store.compare_and_set(expected)
        self._state.store_read_at = asked_at
        if isinstance(outcome, Conflict):
            await self._apply_conflict(expected, outcome, groups, asked_at)
            return
        if self._plans.position.is_set:
            self._plans.record_proof(asked_at)
        self._evacuations.record_proof(keys, asked_at)
        for group in groups:
            await self._update_group(group, None, asked_at)

    async def _apply_conflict(
        self,
        expected: dict[str, StorePosition],
        conflict: Conflict,
        groups: list[str],
        asked_at: float,
    ) -> None:
        """Apply the current values that a conflict returned, with proofs.

        If this instance's registration has changed, the values are no proofs
        and are ignored; the next refresh registers the instance again. Groups
        that a new plan adds are read by the next refresh.
        """
        current = conflict.items
        self._log.write(
            'conditions_not_met', keys=_describe_differences(expected, current)
        )
        own = current.get(self._own_key, MISSING)
        if own.position != self._own_position:
            self._own_position = ABSENT
            await self._wake.set()
            return
        plan = current.get(self._plan_key, MISSING)
        self._plans.update(plan, asked_at, 'store')
        self._evacuations.update(expected, current, asked_at)
        missing = MISSING._replace(
            position=StorePosition(self._state.store_era.current)
        )
        for group in groups:
            key = f'{GROUPS_PREFIX}{group}'
            stored = current.get(key, missing)
            await self._update_group(group, stored, asked_at)
        if set(self._list_groups()) - set(groups):
            await self._wake.set()

    async def _update_group(
        self, group: str, stored: StoredValue | None, asked_at: float
    ) -> None:
        """Record a group's newest record and its proof.

        :param stored: the record as it was read; nothing when the known one
            is the newest.
        """
        record = self._state.find_group(group).primary_tracker.record
        if stored is not None:
            record = decode_primary_record(stored)
        await update_primary_record(
            self._state, self._log, group, record, asked_at
        )

    def _list_groups(self) -> list[str]:
        """Return the names of all groups in the plan's routes."""
        plan = self._state.plan
        if plan is None:
            return []
        return sorted({route.group for route in plan.routes.values()})

    async def _keep_registration(self) -> None:
        """Renew the registration if it is due, or register the instance."""
        if self._has_registration():
            await self._renew()
        else:
            self._own_position = ABSENT
            await self._register()

    def _has_registration(self) -> bool:
        """Tell whether a registration was written in the store's present era.

        One of an earlier era need not be in the store any more.
        """
        position = self._own_position
        return position.is_set and position.era == self._state.store_era.current

    async def _register(self) -> None:
        """Write this instance's registration, in place of an earlier run's.

        A conflict without items is treated as an expired lease: the next
        refresh asks for a new one.
        """
        asked_at = read_clock()
        era = self._state.store_era.current
        if self._lease is None or self._lease.era != era:
            self._lease = await self._store.grant_lease(
                REGISTRATION_TTL_SECONDS
            )
        content = encode_record(self._state.own)
        expected = {self._own_key: self._own_position}
        for _ in range(_MAX_REGISTER_ATTEMPTS):
            outcome = await self._store.compare_and_set(
                expected,
                {self._own_key: content},
                self._lease,
                (self._own_key,),
            )
            if isinstance(outcome, Committed):
                self._own_position = outcome.position
                self._renewed_at = asked_at
                self._registered_at = read_clock()
                return
            current = outcome.items.get(self._own_key)
            if current is None and not outcome.items:
                self._lease = None
                return
            expected = {self._own_key: current.position if current else ABSENT}

    async def _renew(self) -> None:
        """Renew the registration's lease if it is due.

        If the lease has expired, the instance is registered again.
        """
        asked_at = read_clock()
        if asked_at - self._renewed_at < _RENEW_INTERVAL_SECONDS:
            return
        lease = self._lease
        if lease is not None and await self._store.renew_lease(lease):
            self._renewed_at = asked_at
        else:
            self._lease = None
            self._own_position = ABSENT
            await self._register()

    def _set_reached(self, is_reached: bool, reason: str) -> None:
        """Record whether a refresh succeeded, and log when this changes."""
        if is_reached != self._is_reached:
            self._is_reached = is_reached
            event = 'proofs_regained' if is_reached else 'proofs_lost'
            age = self._state.find_plan_age(read_clock())
            self._log.write(event, reason=reason, proof_age=age)


def _select_groups(keys: list[str]) -> list[str]:
    """Return the groups whose records are among some keys."""
    return [
        key.removeprefix(GROUPS_PREFIX)
        for key in keys
        if key.startswith(GROUPS_PREFIX)
    ]


def _describe_differences(
    expected: dict[str, StorePosition], current: dict[str, StoredValue]
) -> str:
    """Return the keys that differ, each with its known and present position."""
    found = {key: current.get(key, MISSING).position for key in expected}
    return ','.join(
        f'{key}:{_format(position)}/{_format(found[key])}'
        for key, position in expected.items()
        if found[key] != position
    )


def _format(position: StorePosition) -> str:
    return f'{position.era}.{position.revision}'
