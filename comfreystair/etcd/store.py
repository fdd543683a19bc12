"""The platform's store, through the JSON interface of etcd version 3."""

import base64
from collections.abc import AsyncIterator
from typing import NamedTuple

from comfreystair.dialing import Dial
from comfreystair.etcd.http import post_json, stream_json


class Pair(NamedTuple):
    """One key as read.

    :param revision: of its last change, 0 when the key does not exist.
    """

    key: str
    content: bytes
    revision: int


class Store:
    """Read, compare-and-swap, and watch.

    A call that raises may have taken effect all the same: the answer can be
    lost after the change. Callers resolve that by reading back.
    """

    def __init__(
        self, dial: Dial, address: str, prefix: str, seconds: float
    ) -> None:
        """Remember where the store is.

        :param prefix: put before every key.
        :param seconds: bound on each call.
        """
        self._dial = dial
        self._address = address
        self._prefix = prefix
        self._seconds = seconds

    async def read(self, key: str) -> Pair:
        """Read one key; one that does not exist has revision 0.

        :raises PlatformError: when the store does not answer.
        """
        answer = await self._call('/v3/kv/range', {'key': self._encode(key)})
        for pair in answer.get('kvs', ()):
            content = base64.b64decode(pair.get('value', ''))
            return Pair(key, content, int(pair['mod_revision']))
        return Pair(key, b'', 0)

    async def swap(
        self,
        key: str,
        content: bytes,
        expected_revision: int,
        beside: dict[str, bytes] | None = None,
    ) -> bool:
        """Write a key if it is still at a revision.

        :param expected_revision: 0 when the key must not exist.
        :param beside: further keys written in the same transaction.
        :returns: whether it was written.
        :raises PlatformError: the outcome is unknown.
        """
        written = {key: content, **(beside or {})}
        request = {
            'compare': [
                {
                    'key': self._encode(key),
                    'target': 'MOD',
                    'result': 'EQUAL',
                    'mod_revision': str(expected_revision),
                }
            ],
            'success': [
                {
                    'requestPut': {
                        'key': self._encode(name),
                        'value': base64.b64encode(blob).decode(),
                    }
                }
                for name, blob in written.items()
            ],
        }
        answer = await self._call('/v3/kv/txn', request)
        return bool(answer.get('succeeded', False))

    async def watch(self, key: str, start_revision: int) -> AsyncIterator[Pair]:
        """Yield every change of a key from a revision on.

        :raises PlatformError: when the stream ends.
        """
        create = {
            'key': self._encode(key),
            'start_revision': str(start_revision),
        }
        lines = stream_json(
            self._dial, self._address, '/v3/watch', {'create_request': create}
        )
        async for line in lines:
            for event in line['result'].get('events', ()):
                pair = event['kv']
                content = base64.b64decode(pair.get('value', ''))
                yield Pair(key, content, int(pair['mod_revision']))

    def _encode(self, key: str) -> str:
        return base64.b64encode(f'{self._prefix}{key}'.encode()).decode()

    async def _call(self, path: str, body: object) -> dict:
        return await post_json(
            self._dial, self._address, path, body, self._seconds
        )
