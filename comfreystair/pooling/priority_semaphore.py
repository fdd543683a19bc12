"""Limit the statements that run at a target, by priority.

Both semaphores are used in the same way. :class:`AdmissionSemaphore` serves
deployments with priority admission, :class:`PrioritySemaphore` all others.
"""

import functools
import random
from collections.abc import Callable
from typing import Final

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.concurrency_limit import ConcurrencyLimiter
from comfreystair.controllers.scheduling.admission import (
    AdmissionRequest,
    AdmissionTerms,
    Decisions,
    Ending,
    Rejection,
    RejectionReason,
)
from comfreystair.controllers.scheduling.admission_queue import AdmissionQueue
from comfreystair.controllers.wait_queue import QueuedRequest, WaitQueue
from comfreystair.observability.admission import AdmissionReport
from comfreystair.pooling.exceptions import AdmissionError, PoolError

# Bounds from below the wait for a connection, in seconds: one that another
# request is about to release is worth waiting for.
_MIN_CONNECTION_WAIT_SECONDS: Final = 0.05


class PrioritySemaphore:
    """An adaptive concurrency limit of one target with its waiting requests.

    The terms of requests are ignored.
    """

    admits_transactions = False

    def __init__(self, slots: int, ident: str) -> None:
        """Initialize the limit, with no statement running or waiting.

        :param slots: statements that the target runs at the same time.
        :param ident: the target's id, for error messages.
        """
        self._ident = ident
        self._limiter = ConcurrencyLimiter(slots)
        self._queue = WaitQueue()
        self._events: dict[QueuedRequest, curio.Event] = {}

    @property
    def load(self) -> int:
        """Return the number of statements that run or wait."""
        return self._limiter.in_flight + len(self._events)

    async def acquire(
        self,
        organisation: str,
        priority: int,
        max_wait_seconds: float,
        _terms: AdmissionTerms | None = None,
    ) -> None:
        """Wait until the statement may run; :meth:`release` must follow.

        :param priority: lower values run first.
        :param max_wait_seconds: bound on the wait; a request whose estimated
            wait and run time together exceed it is refused at once.
        :raises PoolError: the estimate or the wait exceeds the bound.
        """
        if self._limiter.has_capacity and not self._events:
            self._limiter.start()
            return
        if (
            self._limiter.estimate_time(len(self._events) + 1)
            > max_wait_seconds
        ):
            raise PoolError('estimated wait is too long', 'enter', self._ident)
        queued_request = self._queue.add(organisation, priority, read_clock())
        event = curio.Event()
        self._events[queued_request] = event
        try:
            async with curio.ignore_after(max_wait_seconds):
                await event.wait()
        except BaseException:
            if event.is_set():
                await self.release(organisation, 0, is_rejected=False)
            self._remove(queued_request)
            raise
        self._remove(queued_request)
        if not event.is_set():
            raise PoolError(
                'no concurrency slot became free in time', 'enter', self._ident
            )

    async def release(
        self,
        organisation: str,
        seconds: float,
        is_rejected: bool,
        _terms: AdmissionTerms | None = None,
        _ending: Ending = Ending.answered,
    ) -> None:
        """Record that a statement ended and let waiting ones run.

        :param organisation: whose connection is free now, empty for none.
        :param seconds: how long the statement took.
        :param is_rejected: the target rejected it because of overload.
        """
        self._limiter.finish(seconds, is_rejected)
        while self._limiter.has_capacity:
            queued_request = self._queue.choose_next(organisation, read_clock())
            if queued_request is None:
                return
            self._queue.remove(queued_request)
            self._limiter.start()
            await self._events.pop(queued_request).set()

    def bound_connection_wait(self, _terms: AdmissionTerms) -> None:
        """Leave the wait for a connection as the pool bounds it."""

    def reject_unconnected(
        self, _terms: AdmissionTerms, error: PoolError
    ) -> PoolError:
        """Return the error of a request that got no connection."""
        return error

    def _remove(self, queued_request: QueuedRequest) -> None:
        self._queue.remove(queued_request)
        self._events.pop(queued_request, None)


