"""Fair queueing of organisations at one target, by service time.

Start-time fair queueing: an organisation has a start tag, the later of the
queue's virtual time and its own finish tag, and the lowest start tag goes
next. The finish tag goes up by the expected service time when a request
starts and is corrected when it ends, so an organisation with long requests
gets fewer.
"""

import collections
import itertools
from typing import Final, NamedTuple

_FIRST_COST: Final = 0.002
_COST_GAIN: Final = 0.2
_MAX_PACE_BURST: Final = 0.05
_LEAST_LIMIT: Final = 0.000001


class QueuedRequest(NamedTuple):
    """A request in the queue.

    :param number: unique in the queue.
    :param is_urgent: it goes ahead of all, as it holds a transaction open.
    """

    number: int
    organisation: str
    weight: float
    is_urgent: bool = False


class UsageLimiter:
    """Bound one organisation's use of a target, in slot-seconds a second."""

    def __init__(self, limit: float, now: float) -> None:
        """Start with a small burst."""
        self._limit = limit
        self._credit = min(limit, _MAX_PACE_BURST)
        self._updated_at = now

    def set_limit(self, limit: float, now: float) -> None:
        """Change the bound."""
        self._refill(now)
        self._limit = limit

    def find_next_start_at(self, now: float) -> float:
        """Return when the next request may start."""
        self._refill(now)
        if self._credit > 0:
            return now
        return now - self._credit / max(self._limit, _LEAST_LIMIT)

    def charge(self, seconds: float) -> None:
        """Count service time."""
        self._credit -= seconds

    def _refill(self, now: float) -> None:
        gained = (now - self._updated_at) * self._limit
        self._credit = min(self._credit + gained, _MAX_PACE_BURST)
        self._updated_at = now


class FairQueue:
    """Decide which request runs next at a target."""

    def __init__(self, width: int) -> None:
        """Start empty.

        :param width: requests that run at a time.
        """
        self._width = width
        self._running = 0
        self._queued = 0
        self._virtual = 0.0
        self._finish: dict[str, float] = {}
        self._cost: dict[str, float] = {}
        self._waiting: dict[str, collections.deque[QueuedRequest]] = {}
        self._urgent: list[QueuedRequest] = []
        self._numbers = itertools.count()
        self._paces: dict[str, UsageLimiter] = {}
        self._used: dict[str, float] = {}

    @property
    def load(self) -> float:
        """Return requests running and waiting for each place."""
        return (self._running + self._queued) / self._width

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing waits."""
        return not self._queued

    def enqueue(
        self, organisation: str, weight: float, is_urgent: bool = False
    ) -> QueuedRequest:
        """Queue a request."""
        number = next(self._numbers)
        ticket = QueuedRequest(number, organisation, weight, is_urgent)
        self._queued += 1
        if is_urgent:
            self._urgent.append(ticket)
            return ticket
        queue = self._waiting.setdefault(organisation, collections.deque())
        if not queue:
            finish = self._finish.get(organisation, 0)
            self._finish[organisation] = max(self._virtual, finish)
        queue.append(ticket)
        return ticket

    def remove(self, ticket: QueuedRequest) -> None:
        """Forget a request that gave up waiting."""
        if ticket in self._urgent:
            self._urgent.remove(ticket)
            self._queued -= 1
        queue = self._waiting.get(ticket.organisation, ())
        if ticket in queue:
            queue.remove(ticket)
            self._queued -= 1

    def dequeue(self, now: float) -> QueuedRequest | None:
        """Return the request to start now, if a place is free."""
        if self._running >= self._width or not self._queued:
            return None
        if self._urgent:
            self._running += 1
            self._queued -= 1
            return self._urgent.pop(0)
        ready = [
            (self._finish[name], queue[0].number, name)
            for name, queue in self._waiting.items()
            if queue and self._find_ready_at(name, now) <= now
        ]
        if not ready:
            return None
        start, _number, name = min(ready)
        ticket = self._waiting[name].popleft()
        cost = self._cost.get(name, _FIRST_COST)
        self._finish[name] = start + cost / ticket.weight
        self._virtual = max(self._virtual, start)
        self._running += 1
        self._queued -= 1
        return ticket

    def find_next_start_at(self, now: float) -> float | None:
        """Return when a paced request may start, if any waits for that."""
        if self._running >= self._width or not self._queued:
            return None
        times = [
            self._find_ready_at(name, now)
            for name, queue in self._waiting.items()
            if queue
        ]
        return min(times, default=None)

    def record_completion(self, ticket: QueuedRequest, seconds: float) -> None:
        """Count the end of a request and the service time it took."""
        name = ticket.organisation
        self._running -= 1
        expected = self._cost.get(name, _FIRST_COST)
        self._cost[name] = expected + _COST_GAIN * (seconds - expected)
        correction = (seconds - expected) / ticket.weight
        self._finish[name] = self._finish.get(name, 0) + correction
        self._used[name] = self._used.get(name, 0) + seconds
        if name in self._paces:
            self._paces[name].charge(seconds)

    def set_limits(self, limits: dict[str, float], now: float) -> None:
        """Bound organisations, in slot-seconds a second; others are free."""
        for name in list(self._paces):
            if name not in limits:
                self._paces.pop(name)
        for name, limit in limits.items():
            if name in self._paces:
                self._paces[name].set_limit(limit, now)
            else:
                self._paces[name] = UsageLimiter(limit, now)

    def measure_demand(self, seconds: float) -> dict[str, float]:
        """Return slot-seconds a second wanted since the last call.

        What ran counts with its service time, what waits with its expected.
        """
        demand = {name: used / seconds for name, used in self._used.items()}
        self._used = {}
        for name, queue in self._waiting.items():
            cost = self._cost.get(name, _FIRST_COST)
            waiting = len(queue) * cost / seconds
            demand[name] = demand.get(name, 0) + waiting
        return {name: wanted for name, wanted in demand.items() if wanted}

    def _find_ready_at(self, organisation: str, now: float) -> float:
        pace = self._paces.get(organisation)
        return now if pace is None else pace.find_next_start_at(now)
