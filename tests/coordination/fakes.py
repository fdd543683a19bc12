"""A store and peers that live in the test's own process."""

from collections.abc import Awaitable, Callable

from comfreystair.coordination.records import Committed, Conflict, StoredValue
from comfreystair.exceptions import ComfreystairError
from comfreystair.peers import PeerSilentError


class FakeLog:
    """Keep events instead of writing them."""

    def __init__(self) -> None:
        """Start empty."""
        self.events: list[str] = []

    def write(self, event: str, **_fields: object) -> None:
        """Keep an event."""
        self.events.append(event)


class FakeStore:
    """Keys with revisions and leases; it can be turned off."""

    def __init__(self) -> None:
        """Start empty."""
        self.items: dict[str, StoredValue] = {}
        self.revision = 0
        self.is_down = False
        self.calls = 0
        self._leases: set[int] = set()

    async def read(self, key: str) -> StoredValue:
        """Return a key's content."""
        self._check()
        return self.items.get(key, StoredValue(b'', 0))

    async def list(
        self, prefix: str, is_stale_ok: bool
    ) -> dict[str, StoredValue]:
        """Return all keys with a prefix."""
        self._check()
        return {
            key: item
            for key, item in self.items.items()
            if key.startswith(prefix)
        }

    async def compare_and_set(
        self, expected, writes=None, lease: int = 0, leased=()
    ) -> Committed | Conflict:
        """Write keys if others are at their revisions."""
        self._check()
        found = {
            key: self.items.get(key, StoredValue(b'', 0)) for key in expected
        }
        if any(found[key].revision != expected[key] for key in expected):
            return Conflict(
                {key: item for key, item in found.items() if item.revision}
            )
        self.revision += 1
        for key, blob in (writes or {}).items():
            owner = lease if key in leased else 0
            self.items[key] = StoredValue(blob, self.revision, owner)
        return Committed(self.revision)

    async def grant_lease(self, seconds: float) -> int:
        """Return a new lease."""
        self._check()
        self.revision += 1
        self._leases.add(self.revision)
        return self.revision

    async def renew_lease(self, lease: int) -> bool:
        """Tell whether a lease still is one."""
        self._check()
        return lease in self._leases

    async def revoke_lease(self, lease: int) -> None:
        """End a lease with its keys."""
        self._check()
        self._leases.discard(lease)
        for key, item in list(self.items.items()):
            if item.lease == lease:
                self.items.pop(key)

    def _check(self) -> None:
        self.calls += 1
        if self.is_down:
            raise ComfreystairError('turned away', 'store')


class FakePeers:
    """Calls between instances of one process, by address."""

    def __init__(self) -> None:
        """Start with nobody."""
        self.methods: dict[tuple[str, str], Callable[..., Awaitable]] = {}
        self.unreachable: set[str] = set()

    def is_stalled(self, _address: str, _seconds: float) -> bool:
        """Tell that nobody hangs."""
        return False

    def serve(self, address: str, method: str, handle) -> None:
        """Let an address answer a method."""
        self.methods[(address, method)] = handle

    async def call(
        self, address: str, method: str, body, _kind, _seconds: float = 0
    ):
        """Call a method."""
        handle = self.methods.get((address, method))
        if handle is None or address in self.unreachable:
            raise PeerSilentError('no answer in time', method, address)
        return await handle(body)
