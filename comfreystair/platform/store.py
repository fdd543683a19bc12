"""The platform's metadata store."""

import base64
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple
from urllib.parse import urlencode

import msgspec

from comfreystair.controllers.store_position import StorePosition
from comfreystair.coordination.records import (
    MISSING,
    Committed,
    Conflict,
    Lease,
    StoredValue,
)
from comfreystair.platform.exceptions import (
    PlatformError,
    PlatformRefusedError,
)
from comfreystair.platform.http import HttpClient
from comfreystair.tasks import describe_error

_REASON_BYTES: Final = 200
# Rises each time the store returns from an older copy.
_ERA_HEADER: Final = 'store-era'
_OK: Final = 200
_NOT_FOUND: Final = 404
_CONFLICT: Final = 412
_REFUSALS: Final = frozenset((429, 503))


class _Item(msgspec.Struct, rename='pascal'):
    key: str
    value: str = ''
    rev: int = 0
    lease_id: int = 0


class _Range(msgspec.Struct):
    items: list[_Item]
    has_more: bool = msgspec.field(name='HasMore', default=False)


class _Conflict(msgspec.Struct):
    items: list[_Item] = []


class _Revision(msgspec.Struct, rename='pascal'):
    rev: int = 0


class _Lease(msgspec.Struct, rename='pascal'):
    lease_id: int


class _Answer(NamedTuple):
    """An answer of the store, with its era."""

    status: int
    body: bytes
    era: int


class Store:
    """Read, compare-and-swap and lease.

    Every call may raise :class:`PlatformError`; unless it is a
    :class:`PlatformRefusedError`, a change may have been made, or may still
    be made seconds later.
    """

    def __init__(
        self,
        http: HttpClient,
        seconds: float,
        observe_era: Callable[[int, str], None],
    ) -> None:
        """Take the client.

        :param seconds: bound on each call.
        :param observe_era: is told the era of each answer, and its source.
        """
        self._http = http
        self._seconds = seconds
        self._observe_era = observe_era

    async def read(self, key: str) -> StoredValue:
        """Return a key's content, which may be seconds old.

        :returns: an item with revision 0 where the key does not exist.
        """
        query = urlencode({'Key': key, 'AllowStale': '1'})
        reply = await self._call('GET', f'/kv-key?{query}')
        if reply.status == _NOT_FOUND:
            return MISSING
        return _convert(_decode(reply.body, _Item), reply.era)

    async def list(
        self, prefix: str, is_stale_ok: bool
    ) -> dict[str, StoredValue]:
        """Return all keys with a prefix.

        :param is_stale_ok: the answer may be seconds old, and costs less.
        """
        listed: dict[str, StoredValue] = {}
        after = ''
        while True:
            query = {'Prefix': prefix}
            if after:
                query['after'] = after
            if is_stale_ok:
                query['AllowStale'] = '1'
            reply = await self._call('GET', f'/kv-range?{urlencode(query)}')
            page = _decode(reply.body, _Range)
            for item in page.items:
                listed[item.key] = _convert(item, reply.era)
                after = item.key
            if not page.has_more or not page.items:
                return listed

    async def compare_and_set(
        self,
        expected: Mapping[str, StorePosition],
        writes: Mapping[str, bytes] | None = None,
        lease: Lease | None = None,
        leased: tuple[str, ...] = (),
    ) -> Committed | Conflict:
        """Write keys if others are at their positions, all or nothing.

        Without writes it proves that nothing has changed.

        :param expected: position by key, all of the store's present era.
        :param leased: which of the written keys end with the lease.
        """
        body = {
            'Expected': [
                {'Key': key, 'Rev': position.revision}
                for key, position in expected.items()
            ],
            'Writes': [
                {
                    'Key': key,
                    'Value': base64.b64encode(blob).decode(),
                    'LeaseId': lease.ident if lease and key in leased else 0,
                }
                for key, blob in (writes or {}).items()
            ],
            'Deletes': [],
        }
        reply = await self._call('POST', '/kv-txn', body)
        if reply.status == _CONFLICT:
            found = _decode(reply.body, _Conflict)
            return Conflict(
                {one.key: _convert(one, reply.era) for one in found.items}
            )
        if reply.status != _OK:
            return Conflict({})
        revision = _decode(reply.body, _Revision).rev
        return Committed(StorePosition(reply.era, revision))

    async def grant_lease(self, seconds: float) -> Lease:
        """Return a new lease, which runs from the arrival of the call."""
        body = {'TtlMs': int(seconds * 1000)}
        reply = await self._call('POST', '/kv-lease', body)
        return Lease(reply.era, _decode(reply.body, _Lease).lease_id)

    async def renew_lease(self, lease: Lease) -> bool:
        """Renew a lease; tell whether it still was one."""
        reply = await self._call('POST', f'/kv-keep/{lease.ident}', {})
        return reply.status == _OK

    async def revoke_lease(self, lease: Lease) -> None:
        """End a lease with its keys."""
        await self._call('DELETE', f'/kv-lease-end/{lease.ident}')

    async def _call(
        self, method: str, path: str, body: object = None
    ) -> _Answer:
        reply = await self._http.call(method, path, self._seconds, body)
        if reply.status in _REFUSALS:
            raise PlatformRefusedError(f'status {reply.status}', path)
        era = _parse_era(reply.headers, path)
        self._observe_era(era, 'store')
        if reply.status not in {_OK, _NOT_FOUND, _CONFLICT}:
            reason = reply.body[:_REASON_BYTES].decode(errors='replace')
            raise PlatformError(f'status {reply.status}: {reason}', path)
        return _Answer(reply.status, reply.body, era)


def _parse_era(headers: Mapping[str, str], path: str) -> int:
    """Return the era of an answer, 0 where the store counts none."""
    text = headers.get(_ERA_HEADER, '0')
    if not text.isdecimal():
        raise PlatformError(f'not an era: "{text:.40}"', path)
    return int(text)


def _convert(item: _Item, era: int) -> StoredValue:
    try:
        blob = base64.b64decode(item.value, validate=True)
    except ValueError:
        blob = b''
    return StoredValue(blob, StorePosition(era, item.rev), item.lease_id)


def _decode(body: bytes, kind):
    try:
        return msgspec.json.decode(body, type=kind)
    except Exception as error:
        raise PlatformError(describe_error(error), 'decode') from error