class AdmissionSemaphore:
    """An adaptive concurrency limit of one target with priority admission."""

    admits_transactions = True

    def __init__(self, slots: int, ident: str, report: AdmissionReport) -> None:
        """Initialize the limit, with no statement running or waiting.

        :param slots: statements that the target runs at the same time.
        :param ident: the target's id, for error messages.
        :param report: receives waits and rejections.
        """
        self._ident = ident
        self._report = report
        self._queue = AdmissionQueue(slots, random.random)
        self._waiters: dict[int, _Waiter] = {}

    @property
    def load(self) -> int:
        """Return the number of statements that run or wait."""
        return self._queue.in_flight + self._queue.waiting

    async def acquire(
        self,
        _organisation: str,
        _priority: int,
        _max_wait_seconds: float,
        terms: AdmissionTerms,
    ) -> None:
        """Wait until the statement may run; :meth:`release` must follow.

        :raises AdmissionError: the request is rejected, at once or while it
            waits.
        """
        now = read_clock()
        request = self._queue.submit(terms, now)
        waiter = _Waiter()
        self._waiters[request.number] = waiter
        try:
            await self._apply(self._queue.advance(now, request), now)
            await self._wait(request, waiter)
        except BaseException:
            self._queue.remove(request)
            if waiter.is_started:
                await self.release('', 0, False, terms, Ending.unsent)
            raise
        finally:
            self._waiters.pop(request.number, None)
        if waiter.rejection is not None:
            raise AdmissionError(
                f'rejected: {waiter.rejection.reason.name}',
                self._ident,
                waiter.rejection.retry_seconds,
            )

    async def release(
        self,
        _organisation: str,
        seconds: float,
        _is_rejected: bool,
        terms: AdmissionTerms,
        ending: Ending,
    ) -> None:
        """Record that a statement ended and let waiting ones run.

        :param seconds: how long the statement took.
        """
        now = read_clock()
        self._queue.finish(terms, seconds, ending, now)
        await self._apply(self._queue.advance(now), now)

    def bound_connection_wait(self, terms: AdmissionTerms) -> float:
        """Return how long a request with a slot may wait for a connection."""
        remaining = terms.aim_at - read_clock()
        return max(remaining, _MIN_CONNECTION_WAIT_SECONDS)

    def reject_unconnected(
        self, terms: AdmissionTerms, error: PoolError
    ) -> PoolError:
        """Return the error of a request that got no connection."""
        now = read_clock()
        self._report.record_rejection(
            self._ident,
            terms.level.route,
            RejectionReason.no_connection.name,
            0,
            now,
        )
        retry_seconds = self._queue.find_retry_seconds(terms, now)
        return AdmissionError(str(error), self._ident, retry_seconds)

    async def _wait(self, request: AdmissionRequest, waiter: '_Waiter') -> None:
        """Wait until a request is started or rejected."""
        while not waiter.is_settled:
            now = read_clock()
            seconds = self._queue.find_next_check(request, now) - now
            async with curio.ignore_after(max(seconds, 0)):
                await waiter.event.wait()
            if not waiter.is_settled:
                now = read_clock()
                await self._apply(self._queue.advance(now, request), now)

    async def _apply(self, decisions: Decisions, now: float) -> None:
        """Record all decisions, then wake the requests.

        A cancellation while they are woken loses no decision: each request
        looks for its own when its time to wait ends.
        """
        settled: list[_Waiter] = []
        for request in decisions.started:
            waiter = self._waiters[request.number]
            waiter.is_started = True
            settled.append(waiter)
            self._record_start(request, now)
        for rejection in decisions.rejected:
            waiter = self._waiters[rejection.request.number]
            waiter.rejection = rejection
            settled.append(waiter)
            self._record_rejection(rejection, now)
        for one in settled:
            await one.event.set()

    def _record_start(self, request: AdmissionRequest, now: float) -> None:
        priority = request.terms.level.route
        waited = now - request.queued_at
        self._report.record_start(self._ident, priority, waited, now)

    def _record_rejection(self, rejection: Rejection, now: float) -> None:
        request = rejection.request
        self._report.record_rejection(
            self._ident,
            request.terms.level.route,
            rejection.reason.name,
            now - request.queued_at,
            now,
        )


class _Waiter:
    """A request that waits until it is started or rejected."""

    def __init__(self) -> None:
        self.event = curio.Event()
        self.is_started = False
        self.rejection: Rejection | None = None

    @property
    def is_settled(self) -> bool:
        """Tell whether it is started or rejected."""
        return self.is_started or self.rejection is not None


Semaphore = PrioritySemaphore | AdmissionSemaphore
# Returns the semaphore of a target from its slots and its id.
BuildSemaphore = Callable[[int, str], Semaphore]


def find_semaphore_builder(
    has_priority_admission: bool, report: AdmissionReport
) -> BuildSemaphore:
    """Return what builds the limit on the statements at a target.

    :param report: receives the decisions of priority admission.
    """
    if has_priority_admission:
        return functools.partial(AdmissionSemaphore, report=report)
    return PrioritySemaphore
