"""All targets with their connections and how they answered lately."""

from collections.abc import Iterable

from comfreystair.controllers.seats import find_limit
from comfreystair.controllers.selection import Candidate, TargetHealth
from comfreystair.pooling.members import TargetEntry
from comfreystair.pooling.pool import OpenConnection, TargetPool

# Connections of each target that are kept for questions about its status and
# for those of instances that are gone.
RESERVE_CONNECTIONS = 4


class TargetBoard:
    """Pools and health by target."""

    def __init__(self, zone: str, open_connection: OpenConnection) -> None:
        """Start without targets.

        :param zone: of this instance.
        """
        self._zone = zone
        self._open = open_connection
        self._pools: dict[str, TargetPool] = {}
        self._health: dict[str, TargetHealth] = {}

    async def update(
        self,
        entries: Iterable[TargetEntry],
        connections: dict[str, int],
        instances: int,
    ) -> None:
        """Take over the targets there are and the limits of their groups."""
        wanted = {one.ident: one for one in entries}
        for ident, pool in list(self._pools.items()):
            if not _is_same(pool.entry, wanted.get(ident)):
                await self._pools.pop(ident).close()
                self._health.pop(ident)
        for ident, entry in wanted.items():
            total = connections.get(entry.group, 0)
            limit = find_limit(total, instances, RESERVE_CONNECTIONS)
            pool = self._pools.get(ident)
            if pool is None:
                self._pools[ident] = TargetPool(entry, limit, self._open)
                self._health[ident] = TargetHealth()
            else:
                await pool.set_limit(limit)

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
        organisation: str,
    ) -> list[Candidate]:
        """Return the targets that take new work."""
        found: list[Candidate] = []
        for entry in entries:
            pool = self._pools.get(entry.ident)
            if pool is None or entry.is_leaving:
                continue
            found.append(
                Candidate(
                    entry.ident,
                    entry.zone == self._zone,
                    entry.ident == primary,
                    pool.gate.load / entry.slots,
                    pool.has_resting(organisation),
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
