"""Log positions of primaries that no request of this instance may reach.

A read at a replica needs a position of the primary as its floor. Usually the
answers to this instance's requests contain one. Requests that may not reach the
primary's region bring none, so the primary's status is queried instead.
"""

from typing import Final

import curio

from comfreystair.clocks import read_clock
from comfreystair.coordination.state import FleetState
from comfreystair.coordination.target_prober import TargetProber
from comfreystair.tasks import contain_errors

# Least interval between two queries of a primary. Each opens a connection,
# which costs the target about as much as a statement.
_MIN_INTERVAL_SECONDS: Final = 0.1


class PositionSampler:
    """Queries primaries for their log position on request."""

    def __init__(self, state: FleetState, prober: TargetProber) -> None:
        """Initialise without queries in progress.

        :param state: this instance's view of the fleet; receives the samples.
        :param prober: queries the status of a primary.
        """
        self._state = state
        self._prober = prober
        self._running: set[str] = set()
        self._asked_at: dict[str, float] = {}

    async def request(self, name: str) -> None:
        """Query the primary of a group in the background.

        Nothing happens while a query runs, or shortly after the last one.

        :param name: name of the database group.
        """
        now = read_clock()
        elapsed = now - self._asked_at.get(name, float('-inf'))
        if name in self._running or elapsed < _MIN_INTERVAL_SECONDS:
            return
        self._running.add(name)
        self._asked_at[name] = now
        await curio.spawn(self._sample_contained, name, daemon=True)

    async def _sample_contained(self, name: str) -> None:
        try:
            with contain_errors('sample_position', name):
                await self._sample(name)
        finally:
            self._running.discard(name)

    async def _sample(self, name: str) -> None:
        group = self._state.find_group(name)
        tracker = group.primary_tracker
        asked_at = read_clock()
        entry = self._state.targets.get(tracker.find_primary(asked_at))
        if entry is None:
            return
        probe = await self._prober.probe(entry)
        if entry.ident != tracker.record.primary:
            return
        if not probe.is_answered:
            # The monitor goes on from here, as after a failed request.
            group.record_failure(asked_at)
            return
        now = read_clock()
        group.record_answer(now)
        report = probe.report
        if report is None or not report.is_primary or report.received is None:
            return
        if tracker.may_acknowledge(entry.ident, now):
            tracker.add_sample(asked_at, report.received)
            await group.notify_waiters()
