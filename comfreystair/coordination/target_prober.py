"""Status queries to targets, each on a connection of its own."""

from collections.abc import Awaitable, Callable
from typing import Final

from comfreystair.controllers.primary_failover import (
    ReplicationStatus,
    get_log_end,
)
from comfreystair.coordination.concurrency import run_concurrently
from comfreystair.coordination.state import FleetState
from comfreystair.exceptions import ComfreystairError
from comfreystair.observability.decisions import DecisionLog
from comfreystair.pooling.targets import (
    Connection,
    TargetEntry,
    TargetReport,
)

# Timeout of connecting to a target, and of one request to it.
_REQUEST_TIMEOUT_SECONDS: Final = 0.3

OpenProbe = Callable[[TargetEntry, float], Awaitable[Connection]]
_Request = Callable[[Connection], Awaitable[TargetReport | None]]


class TargetProber:
    """Queries and demotes targets; a target that fails gives no report."""

    def __init__(
        self, state: FleetState, open_probe: OpenProbe, log: DecisionLog
    ) -> None:
        """Initialise a prober without open connections.

        :param state: this instance's view of the fleet, with the targets.
        :param open_probe: opens a connection to a target within a timeout in
            seconds.
        :param log: receives an event for each request that fails.
        """
        self._state = state
        self._open_connection = open_probe
        self._log = log

    async def query_status(self, entry: TargetEntry) -> TargetReport | None:
        """Return a target's status report, or nothing when it fails."""
        return await self._run(entry, _query_status)

    async def step_down(
        self, entry: TargetEntry, term: int
    ) -> TargetReport | None:
        """Make a target a replica if it is primary with a lower term.

        :returns: its status report, or nothing when it fails.
        """

        async def demote(connection: Connection) -> TargetReport | None:
            return await connection.step_down(term, _REQUEST_TIMEOUT_SECONDS)

        return await self._run(entry, demote)

    async def query_group(self, group: str) -> list[ReplicationStatus]:
        """Return the replication status of a group's targets that answer."""
        statuses: list[ReplicationStatus] = []

        async def ask(entry: TargetEntry) -> None:
            report = await self.query_status(entry)
            if report is not None:
                statuses.append(_build_status(entry, report))

        await run_concurrently(ask, self._state.list_targets(group))
        return statuses

    async def _run(
        self, entry: TargetEntry, ask: _Request
    ) -> TargetReport | None:
        """Open a connection to a target, send a request and close it."""
        connection: Connection | None = None
        try:
            connection = await self._open_connection(
                entry, _REQUEST_TIMEOUT_SECONDS
            )
            return await ask(connection)
        except ComfreystairError as error:
            self._log.write('probe_failed', target=entry.ident, reason=error)
            return None
        finally:
            if connection is not None:
                await connection.close()


async def _query_status(connection: Connection) -> TargetReport | None:
    return await connection.ask_status(_REQUEST_TIMEOUT_SECONDS)


def _build_status(
    entry: TargetEntry, report: TargetReport
) -> ReplicationStatus:
    return ReplicationStatus(
        entry.ident,
        report.is_primary,
        report.term,
        get_log_end(report.received),
        entry.is_leaving,
    )
