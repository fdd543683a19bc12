"""Follow the lists of targets and instances.

One instance of each availability zone reads them from the store; the others
ask it for what has changed, since calls to the store are shared by the fleet.
"""

import zlib
from collections.abc import Awaitable, Callable
from typing import Final

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.listings import ListingController
from comfreystair.coordination.pauses import vary
from comfreystair.coordination.proofs import ProofExchange
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
from comfreystair.peers import PeerClients, PeerError, messages
from comfreystair.peers.messages import definitions
from comfreystair.pooling.targets import TargetEntry

# Time between reads of the lists, in seconds; a target that leaves must be
# left within seven.
_READ_SECONDS: Final = 1.0
# The same in the first seconds, in which all of the fleet may be starting and
# nobody can serve before keepers of the rate limits are known, in seconds.
_FAST_READ_SECONDS: Final = 0.3
_START_SECONDS: Final = 4.0
# A target's entry may be missing this long before the target counts as gone,
# in seconds: entries that lapsed with the store are back after two.
_GONE_SECONDS: Final = 3.0

# An instance that is no longer listed is remembered this long, in seconds: it
# may only have been unable to renew its registration, and must still be told
# of changes of primary.
_REMEMBERED_SECONDS: Final = 30.0
# Lists taken over from another instance may be this old, in seconds.
_MOST_AGE_SECONDS: Final = 1.5
# With lists younger than this the store is not read in place of an instance
# that did not answer, in seconds.
_PATIENT_SECONDS: Final = 1.8
# Bound on asking another instance, in seconds.
_ASK_SECONDS: Final = 0.5

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
        exchange: ProofExchange,
        peers: PeerClients,
        log: DecisionLog,
    ) -> None:
        """Take the parts."""
        self._state = state
        self._store = store
        self._targets_prefix = targets_prefix
        self._parse_targets = parse_targets
        self._exchange = exchange
        self._peers = peers
        self._log = log
        self._listing = ListingController()
        self._items: dict[str, Item] = {}
        self._source = ''
        self._source_version = 0
        self._packed: dict[int, bytes] = {}
        self._missing_since: dict[str, float] = {}

    async def run(self, changed: Changed) -> None:
        """Read until cancelled, calling back after each read."""
        fast_until = read_clock() + _START_SECONDS
        while True:
            try:
                await self._read()
            except ComfreystairError as error:
                self._log.write('lists_not_read', reason=error)
            await changed()
            is_starting = read_clock() < fast_until
            pause = _FAST_READ_SECONDS if is_starting else _READ_SECONDS
            await curio.sleep(vary(pause))

    async def give(self, request) -> object:
        """Answer another instance with what changed since it asked."""
        own = self._state.own.incarnation
        since = request.version if request.incarnation == own else -1
        changes = self._listing.find_changes(since)
        return definitions.Lists(
            incarnation=own,
            version=changes.version,
            age_seconds=read_clock() - self._state.lists_read_at,
            is_whole=changes.is_whole,
            packed=self._pack(since, changes.changed),
            gone=list(changes.gone),
        )

    def _pack(self, since: int, keys: tuple[str, ...]) -> bytes:
        """Return items as they are sent, packed once for all that ask."""
        packed = self._packed.get(since)
        if packed is None:
            listed = [
                definitions.ListedItem(
                    key=key,
                    revision=self._items[key].revision,
                    content=self._items[key].blob,
                )
                for key in keys
            ]
            content = messages.encode(definitions.ListedItems(items=listed))
            packed = zlib.compress(content)
            self._packed[since] = packed
        return packed

    async def _read(self) -> None:
        exchange = self._exchange
        if not exchange.is_reader:
            if await self._take_over(exchange.list_sources()[0]):
                return
            age = read_clock() - self._state.lists_read_at
            if age < _PATIENT_SECONDS:
                return
        await self._read_store()

    async def _read_store(self) -> None:
        asked_at = read_clock()
        found = await self._store.list(self._targets_prefix, is_stale_ok=True)
        records = await self._store.list(RECORDS_PREFIX, is_stale_ok=True)
        for key, item in records.items():
            if key.startswith((INSTANCES_PREFIX, KEEPERS_PREFIX)):
                found[key] = item
        self._take(found, asked_at)

    async def _take_over(self, source: InstanceRecord) -> bool:
        """Take over another instance's lists; tell whether they will do."""
        asked_at = read_clock()
        request = definitions.ListsRequest(
            incarnation=self._source, version=self._source_version
        )
        try:
            lists = await self._peers.call(
                source.address,
                'lists',
                request,
                definitions.Lists,
                _ASK_SECONDS,
            )
            changed = _unpack(lists.packed)
        except PeerError as error:
            self._log.write('lists_not_taken', source=source.name, why=error)
            return False
        read_at = asked_at - lists.age_seconds
        is_old = lists.age_seconds > _MOST_AGE_SECONDS
        if is_old or read_at < self._state.lists_read_at:
            return False
        items = {} if lists.is_whole else dict(self._items)
        for key in lists.gone or ():
            items.pop(key, None)
        for one in changed:
            items[one.key] = Item(one.content or b'', one.revision)
        self._source = lists.incarnation
        self._source_version = lists.version
        self._take(items, read_at)
        return True

    def _take(self, items: dict[str, Item], read_at: float) -> None:
        """Take in both lists as they were read."""
        now = read_clock()
        targets = {
            key: item
            for key, item in items.items()
            if key.startswith(self._targets_prefix)
        }
        entries = self._parse_targets(targets)
        self._items = items
        shown = {
            key: entries.get(key.removeprefix(self._targets_prefix))
            if key in targets
            else item.blob
            for key, item in items.items()
        }
        if self._listing.update(shown):
            self._packed.clear()
        self._take_targets(entries, now)
        self._take_records(items, now)
        self._state.lists_read_at = read_at

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
        if instances != state.instances:
            state.instances = instances
        for name, record in instances.items():
            state.recent[name] = (record, now)
        for name, (_record, seen_at) in list(state.recent.items()):
            if now - seen_at > _REMEMBERED_SECONDS:
                state.recent.pop(name)
        state.keepers = _decode(items, KEEPERS_PREFIX)


def _unpack(packed: bytes) -> list:
    """Return the items that another instance sent.

    :raises PeerError: when they can't be read.
    """
    try:
        content = zlib.decompress(packed)
    except zlib.error as error:
        raise PeerError(str(error), 'lists') from error
    return messages.decode(definitions.ListedItems, content).items or []


def _decode(items: dict[str, Item], prefix: str) -> dict[str, InstanceRecord]:
    found: dict[str, InstanceRecord] = {}
    for key, item in items.items():
        if key.startswith(prefix):
            record = decode_instance(item)
            if record is not None:
                found[key.removeprefix(prefix)] = record
    return found
