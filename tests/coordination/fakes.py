"""In-memory fakes of the log, the store and the peers."""

from collections.abc import Awaitable, Callable

from comfreystair.coordination.records import Committed, Conflict, StoredValue
from comfreystair.exceptions import ComfreystairError
from comfreystair.peers import PeerSilentError


class FakeLog:
    """Records events instead of writing them."""

    def __init__(self) -> None:
        """Initialise without events."""
        self.events: list[str] = []

    def write(self, event: str, **_fields: object) -> None:
        """Record an event without its fields."""
        self.events.append(event)


class FakeStore:
    """In-memory store with revisions and leases.

    :ivar is_down: every call fails.
    :ivar calls: number of calls, including those that failed.
    """

    def __init__(self) -> None:
        """Initialise without keys and leases."""
        self.items: dict[str, StoredValue] = {}
        self.revision = 0
        self.is_down = False
        self.calls = 0
        self._leases: set[int] = set()

    async def read(self, key: str) -> StoredValue:
        """Return a key's value."""
        self._check()
        return self.items.get(key, StoredValue(b'', 0))

    async def list(
        self, prefix: str, is_stale_ok: bool
    ) -> dict[str, StoredValue]:
        """Return the values of all keys with a prefix."""
        self._check()
        return {
            key: item
            for key, item in self.items.items()
            if key.startswith(prefix)
        }

    async def compare_and_set(
        self, expected, writes=None, lease: int = 0, leased=()
    ) -> Committed | Conflict:
        """Write keys if all expected revisions are current."""
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
        """Create a lease that never expires and return its id."""
        self._check()
        self.revision += 1
        self._leases.add(self.revision)
        return self.revision

    async def renew_lease(self, lease: int) -> bool:
        """Tell whether a lease has not been revoked."""
        self._check()
        return lease in self._leases

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and delete its keys."""
        self._check()
        self._leases.discard(lease)
        for key, item in list(self.items.items()):
            if item.lease == lease:
                self.items.pop(key)

    def _check(self) -> None:
        self.calls += 1
        if self.is_down:
            raise ComfreystairError('the store is down', 'store')


class FakePeers:
    """In-memory calls between the instances of a test, by address."""

    def __init__(self) -> None:
        """Initialise without instances."""
        self.methods: dict[tuple[str, str], Callable[..., Awaitable]] = {}
        self.unreachable: set[str] = set()

    def is_stalled(self, _address: str, _seconds: float) -> bool:
        """Report that no peer has stalled."""
        return False

    def serve(self, address: str, method: str, handle) -> None:
        """Register the handler of a method at an address."""
        self.methods[(address, method)] = handle

    async def call(
        self, address: str, method: str, body, _kind, _seconds: float = 0
    ):
        """Call a method.

        :raises PeerSilentError: when the address is unreachable or does not
            serve the method.
        """
        handle = self.methods.get((address, method))
        if handle is None or address in self.unreachable:
            raise PeerSilentError('no answer in time', method, address)
        return await handle(body)
