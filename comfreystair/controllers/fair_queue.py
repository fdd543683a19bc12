"""Fair queueing of organisations at one target, by service time.

:class:`ServiceShares` decides whose request is next; this queue adds limits of
organisations and urgent requests.
"""

import collections
import itertools
from typing import Final, NamedTuple

from comfreystair.controllers.scheduling.service_shares import ServiceShares

_MAX_BURST_SLOT_SECONDS: Final = 0.05
# Longest time in which a debt is paid off. Limits follow a demand that is
# measured over a shorter time, so an older debt says little.
_MAX_DEBT_SECONDS: Final = 0.5
# Avoids a division by zero for an organisation with a limit of zero.
_MIN_LIMIT: Final = 0.000001


class QueuedRequest(NamedTuple):
    """A request in the queue.

    :param number: unique in the queue, in order of arrival.
    :param weight: weight of its organisation relative to others.
    :param is_urgent: it runs before all others since it belongs to an open
        transaction.
    """

    number: int
    organisation: str
    weight: float
    is_urgent: bool = False


class UsageLimiter:
    """Limits an organisation's use of a target, in slot-seconds per second.

    One slot-second is one slot of the target in use for one second.
    """

    def __init__(self, limit: float, now: float) -> None:
        """Begin with one second of credit, at most the largest burst.

        :param limit: slot-seconds per second.
        :param now: monotonic seconds.
        """
        self._limit = limit
        self._credit = min(limit, _MAX_BURST_SLOT_SECONDS)
        self._updated_at = now

    def set_limit(self, limit: float, now: float) -> None:
        """Set the limit, in slot-seconds per second."""
        self._refill(now)
        self._limit = limit
        self._bound_debt()

    def find_next_start_at(self, now: float) -> float:
        """Return the earliest start of a request, in monotonic seconds."""
        self._refill(now)
        if self._credit > 0:
            return now
        return now - self._credit / max(self._limit, _MIN_LIMIT)

    def charge(self, seconds: float) -> None:
        """Debit the service time of a completed request, in seconds.

        The credit may become negative, by what the limit refills in
        :data:`_MAX_DEBT_SECONDS`. One statement that took long while the limit
        is low would else block its organisation for many seconds.
        """
        self._credit -= seconds
        self._bound_debt()

    def _refill(self, now: float) -> None:
        refilled = (now - self._updated_at) * self._limit
        self._credit = min(self._credit + refilled, _MAX_BURST_SLOT_SECONDS)
        self._updated_at = now

    def _bound_debt(self) -> None:
        self._credit = max(self._credit, -self._limit * _MAX_DEBT_SECONDS)


class FairQueue:
    """The requests that run or wait at one target, in fair order."""

    def __init__(self, concurrency_limit: int) -> None:
        """Begin without requests.

        :param concurrency_limit: number of requests that run at a time.
        """
        self._concurrency_limit = concurrency_limit
        self._running = 0
        self._queued = 0
        self._shares = ServiceShares()
        self._waiting: dict[str, collections.deque[QueuedRequest]] = {}
        self._urgent: list[QueuedRequest] = []
        self._request_numbers = itertools.count()
        self._usage_limiters: dict[str, UsageLimiter] = {}
        self._used_slot_seconds: dict[str, float] = {}

    @property
    def load(self) -> float:
        """Return the requests that run or wait, by the concurrency limit."""
        return (self._running + self._queued) / self._concurrency_limit

    @property
    def is_empty(self) -> bool:
        """Return whether no request waits."""
        return not self._queued

    def enqueue(
        self, organisation: str, weight: float, is_urgent: bool = False
    ) -> QueuedRequest:
        """Add a request to the queue and return it."""
        number = next(self._request_numbers)
        request = QueuedRequest(number, organisation, weight, is_urgent)
        self._queued += 1
        if is_urgent:
            self._urgent.append(request)
            return request
        queue = self._waiting.setdefault(organisation, collections.deque())
        if not queue:
            self._shares.activate(organisation)
        queue.append(request)
        return request

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request whose caller has given up, if it still waits."""
        if request in self._urgent:
            self._urgent.remove(request)
            self._queued -= 1
        queue = self._waiting.get(request.organisation, ())
        if request in queue:
            queue.remove(request)
            self._queued -= 1

    def dequeue(self, now: float) -> QueuedRequest | None:
        """Remove and return the request to start now, if one may run."""
        if self._running >= self._concurrency_limit or not self._queued:
            return None
        if self._urgent:
            self._running += 1
            self._queued -= 1
            return self._urgent.pop(0)
        ready = [
            (self._shares.find_start_tag(name), queue[0].number, name)
            for name, queue in self._waiting.items()
            if queue and self._find_limiter_start_at(name, now) <= now
        ]
        if not ready:
            return None
        _start_tag, _number, name = min(ready)
        request = self._waiting[name].popleft()
        self._shares.record_start(name, request.weight)
        self._running += 1
        self._queued -= 1
        return request

    def find_next_start_at(self, now: float) -> float | None:
        """Return when the next request that is not urgent may start.

        :returns: monotonic seconds, or nothing if no such request waits or
            the concurrency limit is reached.
        """
        if self._running >= self._concurrency_limit or not self._queued:
            return None
        times = [
            self._find_limiter_start_at(name, now)
            for name, queue in self._waiting.items()
            if queue
        ]
        return min(times, default=None)

    def record_completion(self, request: QueuedRequest, seconds: float) -> None:
        """Record the end of a request and its service time, in seconds."""
        name = request.organisation
        self._running -= 1
        self._shares.record_completion(name, seconds, request.weight)
        self._used_slot_seconds[name] = (
            self._used_slot_seconds.get(name, 0) + seconds
        )
        if name in self._usage_limiters:
            self._usage_limiters[name].charge(seconds)

    def set_limits(self, limits: dict[str, float], now: float) -> None:
        """Set the limits of organisations, in slot-seconds per second.

        Organisations without an entry are not limited.
        """
        for name in list(self._usage_limiters):
            if name not in limits:
                self._usage_limiters.pop(name)
        for name, limit in limits.items():
            if name in self._usage_limiters:
                self._usage_limiters[name].set_limit(limit, now)
            else:
                self._usage_limiters[name] = UsageLimiter(limit, now)

    def measure_demand(self, seconds: float) -> dict[str, float]:
        """Return the demand since the last call, in slot-seconds per second.

        Completed requests count with their service time, waiting ones with
        the expected service time of their organisation. Urgent requests that
        wait are not counted.

        :param seconds: time since the last call.
        :returns: demand by organisation, without those that have none.
        """
        demand = {
            name: used / seconds
            for name, used in self._used_slot_seconds.items()
        }
        self._used_slot_seconds = {}
        for name, queue in self._waiting.items():
            service_seconds = self._shares.find_expected_seconds(name)
            waiting = len(queue) * service_seconds / seconds
            demand[name] = demand.get(name, 0) + waiting
        return {name: wanted for name, wanted in demand.items() if wanted}

    def _find_limiter_start_at(self, organisation: str, now: float) -> float:
        limiter = self._usage_limiters.get(organisation)
        return now if limiter is None else limiter.find_next_start_at(now)
