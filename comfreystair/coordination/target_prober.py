"""Status queries to targets, each on a connection of its own."""

from collections.abc import Awaitable, Callable, Container
from typing import Final, NamedTuple

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.primary_failover import (
    ReplicationStatus,
    get_log_end,
)
from comfreystair.coordination.concurrency import run_concurrently
from comfreystair.coordination.state import FleetState
from comfreystair.observability.decisions import DecisionLog
from comfreystair.pooling.exceptions import TargetRefusedError
from comfreystair.pooling.targets import (
    Connection,
    TargetEntry,
    TargetReport,
)
from comfreystair.sessions.statements import Failure
from comfreystair.tasks import describe_error

# Timeout of connecting to a target, and of one request to it.
_REQUEST_TIMEOUT_SECONDS: Final = 0.3
# The same for a target that probably does not answer.
_DOUBTFUL_TIMEOUT_SECONDS: Final = 0.1
# Delay before a busy target is queried again.
_BUSY_RETRY_SECONDS: Final = 0.06

OpenProbe = Callable[[TargetEntry, float], Awaitable[Connection]]
_Request = Callable[[Connection], Awaitable[TargetReport | None]]


class Probe(NamedTuple):
    """What a status query showed.

    :param is_answered: the target answered, be it that it is too busy.
    :param report: its status, if it gave one.
    """

    is_answered: bool
    report: TargetReport | None

    @property
    def is_busy(self) -> bool:
        """Tell whether the target answered without a status."""
        return self.is_answered and self.report is None


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
        return (await self.probe(entry)).report

    async def probe(
        self, entry: TargetEntry, seconds: float = _REQUEST_TIMEOUT_SECONDS
    ) -> Probe:
        """Query a target's status and tell whether it answered at all.

        :param seconds: bound on connecting, and again on the query.
        """

        async def ask(connection: Connection) -> TargetReport | None:
            return await connection.ask_status(seconds)

        return await self._run(entry, ask, seconds)

    async def step_down(
        self, entry: TargetEntry, term: int
    ) -> TargetReport | None:
        """Make a target a replica if it is primary with a lower term.

        :returns: its status report, or nothing when it fails.
        """

        async def demote(connection: Connection) -> TargetReport | None:
            return await connection.step_down(term, _REQUEST_TIMEOUT_SECONDS)

        return (await self._run(entry, demote)).report

    async def query_group(
        self,
        group: str,
        doubtful: Container[str] = (),
        busy_seconds: float = 0,
    ) -> list[ReplicationStatus]:
        """Return the replication status of a group's targets that answer.

        :param doubtful: ids of targets that probably do not answer, which are
            given less time.
        :param busy_seconds: for how long a target that answers without a
            status is queried again.
        """
        give_up_at = read_clock() + busy_seconds
        statuses: list[ReplicationStatus] = []

        async def ask(entry: TargetEntry) -> None:
            seconds = (
                _DOUBTFUL_TIMEOUT_SECONDS
                if entry.ident in doubtful
                else _REQUEST_TIMEOUT_SECONDS
            )
            probe = await self.probe(entry, seconds)
            while probe.is_busy and read_clock() < give_up_at:
                await curio.sleep(_BUSY_RETRY_SECONDS)
                probe = await self.probe(entry, seconds)
            if probe.report is not None:
                is_cold = self._state.is_cold(entry.ident, read_clock())
                status = _build_status(entry, probe.report)
                statuses.append(status._replace(is_cold=is_cold))

        await run_concurrently(ask, self._state.list_targets(group))
        return statuses

    async def _run(
        self,
        entry: TargetEntry,
        ask: _Request,
        seconds: float = _REQUEST_TIMEOUT_SECONDS,
    ) -> Probe:
        """Open a connection to a target, send a request and close it.

        A target that refuses a connection, as it has too many, has answered,
        unless another target answers at its address.
        """
        connection: Connection | None = None
        try:
            connection = await self._open_connection(entry, seconds)
            return Probe(is_answered=True, report=await ask(connection))
        except TargetRefusedError as error:
            self._log.write('probe_failed', target=entry.ident, reason=error)
            is_other = error.failure is Failure.wrong_target
            return Probe(is_answered=not is_other, report=None)
        except Exception as error:
            self._log.write(
                'probe_failed',
                target=entry.ident,
                reason=describe_error(error),
            )
            return Probe(is_answered=False, report=None)
        finally:
            if connection is not None:
                await connection.close()


def _build_status(
    entry: TargetEntry, report: TargetReport
) -> ReplicationStatus:
    return ReplicationStatus(
        entry.ident,
        report.is_primary,
        report.term,
        get_log_end(report.received),
        entry.is_leaving,
        entry.address,
    )
