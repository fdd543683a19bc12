"""Discovery of targets, instances and keepers.

One instance of each availability zone, the reader, reads the lists from the
store. The others ask the reader for what has changed, because the whole fleet
shares a limited rate of calls to the store.
"""

import zlib
from collections.abc import Awaitable, Callable, Hashable
from typing import Final

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.change_tracking import ChangeTracker
from comfreystair.controllers.store_position import StorePosition
from comfreystair.coordination.decoding import LeftOutLog, decode_items
from comfreystair.coordination.jitter import add_jitter
from comfreystair.coordination.proofs import ProofExchange
from comfreystair.coordination.records import (
    INSTANCES_PREFIX,
    KEEPERS_PREFIX,
    RECORDS_PREFIX,
    InstanceRecord,
    StoreClient,
    StoredValue,
    parse_instance,
)
from comfreystair.coordination.state import FleetState
from comfreystair.coordination.target_list import TargetList
from comfreystair.exceptions import ComfreystairError
from comfreystair.observability.decisions import DecisionLog
from comfreystair.peers import PeerClients, PeerError, messages
from comfreystair.peers.messages import definitions
from comfreystair.pooling.targets import TargetEntry
from comfreystair.tasks import contain_errors, describe_error

# Interval between reads of the lists. A target must no longer be used 7 s after
# it has begun to leave.
_READ_INTERVAL_SECONDS: Final = 1.0
# Interval and duration of faster reads after the start: the whole fleet may be
# starting, and no instance can serve requests before the keepers of the rate
# limits are known.
_FAST_READ_INTERVAL_SECONDS: Final = 0.3
_FAST_READ_DURATION_SECONDS: Final = 4.0
# An instance that is no longer listed is remembered this long. It may still run
# without being able to renew its registration, and must be told of failovers.
_RECENTLY_LISTED_SECONDS: Final = 30.0
# How long after a restore of the store an instance may still lack its
# registration. It takes one or two heartbeats to write it again.
_REGISTER_AGAIN_SECONDS: Final = 3.0
# Greatest accepted age of lists from another instance.
_MAX_LISTS_AGE_SECONDS: Final = 1.5
# If the reader gives no recent lists, the store is only read when those held
# here are older than this.
_PREFER_PEERS_SECONDS: Final = 1.8
# Timeout of a request to another instance.
_REQUEST_TIMEOUT_SECONDS: Final = 0.5

ParseTarget = Callable[[str, StoredValue], TargetEntry]
OnRead = Callable[[], Awaitable[None]]


