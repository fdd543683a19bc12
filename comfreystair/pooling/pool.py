"""Connection pool of one target."""

import itertools
import random
from collections.abc import Awaitable, Callable
from typing import Final

import curio
from loguru import logger

from comfreystair.clocks import read_clock
from comfreystair.controllers.checkout import (
    CheckoutAction,
    CheckoutController,
    CheckoutDecision,
    IdleConnection,
)
from comfreystair.controllers.connections.backoff import ConnectionBackoff
from comfreystair.controllers.wait_queue import QueuedRequest, WaitQueue
from comfreystair.pooling.exceptions import (
    ConnectionUnavailableError,
    PoolError,
    TargetEndedError,
    TargetLostError,
    TargetRefusedError,
)
from comfreystair.pooling.priority_semaphore import (
    BuildSemaphore,
    PrioritySemaphore,
    Semaphore,
)
from comfreystair.pooling.targets import Connection, TargetEntry
from comfreystair.sessions.statements import Failure, PreparedStatement

# Bound on opening a connection, in seconds: a handshake takes 12 ms.
_OPEN_TIMEOUT_SECONDS: Final = 0.4

# Share of a request's time that it may wait for a connection; a request with a
# longer estimated wait is refused at once.
_MAX_WAIT_SHARE: Final = 0.7

_OPENING_ACTIONS: Final = frozenset(
    (CheckoutAction.open, CheckoutAction.replace)
)

OpenConnection = Callable[[TargetEntry, str, float], Awaitable[Connection]]
# Tells whether a request may be sent to a target now.
MaySend = Callable[[TargetEntry], bool]


def allow_all(_entry: TargetEntry) -> bool:
    """Allow requests to any target."""
    return True


# Called when a connection to a target has ended or was refused.
OnEnd = Callable[[TargetEntry], None]


def ignore_end(_entry: TargetEntry) -> None:
    """Do nothing when a connection ends."""


class PooledConnection:
    """A connection with the session values and statements it has at present.

    ``values`` are set and ``statement_names`` are prepared at the target.
    """

    def __init__(self, connection: Connection, organisation: str) -> None:
        """Wrap a new connection, without values and prepared statements.

        :param organisation: whose requests may use the connection.
        """
        self.connection = connection
        self.organisation = organisation
        self.values: dict[str, str] = {}
        self.statement_names: dict[PreparedStatement, str] = {}
        self.used_at = read_clock()
        self._statement_numbers = itertools.count(1)

    def make_statement_name(self) -> str:
        """Return a name for a prepared statement, unique on the connection."""
        number = next(self._statement_numbers)
        return f'c{number}'


