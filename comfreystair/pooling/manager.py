"""All targets with their connections and how they answered lately."""

import collections
from collections.abc import Callable, Iterable

from comfreystair.controllers.selection import Candidate, TargetHealth
from comfreystair.pooling.targets import TargetEntry
from comfreystair.pooling.pool import OpenConnection, TargetPool

# Bound on a target's connections by what this instance is to it.
FindLimit = Callable[[TargetEntry], int]


class PoolManager:
    """Pools and health by target."""

    def __init__(self, zone: str, open_connection: OpenConnection) -> None:
        """Start without targets.

        :param zone: of this instance.
        """
        self._zone = zone
        self._open = open_connection
        self._pools: dict[str, TargetPool] = {}
        self._health: dict[str, TargetHealth] = {}
        self._loads: collections.Counter[str] = collections.Counter()

    async def update(
        self,
        entries: Iterable[TargetEntry],
        find_limit: FindLimit,
        has_use: Callable[[TargetEntry], bool],
    ) -> None:
        """Take over the targets there are and who holds connections to them.

        Connections that rest without use are closed: they count against the
        limit of the whole fleet.
        """
        wanted = {one.ident: one for one in entries}
        for ident, pool in list(self._pools.items()):
            if not _is_same(pool.entry, wanted.get(ident)):
                await self._pools.pop(ident).close()
                self._health.pop(ident)
        for ident, entry in wanted.items():
            limit = find_limit(entry)
            pool = self._pools.get(ident)
            if pool is None:
                self._pools[ident] = TargetPool(entry, limit, self._open)
                self._health[ident] = TargetHealth()
            else:
                await pool.set_limit(limit)
                if not has_use(entry):
                    await pool.close_resting()

    def count_start(self, ident: str) -> None:
        """Count work of this instance's callers that a target has."""
        self._loads[ident] += 1

    def count_end(self, ident: str) -> None:
        """Count work as over."""
        self._loads[ident] -= 1

    def find_pool(self, ident: str) -> TargetPool | None:
        """Return a target's pool."""
        return self._pools.get(ident)

    def find_health(self, ident: str) -> TargetHealth:
        """Return how a target answered lately."""
        return self._health.get(ident) or TargetHealth()

    def list_candidates(
        self,
        entries: Iterable[TargetEntry],
        primary: str,
    ) -> list[Candidate]:
        """Return the targets that take new work."""
        found: list[Candidate] = []
        for entry in entries:
            if entry.ident not in self._pools or entry.is_leaving:
                continue
            found.append(
                Candidate(
                    entry.ident,
                    entry.zone == self._zone,
                    entry.ident == primary,
                    self._loads[entry.ident] / entry.slots,
                    self._health[entry.ident],
                )
            )
        return found


def _is_same(known: TargetEntry, listed: TargetEntry | None) -> bool:
    """Tell whether an entry is the same life of the same target."""
    return (
        listed is not None
        and listed.born == known.born
        and listed.address == known.address
        and listed.group == known.group
    )
