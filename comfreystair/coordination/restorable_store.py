"""A store whose conditions never hold by chance after a restore.

A revision, or the id of a lease, may be given out again in a new era. A
condition or a lease of an earlier era is therefore never sent: it could be met
by a value that nobody here has read.
"""

from collections.abc import Mapping

from comfreystair.controllers.store_position import ABSENT, StorePosition
from comfreystair.coordination.exceptions import StoreRestoredError
from comfreystair.coordination.records import (
    Committed,
    Conflict,
    Lease,
    StoreClient,
    StoredValue,
)
from comfreystair.coordination.store_era import StoreEra


class RestorableStore:
    """Forwards calls to a store, and detects that it has been restored."""

    def __init__(self, store: StoreClient, era: StoreEra) -> None:
        """Initialise the checks of one store.

        :param store: tells ``era`` of each answer before it returns.
        :param era: the store's newest era.
        """
        self._store = store
        self._era = era

    async def read(self, key: str) -> StoredValue:
        """Return a key's value, which may be outdated by some seconds."""
        return await self._store.read(key)

    async def list(
        self, prefix: str, is_stale_ok: bool
    ) -> dict[str, StoredValue]:
        """Return the values of all keys with a prefix."""
        return await self._store.list(prefix, is_stale_ok)

    async def compare_and_set(
        self,
        expected: Mapping[str, StorePosition],
        writes: Mapping[str, bytes] | None = None,
        lease: Lease | None = None,
        leased: tuple[str, ...] = (),
    ) -> Committed | Conflict:
        """Write keys if all expected positions are current.

        Positions of an earlier era are answered with the present values, a
        lease of one as a lease that has expired.

        :raises StoreRestoredError: when a new era began during the call; the
            values may have been written on top of values unknown here.
        """
        era = self._era.current
        if lease is not None and lease.era != era:
            return Conflict({})
        if any(one.is_set and one.era != era for one in expected.values()):
            return await self._read_all(expected)
        outcome = await self._store.compare_and_set(
            expected, writes, lease, leased
        )
        is_same = self._era.current == era or not era
        if is_same or isinstance(outcome, Conflict):
            return outcome
        if writes:
            raise StoreRestoredError(
                'the store was restored during a write', 'store'
            )
        return await self._read_all(expected)

    async def grant_lease(self, seconds: float) -> Lease:
        """Create a lease."""
        return await self._store.grant_lease(seconds)

    async def renew_lease(self, lease: Lease) -> bool:
        """Renew a lease; one of an earlier era does not exist any more."""
        if lease.era != self._era.current:
            return False
        is_renewed = await self._store.renew_lease(lease)
        return is_renewed and lease.era == self._era.current

    async def revoke_lease(self, lease: Lease) -> None:
        """Revoke a lease, unless its era is over."""
        if lease.era == self._era.current:
            await self._store.revoke_lease(lease)

    async def _read_all(self, keys: Mapping[str, StorePosition]) -> Conflict:
        """Return the present values of some keys as a conflict.

        The condition that none of them exists can only be met when none does.
        """
        outcome = await self._store.compare_and_set(dict.fromkeys(keys, ABSENT))
        return outcome if isinstance(outcome, Conflict) else Conflict({})
