"""Connection pools of all targets, with the health and load of each."""

import collections
import json
from collections.abc import Callable, Iterable

from comfreystair.controllers.target_selection import (
    ReadCandidate,
    TargetHealth,
)
from comfreystair.pooling.pool import (
    MaySend,
    OnEnd,
    OpenConnection,
    TargetPool,
    allow_all,
    ignore_end,
)
from comfreystair.pooling.priority_semaphore import (
    BuildSemaphore,
    PrioritySemaphore,
)
from comfreystair.pooling.targets import TargetEntry
from comfreystair.tasks import contain_errors

# Returns how many connections this instance may hold to a target.
FindLimit = Callable[[TargetEntry], int]


class PoolManager:
    """Connection pool, health and load of each target."""

    def __init__(
        self,
        zone: str,
        open_connection: OpenConnection,
        may_send: MaySend = allow_all,
        build_semaphore: BuildSemaphore = PrioritySemaphore,
        on_end: OnEnd = ignore_end,
    ) -> None:
        """Initialize without targets; :meth:`update` adds them.

        :param zone: availability zone of this instance.
        :param open_connection: opens a connection to a target for an
            organisation, within a number of seconds.
        :param may_send: tells whether requests may be sent to a target.
        :param build_semaphore: builds the limit on a target's running
            statements.
        :param on_end: called when a connection to a target has ended or was
            refused.
        """
        self._zone = zone
        self._may_send = may_send
        self._open_connection = open_connection
        self._build_semaphore = build_semaphore
        self._on_end = on_end
        self._pools: dict[str, TargetPool] = {}
        self._health: dict[str, TargetHealth] = {}
        self._running_requests: collections.Counter[str] = collections.Counter()

    async def update(
        self,
        entries: Iterable[TargetEntry],
        find_limit: FindLimit,
        has_use: Callable[[TargetEntry], bool],
        has_backoff: Callable[[TargetEntry], bool] | None = None,
    ) -> None:
        """Create, close and resize pools to match the registered targets.

        Idle connections that will not be used are closed: they count against
        the connection limit of the whole fleet.

        :param find_limit: returns the connection limit of this instance.
        :param has_use: tells whether idle connections will be used.
        :param has_backoff: tells whether to back off from a target that refuses
            connections because of its limit; if absent, from none.
        """
        wanted = {registered.ident: registered for registered in entries}
        for ident, pool in list(self._pools.items()):
            if not _is_same_run(pool.entry, wanted.get(ident)):
                await self._pools.pop(ident).close()
                self._health.pop(ident)
        for entry in wanted.values():
            with contain_errors('update_pool', entry.ident):
                await self._update_pool(
                    entry,
                    find_limit(entry),
                    has_backoff is not None and has_backoff(entry),
                )
                if not has_use(entry):
                    await self._pools[entry.ident].close_idle()

    def record_request_start(self, ident: str) -> None:
        """Count a request of this instance's callers as running at a target."""
        self._running_requests[ident] += 1

    def record_request_end(self, ident: str) -> None:
        """Count a request at a target as finished."""
        self._running_requests[ident] -= 1

    def find_pool(self, ident: str) -> TargetPool | None:
        """Return a target's pool; nothing for an unknown target."""
        return self._pools.get(ident)

    def find_health(self, ident: str) -> TargetHealth:
        """Return a target's health, from its recent answers.

        An unknown target has the health of a new one.
        """
        return self._health.get(ident) or TargetHealth()

    def list_candidates(
        self,
        entries: Iterable[TargetEntry],
        primary: str,
    ) -> list[ReadCandidate]:
        """Return the targets that accept new requests.

        :param primary: id of the current primary, empty for none.
        """
        found: list[ReadCandidate] = []
        for entry in entries:
            if entry.ident not in self._pools or entry.is_leaving:
                continue
            found.append(
                ReadCandidate(
                    entry.ident,
                    entry.zone == self._zone,
                    entry.ident == primary,
                    self._running_requests[entry.ident] / entry.slots,
                    self._health[entry.ident],
                )
            )
        return found

    def list_gauges(self) -> dict[str, float]:
        """Return metrics of the targets that have refused connections."""
        gauges: dict[str, float] = {}
        for ident, pool in self._pools.items():
            stats = pool.stats
            if stats.refused:
                label = json.dumps(ident, ensure_ascii=False)
                gauges[f'connections_refused_total{{target={label}}}'] = (
                    stats.refused
                )
                gauges[
                    f'connection_backoff_seconds_total{{target={label}}}'
                ] = stats.backoff_seconds
        return gauges

    async def _update_pool(
        self, entry: TargetEntry, limit: int, has_backoff: bool
    ) -> None:
        """Create or resize the pool of a target."""
        pool = self._pools.get(entry.ident)
        if pool is None:
            pool = TargetPool(
                entry,
                limit,
                self._open_connection,
                self._may_send,
                self._build_semaphore,
                self._on_end,
            )
            self._pools[entry.ident] = pool
            self._health[entry.ident] = TargetHealth()
        await pool.set_limit(limit, has_backoff)


def _is_same_run(known: TargetEntry, listed: TargetEntry | None) -> bool:
    """Tell whether both entries are the same run of the same target."""
    return (
        listed is not None
        and listed.born == known.born
        and listed.address == known.address
        and listed.group == known.group
    )
