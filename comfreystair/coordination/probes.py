"""Ask targets about themselves, on connections of their own."""

from collections.abc import Awaitable, Callable
from typing import Final

from comfreystair.controllers.succession import Standing, parse_received
from comfreystair.coordination.calls import run_side_by_side
from comfreystair.coordination.state import FleetState
from comfreystair.exceptions import ComfreystairError
from comfreystair.observability.decisions import DecisionLog
from comfreystair.pooling.targets import (
    Connection,
    TargetEntry,
    TargetReport,
)

# Bound on one question to a target, in seconds.
_ASK_SECONDS: Final = 0.3

OpenProbe = Callable[[TargetEntry, float], Awaitable[Connection]]
_Question = Callable[[Connection], Awaitable[TargetReport | None]]


class Probes:
    """Questions to targets; one that does not answer gives nothing."""

    def __init__(
        self, state: FleetState, open_probe: OpenProbe, log: DecisionLog
    ) -> None:
        """Take the parts."""
        self._state = state
        self._open = open_probe
        self._log = log

    async def ask_status(self, entry: TargetEntry) -> TargetReport | None:
        """Return what a target says of itself."""
        return await self._ask(entry, _ask_status)

    async def step_down(
        self, entry: TargetEntry, term: int
    ) -> TargetReport | None:
        """Make a primary of a lower term a replica."""

        async def order(connection: Connection) -> TargetReport | None:
            return await connection.step_down(term, _ASK_SECONDS)

        return await self._ask(entry, order)

    async def ask_all(self, group: str) -> list[Standing]:
        """Return the targets of a group that answer."""
        standings: list[Standing] = []

        async def ask(entry: TargetEntry) -> None:
            report = await self.ask_status(entry)
            if report is not None:
                standings.append(_build_standing(entry, report))

        await run_side_by_side(ask, self._state.list_targets(group))
        return standings

    async def _ask(
        self, entry: TargetEntry, ask: _Question
    ) -> TargetReport | None:
        connection: Connection | None = None
        try:
            connection = await self._open(entry, _ASK_SECONDS)
            return await ask(connection)
        except ComfreystairError as error:
            self._log.write('probe_failed', target=entry.ident, reason=error)
            return None
        finally:
            if connection is not None:
                await connection.close()


async def _ask_status(connection: Connection) -> TargetReport | None:
    return await connection.ask_status(_ASK_SECONDS)


def _build_standing(entry: TargetEntry, report: TargetReport) -> Standing:
    return Standing(
        entry.ident,
        report.is_primary,
        report.term,
        parse_received(report.received),
        entry.is_leaving,
    )
