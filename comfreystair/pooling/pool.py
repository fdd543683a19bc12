"""An instance's connections to one target."""

import itertools
from collections.abc import Awaitable, Callable
from typing import Final

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.seats import (
    Seat,
    SeatController,
    SeatDecision,
    SeatMove,
)
from comfreystair.controllers.turns import Ticket, WaitQueue
from comfreystair.pooling.exceptions import PoolError, TargetLostError
from comfreystair.pooling.priority_semaphore import PrioritySemaphore
from comfreystair.pooling.targets import Connection, TargetEntry
from comfreystair.sessions.statements import PreparedStatement

# Bound on opening a connection, in seconds: a handshake takes 12 ms.
_OPEN_SECONDS: Final = 0.4

# Share of a request's time that it may be expected to wait; one that would
# wait longer is refused at once.
_WAIT_SHARE: Final = 0.7

OpenConnection = Callable[[TargetEntry, str, float], Awaitable[Connection]]


class Pooled:
    """A connection with what was set and prepared on it."""

    def __init__(self, connection: Connection, organisation: str) -> None:
        """Take a fresh connection."""
        self.connection = connection
        self.organisation = organisation
        self.values: dict[str, str] = {}
        self.prepared: dict[PreparedStatement, str] = {}
        self.used_at = read_clock()
        self._names = itertools.count(1)

    def make_name(self) -> str:
        """Return a name for a prepared statement, unique here."""
        number = next(self._names)
        return f'c{number}'


