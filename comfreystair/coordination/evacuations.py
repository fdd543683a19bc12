"""Evacuations of availability zones, as the operators write them to the store.

The keys of all zones are conditions of the call that proves the plan to be the
newest, whether they exist or not. The proof therefore holds for the absence of
an evacuation as well.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Final, Protocol

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.places.evacuation import ZoneEvacuation
from comfreystair.controllers.store_position import StorePosition
from comfreystair.coordination.jitter import add_jitter
from comfreystair.coordination.records import MISSING, StoreClient, StoredValue
from comfreystair.coordination.state import FleetState
from comfreystair.exceptions import ComfreystairError
from comfreystair.observability.decisions import DecisionLog
from comfreystair.peers.messages import definitions

# After a restore of the store, an evacuation whose key is missing stays in
# force this long: the operators' last writes are written again.
_KEEP_AFTER_RESTORE_SECONDS: Final = 5.0
# Interval between looks for evacuations of zones that this fleet does not
# have: nothing depends on them but a line in the log.
_LOOK_INTERVAL_SECONDS: Final = 10.0

# Raises an error for a value that is no evacuation.
ParseEvacuation = Callable[[StoredValue], None]


class Readers(Protocol):
    """Knows which instance of a zone reads the store."""

    @property
    def is_reader(self) -> bool:
        """Tell whether this instance reads the store for its zone."""


class EvacuationKeys:
    """Conditions on the operators' evacuations, and what their values mean."""

    def __init__(
        self,
        state: FleetState,
        prefix: str,
        parse: ParseEvacuation,
        log: DecisionLog,
    ) -> None:
        """Initialise the keys of all zones that can be evacuated.

        :param state: receives the evacuations.
        :param prefix: of the keys in the store; the zone follows it.
        :param parse: checks a value, and raises any error if it is not usable.
        :param log: receives an event for each change and each unusable key.
        """
        self._state = state
        self._prefix = prefix
        self._parse = parse
        self._log = log
        self._left_out: dict[str, StorePosition] = {}

    def list_positions(self) -> dict[str, StorePosition]:
        """Return the known position of each zone's key."""
        return {
            f'{self._prefix}{zone}': evacuation.position
            for zone, evacuation in self._state.evacuations.known.items()
        }

    def record_proof(self, keys: Iterable[str], asked_at: float) -> None:
        """Record that the known positions of some keys were the newest.

        :param keys: of which only those of evacuations are considered.
        :param asked_at: when the read that proved it was sent.
        """
        known = self._state.evacuations.known
        for zone in self._list_zones(keys):
            self._apply(zone, known[zone], asked_at, 'store')

    def update(
        self,
        keys: Iterable[str],
        current: Mapping[str, StoredValue],
        asked_at: float,
    ) -> None:
        """Apply the present values of some keys.

        :param keys: of which only those of evacuations are considered.
        :param current: values by key; a key that does not exist is missing.
        """
        for zone in self._list_zones(keys):
            key = f'{self._prefix}{zone}'
            stored = current.get(key, MISSING)
            evacuation = ZoneEvacuation(
                stored.position, self._is_usable(key, stored)
            )
            self._apply(zone, evacuation, asked_at, 'store')

    def encode(self) -> list:
        """Return what is known of all zones, as messages to other instances."""
        now = read_clock()
        evacuations = self._state.evacuations
        return [
            definitions.EvacuationProof(
                zone=zone,
                era=evacuation.position.era,
                revision=evacuation.position.revision,
                is_requested=evacuation.is_requested,
                age_seconds=evacuations.find_proof_age(zone, now),
            )
            for zone, evacuation in evacuations.known.items()
        ]

    def apply_proofs(
        self, proofs: Iterable, asked_at: float, source: str
    ) -> None:
        """Apply what another instance knows.

        :param proofs: as :meth:`encode` returned them there.
        :param asked_at: when that instance was asked.
        """
        for one in proofs:
            position = StorePosition(one.era or 0, one.revision or 0)
            evacuation = ZoneEvacuation(position, bool(one.is_requested))
            self._apply(
                one.zone, evacuation, asked_at - one.age_seconds, source
            )

    async def look_for_unknown_zones(
        self, store: StoreClient, readers: Readers
    ) -> None:
        """Log evacuations of zones that do not exist, until cancelled.

        :param readers: tells whether this instance reads for its zone.
        """
        while True:
            await curio.sleep(add_jitter(_LOOK_INTERVAL_SECONDS))
            if readers.is_reader:
                await self._look(store)

    async def _look(self, store: StoreClient) -> None:
        try:
            found = await store.list(self._prefix, is_stale_ok=True)
        except ComfreystairError as error:
            self._log.write('evacuations_not_read', reason=error)
            return
        known = self._state.evacuations.known
        for key, stored in found.items():
            if key.removeprefix(self._prefix) not in known:
                self._leave_out(key, stored, 'the zone is not known')

    def _list_zones(self, keys: Iterable[str]) -> list[str]:
        known = self._state.evacuations.known
        zones = (key.removeprefix(self._prefix) for key in keys)
        return [zone for zone in zones if zone in known]

    def _is_usable(self, key: str, stored: StoredValue) -> bool:
        """Tell whether a value requests an evacuation."""
        if not stored.position.is_set:
            return False
        try:
            self._parse(stored)
        except Exception as error:
            self._leave_out(key, stored, str(error))
            return False
        return True

    def _leave_out(self, key: str, stored: StoredValue, reason: str) -> None:
        """Log a key that is not usable, once for each of its values."""
        if self._left_out.get(key) == stored.position:
            return
        self._left_out[key] = stored.position
        self._log.write(
            'evacuation_left_out',
            key=key,
            era=stored.position.era,
            revision=stored.position.revision,
            reason=reason,
        )

    def _apply(
        self,
        zone: str,
        evacuation: ZoneEvacuation,
        asked_at: float,
        source: str,
    ) -> None:
        now = read_clock()
        evacuations = self._state.evacuations
        is_kept = evacuations.is_evacuated(zone) and (
            now - self._state.store_era.restored_at
            < _KEEP_AFTER_RESTORE_SECONDS
        )
        if is_kept and not evacuation.is_requested:
            return
        if evacuations.update(zone, evacuation, asked_at, now):
            self._log.write(
                'evacuation',
                zone=zone,
                is_evacuated=evacuation.is_requested,
                era=evacuation.position.era,
                revision=evacuation.position.revision,
                source=source,
                age=now - asked_at,
            )
