"""The keys of the stand-in store, with revisions and leases."""

import copy
import itertools
import time


class Keyspace:
    """All keys; nothing here does I/O."""

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 1
        self.era = 1
        self._items: dict[str, dict] = {}
        self._leases: dict[int, tuple[float, float]] = {}
        self._numbers = itertools.count(1)

    def put(self, key: str, encoded: str, lease: int = 0) -> None:
        """Write a key in a revision of its own."""
        self.revision += 1
        self._write(key, encoded, lease)

    def remove(self, key: str) -> None:
        """Delete a key."""
        self.revision += 1
        self._items.pop(key, None)

    def put_changed(self, key: str, encoded: str) -> None:
        """Write a key unless it has the value already."""
        known = self.find(key)
        if known is None or known['Value'] != encoded:
            self.put(key, encoded)

    def copy(self) -> 'Keyspace':
        """Return a copy of the present state."""
        copied = Keyspace()
        copied.revision = self.revision
        copied.era = self.era
        copied._items = copy.deepcopy(self._items)
        copied._leases = dict(self._leases)
        copied._numbers = itertools.count(max(self._leases, default=0) + 1)
        return copied

    def find(self, key: str) -> dict | None:
        """Return a key's item."""
        self._expire()
        return self._items.get(key)

    def list(self, prefix: str) -> list[dict]:
        """Return the items of a prefix."""
        self._expire()
        return [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(prefix)
        ]

    def change(self, body: dict) -> tuple[int, dict]:
        """Carry out a conditional change; return status and answer."""
        self._expire()
        expected = body.get('Expected', [])
        for row in expected:
            item = self._items.get(row['Key'])
            if (item['Rev'] if item else 0) != row['Rev']:
                found = [self._items.get(one['Key']) for one in expected]
                return 412, {'items': [one for one in found if one]}
        writes = body.get('Writes', [])
        for row in writes:
            lease = row.get('LeaseId', 0)
            if lease and lease not in self._leases:
                return 404, {}
        if writes:
            self.revision += 1
        for row in writes:
            self._write(row['Key'], row['Value'], row.get('LeaseId', 0))
        return 200, {'Rev': self.revision}

    def grant(self, milliseconds: int) -> dict:
        """Return a new lease."""
        lease = next(self._numbers)
        seconds = milliseconds / 1000
        self._leases[lease] = (seconds, time.monotonic() + seconds)
        return {'LeaseId': lease, 'TtlMs': milliseconds}

    def keep(self, lease: int) -> bool:
        """Renew a lease."""
        self._expire()
        if lease not in self._leases:
            return False
        seconds, _until = self._leases[lease]
        self._leases[lease] = (seconds, time.monotonic() + seconds)
        return True

    def end(self, lease: int) -> None:
        """End a lease with its keys."""
        self._leases.pop(lease, None)
        for key, item in list(self._items.items()):
            if item['LeaseId'] == lease:
                self.remove(key)

    def _write(self, key: str, encoded: str, lease: int) -> None:
        known = self._items.get(key)
        self._items[key] = {
            'Key': key,
            'Value': encoded,
            'Rev': self.revision,
            'CreatedRev': known['CreatedRev'] if known else self.revision,
            'LeaseId': lease,
        }

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (_seconds, until) in list(self._leases.items()):
            if until <= now:
                self.end(lease)
