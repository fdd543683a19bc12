"""Limit the statements that run at a target, by priority."""

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.concurrency_limit import ConcurrencyLimiter
from comfreystair.controllers.wait_queue import QueuedRequest, WaitQueue
from comfreystair.pooling.exceptions import PoolError


class PrioritySemaphore:
    """An adaptive concurrency limit of one target with its waiting requests."""

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
        self, organisation: str, priority: int, max_wait_seconds: float
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
        self, organisation: str, seconds: float, is_rejected: bool
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

    def _remove(self, queued_request: QueuedRequest) -> None:
        self._queue.remove(queued_request)
        self._events.pop(queued_request, None)
