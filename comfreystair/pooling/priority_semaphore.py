"""Let statements run at a target in order of priority."""

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.turns import Ticket, WaitQueue
from comfreystair.controllers.windows import WindowController
from comfreystair.pooling.exceptions import PoolError


class PrioritySemaphore:
    """The window of one target with the requests that wait for it."""

    def __init__(self, slots: int, ident: str) -> None:
        """Start open."""
        self._ident = ident
        self._window = WindowController(slots)
        self._queue = WaitQueue()
        self._events: dict[Ticket, curio.Event] = {}

    @property
    def load(self) -> int:
        """Return statements that run or wait."""
        return self._window.running + len(self._events)

    async def enter(
        self, organisation: str, priority: int, patience: float
    ) -> None:
        """Wait for a turn; :meth:`leave` must follow.

        :param patience: seconds that waiting and running may take.
        :raises PoolError: it would take longer, or it did.
        """
        if self._window.has_room and not self._events:
            self._window.start()
            return
        if self._window.find_time(len(self._events) + 1) > patience:
            raise PoolError('too many wait', 'enter', self._ident)
        ticket = self._queue.add(organisation, priority, read_clock())
        event = curio.Event()
        self._events[ticket] = event
        try:
            async with curio.ignore_after(patience):
                await event.wait()
        except BaseException:
            if event.is_set():
                await self.leave(organisation, 0, is_shed=False)
            self._forget(ticket)
            raise
        self._forget(ticket)
        if not event.is_set():
            raise PoolError('no turn in time', 'enter', self._ident)

    async def leave(
        self, organisation: str, seconds: float, is_shed: bool
    ) -> None:
        """End a turn.

        :param organisation: whose connection is free now.
        :param seconds: that the statement took.
        """
        self._window.finish(seconds, is_shed)
        while self._window.has_room:
            ticket = self._queue.choose(organisation, read_clock())
            if ticket is None:
                return
            self._queue.remove(ticket)
            self._window.start()
            await self._events.pop(ticket).set()

    def _forget(self, ticket: Ticket) -> None:
        self._queue.remove(ticket)
        self._events.pop(ticket, None)
