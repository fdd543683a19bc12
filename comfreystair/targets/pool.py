"""Connections of this daemon to one target, bounded and warmed."""

import collections
from collections.abc import Callable
from typing import Final

import curio
from loguru import logger

from comfreystair.conf.schema import TargetsSection
from comfreystair.dialing import Dial
from comfreystair.manifest.schema import Target
from comfreystair.targets.connection import (
    TargetConnection,
    Use,
    open_connection,
)
from comfreystair.targets.exceptions import (
    PoolClosedError,
    TargetBusyError,
    TargetConnectError,
)

_MIN_CONNECTIONS: Final = 2
_EXTRA_RATIO: Final = 2
_WAIT_SECONDS: Final = 2.0


class Pool:
    """Hand out connections to one target, one holder at a time."""

    def __init__(
        self,
        target: Target,
        database: str,
        settings: TargetsSection,
        dial: Dial,
    ) -> None:
        """Start without connections."""
        self._target = target
        self._database = database
        self._settings = settings
        self._dial = dial
        self._idle: collections.deque[TargetConnection] = collections.deque()
        self._lent: set[TargetConnection] = set()
        self._opened = 0
        self._limit = _MIN_CONNECTIONS
        self._waiters: collections.deque[curio.Event] = collections.deque()
        self._is_closed = False

    @property
    def opened(self) -> int:
        """Return how many connections are open or being opened."""
        return self._opened

    @property
    def dial(self) -> Dial:
        """Return how connections to the target are opened."""
        return self._dial

    @property
    def target(self) -> Target:
        """Return the target."""
        return self._target

    def set_share(self, instances: int) -> None:
        """Bound the pool by a share of what the target accepts."""
        share = self._target.connections // max(instances, 1)
        self._limit = max(share, _MIN_CONNECTIONS)

    async def acquire(self, is_urgent: bool = False) -> TargetConnection:
        """Return a connection, opening one or waiting for one.

        :param is_urgent: go ahead of others that wait.
        :raises TargetConnectError: none could be opened.
        :raises PoolClosedError: the target is gone from the manifest.
        """
        while not self._is_closed:
            if self._idle:
                return self._lend(self._idle.pop())
            # One more than the limit, so that the state of a target is known
            # while all its connections are busy.
            if self._opened < self._limit + is_urgent:
                return self._lend(await self._open())
            extra = await self._open_extra()
            if extra is not None:
                return self._lend(extra)
            await self._wait(is_urgent)
        raise PoolClosedError('pool is closed', 'pool', self._target.name)

    async def release(self, connection: TargetConnection) -> None:
        """Take a connection back, or close it when it can't be reused."""
        self._lent.discard(connection)
        connection.use = Use()
        has_room = self._opened <= self._limit and not self._is_closed
        is_full = len(connection.prepared) > self._settings.max_prepared
        if connection.is_broken or is_full or not has_room:
            self._opened -= 1
            await connection.close()
        else:
            self._idle.append(connection)
        await self._wake()

    async def warm(self) -> None:
        """Open connections up to the number kept ready."""
        missing = self._settings.warm_connections - self._opened
        for _ in range(missing):
            connection = await self._open()
            self._idle.append(connection)
            await self._wake()

    async def close(self) -> None:
        """Close idle connections now, and others as they come back."""
        self._is_closed = True
        while self._idle:
            self._opened -= 1
            await self._idle.pop().close()
        while self._waiters:
            await self._wake()

    async def abort(self, is_hopeless: Callable[[Use], bool]) -> int:
        """End exchanges by their use; return how many."""
        hopeless = [one for one in self._lent if is_hopeless(one.use)]
        for connection in hopeless:
            await connection.abort()
        return len(hopeless)

    def _lend(self, connection: TargetConnection) -> TargetConnection:
        self._lent.add(connection)
        return connection

    async def _open(self) -> TargetConnection:
        self._opened += 1
        is_open = False
        settings = self._settings
        try:
            async with curio.timeout_after(settings.connect_seconds):
                connection = await open_connection(
                    self._dial,
                    self._target.address,
                    settings.user,
                    settings.password,
                    self._database,
                )
            is_open = True
        except curio.TaskTimeout as error:
            raise TargetConnectError(
                'no answer in time', 'connect', self._target.address
            ) from error
        finally:
            if not is_open:
                self._opened -= 1
                await self._wake()
        logger.debug(
            'event=target_connected target={} open={}',
            self._target.name,
            self._opened,
        )
        return connection

    async def _open_extra(self) -> TargetConnection | None:
        """Open a connection beyond the share, if the target has one left.

        It is closed when it comes back. Without it, a few idle transactions
        would hold up all other requests of this daemon.
        """
        if self._opened >= self._limit * _EXTRA_RATIO:
            return None
        try:
            return await self._open()
        except TargetBusyError:
            return None

    async def _wait(self, is_urgent: bool) -> None:
        event = curio.Event()
        if is_urgent:
            self._waiters.appendleft(event)
        else:
            self._waiters.append(event)
        try:
            async with curio.timeout_after(_WAIT_SECONDS):
                await event.wait()
        except curio.TaskTimeout as error:
            await self._stop_waiting(event)
            raise TargetConnectError(
                'all connections are busy', 'pool', self._target.name
            ) from error
        except BaseException:
            await self._stop_waiting(event)
            raise

    async def _stop_waiting(self, event: curio.Event) -> None:
        """Leave the queue, and pass on a wake that came too late."""
        if event in self._waiters:
            self._waiters.remove(event)
        else:
            await self._wake()

    async def _wake(self) -> None:
        if self._waiters:
            await self._waiters.popleft().set()
