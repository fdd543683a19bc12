"""Follow the lists of targets and instances."""

from collections.abc import Awaitable, Callable
from typing import Final

import curio

from comfreystair.clocks import read_clock
from comfreystair.coordination.records import (
    INSTANCES_PREFIX,
    KEEPERS_PREFIX,
    RECORDS_PREFIX,
    InstanceRecord,
    Item,
    StoreClient,
    decode_instance,
)
from comfreystair.coordination.state import FleetState
from comfreystair.exceptions import ComfreystairError
from comfreystair.observability.decisions import DecisionLog
from comfreystair.pooling.members import TargetEntry

# Time between reads of the lists, in seconds; a target that leaves must be
# left within seven.
_READ_SECONDS: Final = 1.0
# A target's entry may be missing this long before the target counts as gone,
# in seconds: entries that lapsed with the store are back after two.
_GONE_SECONDS: Final = 3.0

# An instance that is no longer listed keeps its part of the connections this
# long, in seconds: it may only have been unable to renew its registration.
_REMEMBERED_SECONDS: Final = 30.0

ParseTargets = Callable[[dict[str, Item]], dict[str, TargetEntry]]
Changed = Callable[[], Awaitable[None]]


class Directory:
    """Read the lists from the store, which may answer a little old."""

    def __init__(
        self,
        state: FleetState,
        store: StoreClient,
        targets_prefix: str,
        parse_targets: ParseTargets,
        log: DecisionLog,
    ) -> None:
        """Take the parts."""
        self._state = state
        self._store = store
        self._targets_prefix = targets_prefix
        self._parse_targets = parse_targets
        self._log = log
        self._missing_since: dict[str, float] = {}

    async def run(self, changed: Changed) -> None:
        """Read until cancelled, calling back after each read."""
        while True:
            try:
                await self._read()
            except ComfreystairError as error:
                self._log.write('lists_not_read', reason=error)
            await changed()
            await curio.sleep(_READ_SECONDS)

    async def _read(self) -> None:
        asked_at = read_clock()
        items = await self._store.list(self._targets_prefix, is_stale_ok=True)
        self._take_targets(self._parse_targets(items), read_clock())
        records = await self._store.list(RECORDS_PREFIX, is_stale_ok=True)
        self._take_records(records, read_clock())
        self._state.lists_read_at = asked_at

    def _take_targets(self, found: dict[str, TargetEntry], now: float) -> None:
        known = self._state.targets
        for ident, entry in found.items():
            if known.get(ident) != entry:
                self._log.write('target', **entry._asdict())
            self._missing_since.pop(ident, None)
        for ident in known.keys() - found.keys():
            since = self._missing_since.setdefault(ident, now)
            if now - since < _GONE_SECONDS:
                found[ident] = known[ident]
            else:
                self._missing_since.pop(ident)
                self._log.write('target_gone', ident=ident, missing=now - since)
        self._state.targets = found

    def _take_records(self, items: dict[str, Item], now: float) -> None:
        state = self._state
        instances = _decode(items, INSTANCES_PREFIX)
        instances[state.own.name] = state.own
        for name in instances.keys() ^ state.instances.keys():
            self._log.write('instance', name=name, is_listed=name in instances)
        state.instances = instances
        for name, record in instances.items():
            state.recent[name] = (record, now)
        for name, (_record, seen_at) in list(state.recent.items()):
            if now - seen_at > _REMEMBERED_SECONDS:
                state.recent.pop(name)
        state.keepers = _decode(items, KEEPERS_PREFIX)


def _decode(items: dict[str, Item], prefix: str) -> dict[str, InstanceRecord]:
    found: dict[str, InstanceRecord] = {}
    for key, item in items.items():
        if key.startswith(prefix):
            record = decode_instance(item)
            if record is not None:
                found[key.removeprefix(prefix)] = record
    return found
