"""Let requests run at targets in fair order."""

import time

import curio

from comfreystair.controllers.queues import FairQueue, Ticket
from comfreystair.manifest.index import ManifestIndex


class Scheduler:
    """One fair queue for each target of each database."""

    def __init__(self) -> None:
        """Start without queues."""
        self._queues: dict[tuple[str, str], _Gate] = {}

    def apply(self, manifest: ManifestIndex) -> None:
        """Keep a queue for each target of a manifest."""
        wanted = {
            (database.name, target.name): target.slots
            for database in manifest.databases
            for target in database.targets
        }
        for gone in self._queues.keys() - wanted.keys():
            self._queues.pop(gone)
        for key, slots in wanted.items():
            if key not in self._queues:
                self._queues[key] = _Gate(FairQueue(slots))

    def find_load(self, database: str, target: str) -> float:
        """Return how busy this daemon keeps a target."""
        gate = self._queues.get((database, target))
        return gate.queue.load if gate else 0

    def list_queues(self) -> dict[tuple[str, str], FairQueue]:
        """Return the queues by database and target."""
        return {key: gate.queue for key, gate in self._queues.items()}

    async def acquire_slot(
        self,
        place: tuple[str, str],
        organisation: str,
        weight: float,
        seconds: float,
        is_urgent: bool,
    ) -> Ticket | None:
        """Wait for a turn; nothing when none came in time."""
        gate = self._queues.get(place)
        if gate is None:
            return None
        was_empty = gate.queue.is_empty
        ticket = gate.queue.add(organisation, weight, is_urgent)
        if was_empty and gate.queue.take(time.monotonic()) is ticket:
            return ticket
        await gate.dispatch()
        if gate.take_started(ticket):
            return ticket
        return await gate.wait(ticket, seconds)

    async def release_slot(
        self, place: tuple[str, str], ticket: Ticket, seconds: float
    ) -> None:
        """End a turn that took so many seconds of service."""
        gate = self._queues.get(place)
        if gate is not None:
            gate.queue.finish(ticket, seconds)
            if not gate.queue.is_empty:
                await gate.dispatch()


class _Gate:
    """A fair queue with the tasks that wait in it."""

    def __init__(self, queue: FairQueue) -> None:
        self.queue = queue
        self._events: dict[Ticket, curio.Event] = {}
        self._started: set[Ticket] = set()
        self._has_timer = False

    def take_started(self, ticket: Ticket) -> bool:
        """Tell whether a ticket's turn came, once."""
        if ticket in self._started:
            self._started.remove(ticket)
            return True
        return False

    async def dispatch(self) -> None:
        """Start what may run now."""
        now = time.monotonic()
        ticket = self.queue.take(now)
        while ticket is not None:
            self._started.add(ticket)
            event = self._events.get(ticket)
            if event is not None:
                await event.set()
            ticket = self.queue.take(now)
        await self._set_timer(now)

    async def wait(self, ticket: Ticket, seconds: float) -> Ticket | None:
        """Wait until a ticket's turn comes or time ends."""
        event = curio.Event()
        self._events[ticket] = event
        try:
            async with curio.ignore_after(seconds):
                await event.wait()
        except BaseException:
            await self._give_up(ticket)
            raise
        finally:
            self._events.pop(ticket, None)
        if self.take_started(ticket):
            return ticket
        self.queue.remove(ticket)
        return None

    async def _give_up(self, ticket: Ticket) -> None:
        if self.take_started(ticket):
            self.queue.finish(ticket, 0)
            await self.dispatch()
        else:
            self.queue.remove(ticket)

    async def _set_timer(self, now: float) -> None:
        if self._has_timer:
            return
        ready_at = self.queue.find_next_at(now)
        if ready_at is None:
            return
        self._has_timer = True
        await curio.spawn(self._dispatch_at, ready_at - now, daemon=True)

    async def _dispatch_at(self, seconds: float) -> None:
        await curio.sleep(max(seconds, 0))
        self._has_timer = False
        await self.dispatch()