class ServiceDiscovery:
    """Keeps the lists of targets, instances and keepers current.

    The lists may be slightly outdated, as the store may answer with stale
    data.
    """

    def __init__(
        self,
        state: FleetState,
        store: StoreClient,
        targets_prefix: str,
        parse_target: ParseTarget,
        exchange: ProofExchange,
        peers: PeerClients,
        log: DecisionLog,
    ) -> None:
        """Initialise with empty lists.

        :param state: receives the lists.
        :param store: client of the store.
        :param targets_prefix: prefix of the targets' keys in the store.
        :param parse_target: parses a target's entry, given its key; raises
            any error when it is not usable.
        :param exchange: knows which instance is the zone's reader.
        :param peers: clients of the other instances.
        :param log: receives an event for each change of the lists.
        """
        self._state = state
        self._store = store
        self._targets_prefix = targets_prefix
        self._parse_target = parse_target
        self._exchange = exchange
        self._peers = peers
        self._log = log
        self._change_tracker = ChangeTracker()
        self._items: dict[str, StoredValue] = {}
        self._source_incarnation = ''
        self._source_version = 0
        self._compressed: dict[int, bytes] = {}
        self._targets = TargetList(log)
        self._left_out = LeftOutLog(log)

    async def run(self, on_read: OnRead) -> None:
        """Read the lists periodically until cancelled.

        :param on_read: called after each read, also after one that failed.
        """
        fast_until = read_clock() + _FAST_READ_DURATION_SECONDS
        while True:
            try:
                await self._read()
            except Exception as error:
                self._log.write('lists_not_read', reason=describe_error(error))
            with contain_errors('apply_lists'):
                await on_read()
            is_starting = read_clock() < fast_until
            delay = (
                _FAST_READ_INTERVAL_SECONDS
                if is_starting
                else _READ_INTERVAL_SECONDS
            )
            await curio.sleep(add_jitter(delay))

    async def handle_request(self, request) -> object:
        """Return the changes since the version that another instance has.

        The lists are returned whole if that version is too old, or is not of
        this instance's incarnation.
        """
        own = self._state.own.incarnation
        since = request.version if request.incarnation == own else -1
        changes = self._change_tracker.find_changes(since)
        return definitions.Lists(
            era=self._state.store_era.current,
            incarnation=own,
            version=changes.version,
            age_seconds=read_clock() - self._state.lists_read_at,
            is_whole=changes.is_whole,
            packed=self._compress(since, changes.changed),
            gone=list(changes.removed),
        )

    def _compress(self, since: int, keys: tuple[str, ...]) -> bytes:
        """Return listed items, encoded and compressed.

        The result is cached until the lists change, for other instances that
        have the same version.

        :param since: version that the other instance has.
        :param keys: keys of the items.
        """
        packed = self._compressed.get(since)
        if packed is None:
            listed = [
                definitions.ListedItem(
                    key=key,
                    revision=self._items[key].position.revision,
                    content=self._items[key].blob,
                )
                for key in keys
            ]
            content = messages.encode(definitions.ListedItems(items=listed))
            packed = zlib.compress(content)
            self._compressed[since] = packed
        return packed

    async def _read(self) -> None:
        """Get the lists from the zone's reader or from the store."""
        exchange = self._exchange
        if not exchange.is_reader:
            if await self._fetch_from(exchange.list_sources()[0]):
                return
            age = read_clock() - self._state.lists_read_at
            if age < _PREFER_PEERS_SECONDS:
                return
        await self._read_store()

    async def _read_store(self) -> None:
        asked_at = read_clock()
        found = await self._store.list(self._targets_prefix, is_stale_ok=True)
        records = await self._store.list(RECORDS_PREFIX, is_stale_ok=True)
        for key, item in records.items():
            if key.startswith((INSTANCES_PREFIX, KEEPERS_PREFIX)):
                found[key] = item
        self._apply(found, asked_at)

    async def _fetch_from(self, source: InstanceRecord) -> bool:
        """Fetch another instance's lists and apply them.

        :returns: whether they were applied. Lists that are too old, or older
            than those held here, are not.
        """
        asked_at = read_clock()
        request = definitions.ListsRequest(
            incarnation=self._source_incarnation, version=self._source_version
        )
        try:
            lists = await self._peers.call(
                source.address,
                'lists',
                request,
                definitions.Lists,
                _REQUEST_TIMEOUT_SECONDS,
            )
            self._state.store_era.observe(lists.era or 0, source.name)
            changed = _decompress(lists.packed)
        except ComfreystairError as error:
            self._log.write('lists_not_taken', source=source.name, why=error)
            return False
        read_at = asked_at - lists.age_seconds
        oldest = max(
            asked_at - _MAX_LISTS_AGE_SECONDS, self._state.lists_read_at
        )
        if read_at < oldest:
            return False
        self._source_incarnation = lists.incarnation
        self._source_version = lists.version
        self._apply(_merge(self._items, lists, changed), read_at)
        return True

    def _apply(self, items: dict[str, StoredValue], read_at: float) -> None:
        """Replace the lists of targets, instances and keepers.

        :param items: the listed values by key.
        :param read_at: when the read of the store was sent.
        """
        now = read_clock()
        decoded = decode_items(items, self._decode)
        self._left_out.update(items, decoded.left_out)
        # What can't be used is not sent to other instances either.
        self._items = {key: items[key] for key in decoded.values}
        if self._change_tracker.update(decoded.values):
            self._compressed.clear()
        entries = _select(decoded.values, self._targets_prefix)
        targets = self._targets.update(entries, now)
        if targets != self._state.targets:
            self._state.update_targets(targets, now)
        self._apply_instances_and_keepers(decoded.values, now)
        self._state.lists_read_at = read_at

    def _decode(self, key: str, item: StoredValue) -> Hashable:
        """Decode a listed item, by the prefix of its key."""
        if key.startswith(self._targets_prefix):
            return self._parse_target(key, item)
        return parse_instance(item)

    def _apply_instances_and_keepers(
        self, records: dict[str, object], now: float
    ) -> None:
        state = self._state
        instances = _select(records, INSTANCES_PREFIX)
        if now - state.store_era.restored_at < _REGISTER_AGAIN_SECONDS:
            instances = {**state.instances, **instances}
        instances[state.own.name] = state.own
        for name in instances.keys() ^ state.instances.keys():
            self._log.write('instance', name=name, is_listed=name in instances)
        if instances != state.instances:
            state.instances = instances
        for name, record in instances.items():
            state.recently_listed[name] = (record, now)
        for name, (_record, seen_at) in list(state.recently_listed.items()):
            if now - seen_at > _RECENTLY_LISTED_SECONDS:
                state.recently_listed.pop(name)
        state.keepers = _select(records, KEEPERS_PREFIX)


def _merge(
    known: dict[str, StoredValue], lists, changed: list
) -> dict[str, StoredValue]:
    """Return the known items with the changes that another instance sent."""
    items = {} if lists.is_whole else dict(known)
    for key in lists.gone or ():
        items.pop(key, None)
    for one in changed:
        position = StorePosition(lists.era or 0, one.revision)
        items[one.key] = StoredValue(one.content or b'', position)
    return items


def _decompress(packed: bytes) -> list:
    """Decompress and decode the items that another instance sent.

    :raises PeerError: when they can't be decompressed or decoded.
    """
    try:
        content = zlib.decompress(packed)
    except zlib.error as error:
        raise PeerError(str(error), 'lists') from error
    return messages.decode(definitions.ListedItems, content).items or []


def _select(decoded: dict[str, object], prefix: str) -> dict:
    """Return the values under a prefix of keys, by the rest of the key."""
    return {
        key.removeprefix(prefix): value
        for key, value in decoded.items()
        if key.startswith(prefix)
    }