class TargetPool:
    """Connections to one life of one target."""

    def __init__(
        self, entry: TargetEntry, limit: int, open_connection: OpenConnection
    ) -> None:
        """Start without connections."""
        self._entry = entry
        self._open = open_connection
        self._seats = SeatController(limit)
        self._resting: dict[Seat, Pooled] = {}
        self._queue = WaitQueue()
        self._waiters: dict[Ticket, _Waiter] = {}
        self._is_closed = False
        self._gate = PrioritySemaphore(entry.slots, entry.ident)

    @property
    def gate(self) -> PrioritySemaphore:
        """Return what orders the statements that run there."""
        return self._gate

    @property
    def entry(self) -> TargetEntry:
        """Return the target."""
        return self._entry

    @property
    def held(self) -> int:
        """Return connections in use."""
        return self._seats.held

    @property
    def waiting(self) -> int:
        """Return requests that wait for a connection."""
        return len(self._waiters)

    async def set_limit(self, limit: int) -> None:
        """Change how many connections may be held."""
        for seat in self._seats.set_limit(limit):
            await self._close_resting(seat)
        await self._wake('')

    async def take(
        self, organisation: str, priority: int, seconds: float
    ) -> Pooled:
        """Return a connection of an organisation.

        :param priority: 0 goes first.
        :raises PoolError: none is to be had in time.
        :raises TargetLostError: the target could not be reached.
        :raises TargetRefusedError: the target refused.
        """
        decision = SeatDecision(SeatMove.wait)
        if not self._waiters:
            decision = self._seats.decide(organisation)
        if decision.move is SeatMove.wait:
            decision = await self._wait(organisation, priority, seconds)
        if decision.move is SeatMove.reuse:
            pooled = self._resting.pop(decision.seat)
            pooled.used_at = read_clock()
            return pooled
        return await self._replace(decision, organisation, seconds)

    async def give_back(self, pooled: Pooled) -> None:
        """Return a connection that is ready for the next request."""
        self._queue.note_use(read_clock() - pooled.used_at)
        seat = None
        if not self._is_closed:
            seat = self._seats.rest(pooled.organisation)
        if seat is None:
            await pooled.connection.close()
        else:
            self._resting[seat] = pooled
        await self._wake(pooled.organisation)

    async def discard(self, pooled: Pooled) -> None:
        """Close a connection whose state is not known."""
        self._seats.drop()
        await pooled.connection.close()
        await self._wake('')

    async def close_resting(self) -> None:
        """Close the connections that nobody uses."""
        for seat in self._seats.forget_resting():
            await self._close_resting(seat)

    async def close(self) -> None:
        """Close resting connections now and the others when given back."""
        self._is_closed = True
        await self.close_resting()

    async def _wait(
        self, organisation: str, priority: int, seconds: float
    ) -> SeatDecision:
        wait = self._queue.find_wait(self._seats.limit)
        if wait > seconds * _WAIT_SHARE:
            raise PoolError('too many wait', 'take', self._entry.ident)
        waiter = _Waiter()
        now = read_clock()
        ticket = self._queue.add(organisation, priority, now)
        self._waiters[ticket] = waiter
        try:
            async with curio.ignore_after(seconds):
                await waiter.event.wait()
        except BaseException:
            await self._give_up(ticket, waiter)
            raise
        self._queue.remove(ticket)
        self._waiters.pop(ticket, None)
        if waiter.decision is None:
            raise PoolError('no connection free', 'take', self._entry.ident)
        return waiter.decision

    async def _give_up(self, ticket: Ticket, waiter: '_Waiter') -> None:
        """Pass on a turn that came to a request which had ended."""
        self._queue.remove(ticket)
        self._waiters.pop(ticket, None)
        decision = waiter.decision
        if decision is None:
            return
        if decision.move is SeatMove.reuse:
            await self.give_back(self._resting.pop(decision.seat))
            return
        if decision.seat is not None:
            await self._close_resting(decision.seat)
        self._seats.drop()
        await self._wake('')

    async def _replace(
        self, decision: SeatDecision, organisation: str, seconds: float
    ) -> Pooled:
        opened: Connection | None = None
        try:
            if decision.seat is not None:
                await self._close_resting(decision.seat)
            bound = min(seconds, _OPEN_SECONDS)
            opened = await self._open(self._entry, organisation, bound)
        finally:
            if opened is None:
                self._seats.drop()
                await self._wake('')
        return Pooled(opened, organisation)

    async def _close_resting(self, seat: Seat) -> None:
        pooled = self._resting.pop(seat, None)
        if pooled is not None:
            await pooled.connection.close()

    async def _wake(self, organisation: str) -> None:
        """Give those that wait their turns, as many as there is room for.

        :param organisation: whose connection has just become free.
        """
        while self._waiters:
            ticket = self._queue.choose(organisation, read_clock())
            if ticket is None:
                return
            decision = self._seats.decide(ticket.organisation)
            if decision.move is SeatMove.wait:
                return
            self._queue.remove(ticket)
            waiter = self._waiters.pop(ticket)
            waiter.decision = decision
            await waiter.event.set()


class _Waiter:
    """A request that waits for a connection."""

    def __init__(self) -> None:
        self.event = curio.Event()
        self.decision: SeatDecision | None = None


async def align(pooled: Pooled, values: dict[str, str], seconds: float) -> None:
    """Give a connection exactly a session's values.

    :raises TargetLostError: when the target did not confirm them.
    """
    connection = pooled.connection
    if pooled.values.keys() - values.keys():
        _check(await connection.reset(seconds), 'reset')
        pooled.values = {}
        pooled.prepared = {}
    for name, text in values.items():
        if pooled.values.get(name) != text:
            _check(await connection.set_value(name, text, seconds), 'set')
            pooled.values[name] = text


async def find_name(
    pooled: Pooled, prepared: PreparedStatement, seconds: float
) -> str:
    """Return what a prepared statement is called on a connection.

    :raises TargetLostError: when the target did not prepare it.
    """
    name = pooled.prepared.get(prepared)
    if name is None:
        name = pooled.make_name()
        answer = await pooled.connection.prepare(name, prepared, seconds)
        _check(answer, 'prepare')
        pooled.prepared[prepared] = name
    return name


def _check(answer, step: str) -> None:
    if answer.failure is not None:
        raise TargetLostError(answer.failure.name, step)
