"""Schedule requests at targets by fair queueing between organisations.

A target has a number of slots; a request occupies one while it runs.
"""

import time

import curio

from comfreystair.controllers.fair_queue import FairQueue, QueuedRequest
from comfreystair.manifest.index import ManifestIndex


class Scheduler:
    """Fair queues of this daemon, one for each target of each database."""

    def __init__(self) -> None:
        """Create a scheduler that knows no targets yet."""
        self._queues: dict[tuple[str, str], _TargetQueue] = {}

    def apply(self, manifest: ManifestIndex) -> None:
        """Add queues for new targets of a manifest, and remove old ones.

        A target that has a queue keeps it, even if its slots have changed.
        """
        wanted = {
            (database.name, target.name): target.slots
            for database in manifest.databases
            for target in database.targets
        }
        for removed in self._queues.keys() - wanted.keys():
            self._queues.pop(removed)
        for key, slots in wanted.items():
            if key not in self._queues:
                self._queues[key] = _TargetQueue(FairQueue(slots))

    def find_load(self, database: str, target: str) -> float:
        """Return the number of requests at a target divided by its slots.

        Running and waiting requests of this daemon count. The load is 0 for
        an unknown target.
        """
        target_queue = self._queues.get((database, target))
        return target_queue.fair_queue.load if target_queue else 0

    def list_queues(self) -> dict[tuple[str, str], FairQueue]:
        """Return the queues by names of database and target."""
        return {
            key: target_queue.fair_queue
            for key, target_queue in self._queues.items()
        }

    async def acquire_slot(
        self,
        target_key: tuple[str, str],
        organisation: str,
        weight: float,
        max_wait_seconds: float,
        is_urgent: bool,
    ) -> QueuedRequest | None:
        """Wait for a slot at a target.

        :param target_key: names of database and target.
        :param weight: weight of the organisation in the fair queue.
        :param max_wait_seconds: longest wait for a slot.
        :param is_urgent: whether the request goes ahead of all that are not
            urgent.
        :returns: the request, to be passed to :meth:`release_slot`, or None
            when it got no slot in time or the target is unknown.
        """
        target_queue = self._queues.get(target_key)
        if target_queue is None:
            return None
        was_empty = target_queue.fair_queue.is_empty
        queued = target_queue.fair_queue.enqueue(
            organisation, weight, is_urgent
        )
        if (
            was_empty
            and target_queue.fair_queue.dequeue(time.monotonic()) is queued
        ):
            return queued
        await target_queue.dispatch()
        if target_queue.pop_started(queued):
            return queued
        return await target_queue.wait(queued, max_wait_seconds)

    async def release_slot(
        self,
        target_key: tuple[str, str],
        queued: QueuedRequest,
        service_seconds: float,
    ) -> None:
        """Release the slot of a request.

        :param service_seconds: for how long the request occupied the slot;
            the fair queue charges it to the organisation.
        """
        target_queue = self._queues.get(target_key)
        if target_queue is not None:
            target_queue.fair_queue.record_completion(queued, service_seconds)
            if not target_queue.fair_queue.is_empty:
                await target_queue.dispatch()


class _TargetQueue:
    """Fair queue of one target, with the tasks that wait in it."""

    def __init__(self, fair_queue: FairQueue) -> None:
        self.fair_queue = fair_queue
        self._events: dict[QueuedRequest, curio.Event] = {}
        self._started: set[QueuedRequest] = set()
        self._has_timer = False

    def pop_started(self, queued: QueuedRequest) -> bool:
        """Tell whether a request has got a slot, and clear that mark.

        Its own task calls this once it resumes, or is cancelled.
        """
        if queued in self._started:
            self._started.remove(queued)
            return True
        return False

    async def dispatch(self) -> None:
        """Give free slots to requests that may run, and wake their tasks."""
        now = time.monotonic()
        queued = self.fair_queue.dequeue(now)
        while queued is not None:
            self._started.add(queued)
            event = self._events.get(queued)
            if event is not None:
                await event.set()
            queued = self.fair_queue.dequeue(now)
        await self._set_timer(now)

    async def wait(
        self, queued: QueuedRequest, seconds: float
    ) -> QueuedRequest | None:
        """Wait until a queued request gets a slot.

        :param seconds: longest wait.
        :returns: the request, or None on a timeout; then it is removed from
            the queue.
        """
        event = curio.Event()
        self._events[queued] = event
        try:
            async with curio.ignore_after(seconds):
                await event.wait()
        except BaseException:
            await self._cancel_wait(queued)
            raise
        finally:
            self._events.pop(queued, None)
        if self.pop_started(queued):
            return queued
        self.fair_queue.remove(queued)
        return None

    async def _cancel_wait(self, queued: QueuedRequest) -> None:
        """Remove a cancelled request, or release the slot that it has got."""
        if self.pop_started(queued):
            self.fair_queue.record_completion(queued, 0)
            await self.dispatch()
        else:
            self.fair_queue.remove(queued)

    async def _set_timer(self, now: float) -> None:
        """Schedule a dispatch for when a usage limit lets a request start."""
        if self._has_timer:
            return
        ready_at = self.fair_queue.find_next_start_at(now)
        if ready_at is None:
            return
        self._has_timer = True
        await curio.spawn(self._dispatch_after, ready_at - now, daemon=True)

    async def _dispatch_after(self, seconds: float) -> None:
        await curio.sleep(max(seconds, 0))
        self._has_timer = False
        await self.dispatch()
