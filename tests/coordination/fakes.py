"""In-memory fakes of the log, the store and the peers."""

from collections.abc import Awaitable, Callable

from comfreystair.controllers.store_position import StorePosition
from comfreystair.coordination.evacuations import EvacuationKeys
from comfreystair.coordination.records import (
    MISSING,
    Committed,
    Conflict,
    Lease,
    StoredValue,
)
from comfreystair.coordination.state import FleetState
from comfreystair.exceptions import ComfreystairError
from comfreystair.peers import PeerSilentError


EVACUATIONS = 'evacuate/'


def ignore_era(_era: int, _source: str) -> None:
    """Do nothing with the era of an answer."""


class FakeLog:
    """Records events instead of writing them."""

    def __init__(self) -> None:
        """Initialise without events."""
        self.events: list[str] = []

    def write(self, event: str, **_fields: object) -> None:
        """Record an event without its fields."""
        self.events.append(event)


def build_evacuation_keys(state: FleetState) -> EvacuationKeys:
    """Return the keys of the zones that may be evacuated in a state."""

    def check(item: StoredValue) -> None:
        if item.blob != b'{}':
            raise ValueError('not a table')

    return EvacuationKeys(state, EVACUATIONS, check, FakeLog())


class FakeStore:
    """In-memory store with revisions and leases, which can lose its writes.

    Like the platform's, it compares revisions and ids of leases only. After a
    restore it gives both out again.

    :ivar is_down: every call fails.
    :ivar calls: number of calls, including those that failed.
    :ivar era: number of the store's era.
    """

    def __init__(self, observe_era: Callable[[int, str], None] = ignore_era):
        """Initialise without keys and leases.

        :param observe_era: is told the era of each answer.
        """
        self.items: dict[str, StoredValue] = {}
        self.revision = 0
        self.is_down = False
        self.calls = 0
        self.era = 1
        self._observe_era = observe_era
        self._leases: set[int] = set()
        self._saved: tuple = ({}, 0, set())

    def put(self, key: str, blob: bytes, lease_id: int = 0) -> StorePosition:
        """Write a key, as the operators or another instance."""
        self.revision += 1
        position = StorePosition(self.era, self.revision)
        self.items[key] = StoredValue(blob, position, lease_id)
        return position

    def save(self) -> None:
        """Keep a copy of the present state."""
        self._saved = (dict(self.items), self.revision, set(self._leases))

    def restore(self) -> None:
        """Return to the saved copy, in a new era."""
        items, self.revision, leases = self._saved
        self.era += 1
        self._leases = set(leases)
        self.items = {
            key: item._replace(position=item.position._replace(era=self.era))
            for key, item in items.items()
        }

    async def read(self, key: str) -> StoredValue:
        """Return a key's value."""
        self._check()
        return self.items.get(key, MISSING)

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
        self, expected, writes=None, lease: Lease | None = None, leased=()
    ) -> Committed | Conflict:
        """Write keys if all expected revisions are current."""
        self._check()
        if lease is not None and lease.ident not in self._leases:
            return Conflict({})
        found = {key: self.items.get(key, MISSING) for key in expected}
        if any(
            found[key].position.revision != expected[key].revision
            for key in expected
        ):
            return Conflict(
                {key: one for key, one in found.items() if one.position.is_set}
            )
        self.revision += 1
        position = StorePosition(self.era, self.revision)
        for key, blob in (writes or {}).items():
            owner = lease.ident if lease and key in leased else 0
            self.items[key] = StoredValue(blob, position, owner)
        return Committed(position)

    async def grant_lease(self, seconds: float) -> Lease:
        """Create a lease that never expires."""
        self._check()
        self.revision += 1
        self._leases.add(self.revision)
        return Lease(self.era, self.revision)

    async def renew_lease(self, lease: Lease) -> bool:
        """Tell whether a lease has not been revoked."""
        self._check()
        return lease.ident in self._leases

    async def revoke_lease(self, lease: Lease) -> None:
        """Revoke a lease and delete its keys."""
        self._check()
        self._leases.discard(lease.ident)
        for key, item in list(self.items.items()):
            if item.lease_id == lease.ident:
                self.items.pop(key)

    def _check(self) -> None:
        self.calls += 1
        if self.is_down:
            raise ComfreystairError('the store is down', 'store')
        self._observe_era(self.era, 'store')


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
