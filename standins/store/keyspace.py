"""Keys with revisions, leases and events, as etcd version 3 defines them."""

import base64
import itertools
import time
from typing import NamedTuple


class Event(NamedTuple):
    """A change of one key.

    :param revision: the store's revision after the change.
    :param content: new value in base64, absent when deleted.
    """

    revision: int
    key: str
    content: str | None


class Keyspace:
    """Hold the keys; every method is one atomic step."""

    def __init__(self) -> None:
        """Start empty at revision 1."""
        self.revision = 1
        self._pairs: dict[str, dict] = {}
        self._leases: dict[str, dict] = {}
        self._numbers = itertools.count(1001)
        self.events: list[Event] = []

    def range(self, request: dict) -> dict:
        """Answer a range request."""
        self.expire()
        found = self._select(request['key'], request.get('range_end'))
        return {
            'header': self._header(),
            'kvs': [self._pairs[key] for key in found],
            'count': str(len(found)),
        }

    def put(self, request: dict) -> dict:
        """Store one value."""
        key = request['key']
        lease = str(request.get('lease', 0))
        if lease != '0' and lease not in self._leases:
            raise KeyError('requested lease not found')
        self.revision += 1
        previous = self._pairs.get(key, {})
        created = previous.get('create_revision', str(self.revision))
        self._pairs[key] = {
            'key': key,
            'value': request.get('value', ''),
            'create_revision': created,
            'mod_revision': str(self.revision),
            'version': str(int(previous.get('version', '0')) + 1),
            'lease': lease,
        }
        self.events.append(Event(self.revision, key, request.get('value', '')))
        return {'header': self._header()}

    def delete(self, request: dict) -> dict:
        """Delete a key or a range."""
        found = self._select(request['key'], request.get('range_end'))
        for key in found:
            self.revision += 1
            del self._pairs[key]
            self.events.append(Event(self.revision, key, None))
        return {'header': self._header(), 'deleted': str(len(found))}

    def txn(self, request: dict) -> dict:
        """Compare, then carry out one of two lists of operations."""
        self.expire()
        succeeded = all(
            self._compare(one) for one in request.get('compare', ())
        )
        chosen = request.get('success' if succeeded else 'failure', ())
        return {
            'header': self._header(),
            'succeeded': succeeded,
            'responses': [self._operate(one) for one in chosen],
        }

    def grant(self, request: dict) -> dict:
        """Grant a lease for a time to live in seconds."""
        number = str(next(self._numbers))
        seconds = int(request['TTL'])
        deadline = time.monotonic() + seconds
        self._leases[number] = {'deadline': deadline, 'seconds': seconds}
        return {'header': self._header(), 'ID': number, 'TTL': str(seconds)}

    def keep_alive(self, request: dict) -> dict:
        """Extend a lease; a lapsed one has a time to live of zero."""
        self.expire()
        lease = self._leases.get(str(request['ID']))
        seconds = 0
        if lease is not None:
            seconds = lease['seconds']
            lease['deadline'] = time.monotonic() + seconds
        return {'result': {'ID': str(request['ID']), 'TTL': str(seconds)}}

    def revoke(self, request: dict) -> dict:
        """End a lease and delete its keys."""
        self._drop_lease(str(request['ID']))
        return {'header': self._header()}

    def expire(self) -> None:
        """Drop each lease whose time is over."""
        now = time.monotonic()
        for number, lease in list(self._leases.items()):
            if lease['deadline'] < now:
                self._drop_lease(number)

    def _drop_lease(self, number: str) -> None:
        self._leases.pop(number, None)
        for key, pair in list(self._pairs.items()):
            if pair['lease'] == number:
                self.delete({'key': key})

    def _operate(self, operation: dict) -> dict:
        if 'requestPut' in operation:
            return {'response_put': self.put(operation['requestPut'])}
        if 'requestDeleteRange' in operation:
            deleted = self.delete(operation['requestDeleteRange'])
            return {'response_delete_range': deleted}
        return {'response_range': self.range(operation['requestRange'])}

    def _compare(self, compare: dict) -> bool:
        pair = self._pairs.get(compare['key'], {})
        fields = {
            'MOD': ('mod_revision', 'mod_revision'),
            'CREATE': ('create_revision', 'create_revision'),
            'VERSION': ('version', 'version'),
        }
        held, wanted = fields[compare.get('target', 'VERSION')]
        return str(pair.get(held, '0')) == str(compare.get(wanted, '0'))

    def _select(self, key: str, end: str | None) -> list[str]:
        if not end:
            return [key] if key in self._pairs else []
        first = base64.b64decode(key)
        last = base64.b64decode(end)
        return sorted(
            name
            for name in self._pairs
            if first <= base64.b64decode(name) < last
        )

    def _header(self) -> dict:
        return {'revision': str(self.revision)}