class TargetPool:
    """Connections to one run of one target's process."""

    def __init__(
        self,
        entry: TargetEntry,
        limit: int,
        open_connection: OpenConnection,
        may_send: MaySend = allow_all,
        build_semaphore: BuildSemaphore = PrioritySemaphore,
        on_end: OnEnd = ignore_end,
    ) -> None:
        """Initialize without connections.

        :param limit: connections that this instance may hold.
        :param open_connection: opens a connection to a target for an
            organisation, within a number of seconds.
        :param build_semaphore: builds the limit on running statements.
        :param on_end: called when a connection has ended or was refused.
        """
        self._entry = entry
        self._may_send = may_send
        self._open_connection = open_connection
        self._on_end = on_end
        self._checkout = CheckoutController(limit)
        self._idle: dict[IdleConnection, PooledConnection] = {}
        self._queue = WaitQueue()
        self._waiters: dict[QueuedRequest, _Waiter] = {}
        self._is_closed = False
        # Absent while the fleet is too small to need one.
        self._backoff: ConnectionBackoff | None = None
        self._stats = ConnectionStats()
        self._semaphore = build_semaphore(entry.slots, entry.ident)

    @property
    def semaphore(self) -> Semaphore:
        """Return the semaphore that limits the target's running statements."""
        return self._semaphore

    @property
    def entry(self) -> TargetEntry:
        """Return the registration of the target."""
        return self._entry

    @property
    def may_send(self) -> bool:
        """Tell whether a request may be sent now.

        It is asked right before, as a request may have waited since its target
        was chosen.
        """
        return self._may_send(self._entry)

    @property
    def in_use(self) -> int:
        """Return the number of connections in use."""
        return self._checkout.in_use

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a connection."""
        return len(self._waiters)

    @property
    def stats(self) -> 'ConnectionStats':
        """Return the counters of refused connections."""
        return self._stats

    async def set_limit(self, limit: int, has_backoff: bool = False) -> None:
        """Change how many connections this instance may hold.

        Idle connections above the limit are closed; waiting requests get
        connections as far as it allows.

        :param limit: if it is 0, waiting requests are rejected.
        :param has_backoff: back off from the target when it has refused a
            connection because of its own limit.
        """
        if has_backoff != (self._backoff is not None):
            self._backoff = ConnectionBackoff() if has_backoff else None
        for idle_connection in self._checkout.set_limit(limit):
            await self._close_idle_connection(idle_connection)
        await self._assign_connections('')
        if limit == 0:
            for waiter in list(self._waiters.values()):
                await waiter.event.set()

    def raise_if_unavailable(self, organisation: str) -> None:
        """Reject a request of an organisation that no connection can serve.

        :raises ConnectionUnavailableError: no connection of the organisation
            is open, and none may be opened at present.
        """
        now = read_clock()
        checkout = self._checkout
        if checkout.limit and (
            self._may_open(now)
            or checkout.has_idle(organisation)
            or checkout.count_in_use(organisation)
        ):
            return
        backoff = self._backoff or ConnectionBackoff()
        raise ConnectionUnavailableError(
            'no connection may be opened',
            self._entry.ident,
            backoff.find_retry_seconds(now, random.random()),  # noqa: S311
        )

    async def acquire(
        self,
        organisation: str,
        priority: int,
        seconds: float,
        wait_seconds: float | None = None,
    ) -> PooledConnection:
        """Return a connection of an organisation, reused or new.

        :param priority: lower values are served first; 0 is the first.
        :param seconds: bound on the wait, and again on opening a connection.
        :param wait_seconds: bound on the wait, if it is shorter.
        :raises PoolError: no connection becomes available in time.
        :raises ConnectionUnavailableError: none may be opened at present.
        :raises TargetLostError: the target can't be reached.
        :raises TargetRefusedError: the target refuses the connection.
        """
        decision = CheckoutDecision(CheckoutAction.wait)
        # An idle connection that is left in a backoff can't serve the requests
        # that wait.
        if not self._waiters or not self._may_open(read_clock()):
            decision = self._decide(organisation)
        if decision.action is CheckoutAction.wait:
            self.raise_if_unavailable(organisation)
            decision = await self._wait_for_connection(
                organisation, priority, min(seconds, wait_seconds or seconds)
            )
        if decision.action is CheckoutAction.reuse:
            pooled = self._idle.pop(decision.idle_connection)
            if not pooled.connection.has_input:
                pooled.used_at = read_clock()
                return pooled
            # What waits would be taken for the answer to the next statement.
            logger.info(
                'event=connection_replaced target={} reason="input or end"',
                self._entry.ident,
            )
            self._on_end(self._entry)
            await pooled.connection.close()
            decision = CheckoutDecision(CheckoutAction.open)
        return await self._open_new(decision, organisation, seconds)

    async def release(self, pooled: PooledConnection) -> None:
        """Return a connection that is ready for the next request.

        It is closed if the pool is closed or above its limit.
        """
        self._queue.record_use(read_clock() - pooled.used_at)
        idle_connection = None
        if not self._is_closed:
            idle_connection = self._checkout.release(pooled.organisation)
        if idle_connection is None:
            await pooled.connection.close()
        else:
            self._idle[idle_connection] = pooled
        await self._assign_connections(pooled.organisation)

    async def discard(self, pooled: PooledConnection) -> None:
        """Close a connection whose state is unknown."""
        if pooled.connection.has_input:
            self._on_end(self._entry)
        self._checkout.discard(pooled.organisation)
        await pooled.connection.close()
        await self._assign_connections('')

    async def close_idle(self) -> None:
        """Close the idle connections."""
        for idle_connection in self._checkout.remove_idle():
            await self._close_idle_connection(idle_connection)

    async def close(self) -> None:
        """Close idle connections now and the others when they are released."""
        self._is_closed = True
        await self.close_idle()

    async def _wait_for_connection(
        self, organisation: str, priority: int, seconds: float
    ) -> CheckoutDecision:
        connections = self._checkout.limit
        if not self._may_open(read_clock()):
            connections = self._checkout.count_in_use(organisation)
        wait = self._queue.estimate_wait(connections)
        if wait > seconds * _MAX_WAIT_SHARE:
            raise PoolError(
                'estimated wait is too long', 'take', self._entry.ident
            )
        waiter = _Waiter()
        now = read_clock()
        queued_request = self._queue.add(organisation, priority, now)
        self._waiters[queued_request] = waiter
        try:
            async with curio.ignore_after(seconds):
                await waiter.event.wait()
        except BaseException:
            await self._cancel_wait(queued_request, waiter)
            raise
        self._queue.remove(queued_request)
        self._waiters.pop(queued_request, None)
        if waiter.decision is None:
            raise PoolError(
                'no connection became free in time', 'take', self._entry.ident
            )
        return waiter.decision

    async def _cancel_wait(
        self, queued_request: QueuedRequest, waiter: '_Waiter'
    ) -> None:
        """Remove a cancelled request from the queue.

        A connection that was already assigned to it goes to another request.
        """
        self._queue.remove(queued_request)
        self._waiters.pop(queued_request, None)
        decision = waiter.decision
        if decision is None:
            return
        if decision.action is CheckoutAction.reuse:
            await self.release(self._idle.pop(decision.idle_connection))
            return
        if decision.idle_connection is not None:
            await self._close_idle_connection(decision.idle_connection)
        self._checkout.discard(queued_request.organisation)
        if self._backoff is not None:
            self._backoff.record_failed(read_clock())
        await self._assign_connections('')

    async def _open_new(
        self, decision: CheckoutDecision, organisation: str, seconds: float
    ) -> PooledConnection:
        opened: Connection | None = None
        started_at = read_clock()
        try:
            if decision.idle_connection is not None:
                await self._close_idle_connection(decision.idle_connection)
            opened = await self._open(organisation, started_at, seconds)
        except TargetEndedError:
            self._on_end(self._entry)
            raise
        finally:
            if opened is None:
                self._checkout.discard(organisation)
                if self._backoff is not None:
                    self._backoff.record_failed(started_at)
                await self._assign_connections('')
        if self._backoff is not None and self._backoff.record_opened(
            started_at
        ):
            logger.info(
                'event=connection_backoff_ended target={}', self._entry.ident
            )
            await self._assign_connections('')
        return PooledConnection(opened, organisation)

    async def _open(
        self, organisation: str, started_at: float, seconds: float
    ) -> Connection:
        """Open a connection, unless a backoff began since that was decided."""
        if self._backoff is not None and self._backoff.is_backing_off(
            started_at
        ):
            raise ConnectionUnavailableError(
                'target refuses connections',
                self._entry.ident,
                self._backoff.find_retry_seconds(
                    started_at,
                    random.random(),  # noqa: S311
                ),
            )
        bound = min(seconds, _OPEN_TIMEOUT_SECONDS)
        try:
            return await self._open_connection(self._entry, organisation, bound)
        except TargetRefusedError as error:
            if error.failure is Failure.connection_limit:
                await self._record_refusal(started_at)
            raise

    async def _record_refusal(self, started_at: float) -> None:
        """Begin a backoff, at whose end waiting requests go on."""
        self._stats.refused += 1
        if self._backoff is None:
            return
        seconds = self._backoff.record_refused(
            started_at,
            read_clock(),
            random.random(),  # noqa: S311
        )
        if seconds:
            self._stats.backoff_seconds += seconds
            logger.info(
                'event=connection_backoff target={} seconds={:.3f} refused={}',
                self._entry.ident,
                seconds,
                self._stats.refused,
            )
            await curio.spawn(self._resume, seconds, daemon=True)

    async def _resume(self, seconds: float) -> None:
        await curio.sleep(seconds)
        await self._assign_connections('')

    def _may_open(self, now: float) -> bool:
        return self._backoff is None or self._backoff.may_open(now)

    def _decide(self, organisation: str) -> CheckoutDecision:
        """Decide how a request gets its connection."""
        may_open = self._may_open(read_clock())
        decision = self._checkout.decide(organisation, may_open)
        if self._backoff is not None and decision.action in _OPENING_ACTIONS:
            self._backoff.record_start()
        return decision

    async def _close_idle_connection(
        self, idle_connection: IdleConnection
    ) -> None:
        pooled = self._idle.pop(idle_connection, None)
        if pooled is not None:
            await pooled.connection.close()

    async def _assign_connections(self, organisation: str) -> None:
        """Assign connections to waiting requests, as far as the limit allows.

        :param organisation: whose connection has just become free, empty if
            no particular one's has.
        """
        while self._waiters:
            queued_request = self._choose_waiting(organisation)
            if queued_request is None:
                return
            decision = self._decide(queued_request.organisation)
            if decision.action is CheckoutAction.wait:
                return
            self._queue.remove(queued_request)
            waiter = self._waiters.pop(queued_request)
            waiter.decision = decision
            await waiter.event.set()

    def _choose_waiting(self, organisation: str) -> QueuedRequest | None:
        """Return the waiting request that goes next.

        While no connection may be opened, one that can use an idle connection.
        """
        if self._may_open(read_clock()):
            return self._queue.choose_next(organisation, read_clock())
        return min(
            (
                request
                for request in self._waiters
                if self._checkout.has_idle(request.organisation)
            ),
            key=lambda request: (request.priority, request.number),
            default=None,
        )


class ConnectionStats:
    """Counters of one pool.

    :ivar refused: connections that the target refused because of its limit.
    :ivar backoff_seconds: total duration of the backoffs.
    """

    def __init__(self) -> None:
        """Start at zero."""
        self.refused = 0
        self.backoff_seconds = 0.0


class _Waiter:
    """A request that waits for a connection."""

    def __init__(self) -> None:
        self.event = curio.Event()
        self.decision: CheckoutDecision | None = None


async def apply_session_values(
    pooled: PooledConnection, values: dict[str, str], seconds: float
) -> None:
    """Set exactly a session's values on a connection.

    If another session left values that this one lacks, a reset first drops
    all values and prepared statements.

    :raises TargetLostError: the target did not confirm them.
    """
    connection = pooled.connection
    if pooled.values.keys() - values.keys():
        _raise_if_failed(await connection.reset(seconds), 'reset')
        pooled.values = {}
        pooled.statement_names = {}
    for name, text in values.items():
        if pooled.values.get(name) != text:
            _raise_if_failed(
                await connection.set_value(name, text, seconds), 'set'
            )
            pooled.values[name] = text


async def ensure_prepared(
    pooled: PooledConnection, prepared: PreparedStatement, seconds: float
) -> str:
    """Return a statement's name on a connection, preparing it if needed.

    :raises TargetLostError: the target did not prepare it.
    """
    name = pooled.statement_names.get(prepared)
    if name is None:
        name = pooled.make_statement_name()
        answer = await pooled.connection.prepare(name, prepared, seconds)
        _raise_if_failed(answer, 'prepare')
        pooled.statement_names[prepared] = name
    return name


def _raise_if_failed(answer, step: str) -> None:
    if answer.failure is not None:
        raise TargetLostError(answer.failure.name, step)
