"""Decide which connection to a target a request checks out.

A target limits the connections of the whole fleet, and each connection belongs
to one organisation. An instance therefore keeps few connections and closes the
one that has been idle longest when another organisation needs a new one.
"""

import collections
import enum
import itertools
from typing import NamedTuple


class CheckoutAction(enum.Enum):
    """What to do for a request that needs a connection.

    ``reuse``: take an idle connection of the organisation. ``open``: open a
    connection. ``replace``: close an idle connection and open one. ``wait``:
    wait until a connection is free.
    """

    reuse = enum.auto()
    open = enum.auto()
    replace = enum.auto()
    wait = enum.auto()


class IdleConnection(NamedTuple):
    """An idle connection.

    :param number: unique in the pool; higher numbers became idle later.
    """

    number: int
    organisation: str


class CheckoutDecision(NamedTuple):
    """An action with the idle connection to reuse or close, if any."""

    action: CheckoutAction
    idle_connection: IdleConnection | None = None


class CheckoutController:
    """Assign the connections of one instance to one target to requests."""

    def __init__(self, limit: int) -> None:
        """Start without connections.

        :param limit: connections that this instance may hold.
        """
        self._limit = limit
        self._idle: list[IdleConnection] = []
        self._in_use: collections.Counter[str] = collections.Counter()
        self._numbers = itertools.count()

    @property
    def limit(self) -> int:
        """Return the connections that this instance may hold."""
        return self._limit

    @property
    def total(self) -> int:
        """Return the connections that are idle, in use or being opened."""
        return self.in_use + len(self._idle)

    @property
    def in_use(self) -> int:
        """Return the connections that are in use or being opened."""
        return self._in_use.total()

    def count_in_use(self, organisation: str) -> int:
        """Return how many connections of an organisation are in use."""
        return self._in_use[organisation]

    def has_idle(self, organisation: str) -> bool:
        """Tell whether a connection of an organisation is idle."""
        return any(one.organisation == organisation for one in self._idle)

    def set_limit(self, limit: int) -> list[IdleConnection]:
        """Change the limit and return the idle connections to close."""
        self._limit = limit
        evicted: list[IdleConnection] = []
        while self.total > limit and self._idle:
            evicted.append(self._idle.pop(0))
        return evicted

    def decide(
        self, organisation: str, may_open: bool = True
    ) -> CheckoutDecision:
        """Return how a request gets its connection, and count it as in use.

        While the request has to wait, nothing is counted for it.

        :param may_open: otherwise only an idle connection can be used.
        """
        for connection in reversed(self._idle):
            if connection.organisation == organisation:
                return self._acquire(
                    CheckoutAction.reuse, organisation, connection
                )
        if not may_open:
            return CheckoutDecision(CheckoutAction.wait)
        if self.total < self._limit:
            return self._acquire(CheckoutAction.open, organisation, None)
        if self._idle:
            return self._acquire(
                CheckoutAction.replace, organisation, self._idle[0]
            )
        return CheckoutDecision(CheckoutAction.wait)

    def release(self, organisation: str) -> IdleConnection | None:
        """Make a connection in use idle.

        :returns: the idle connection; nothing when the connection has to be
            closed because of the limit.
        """
        self.discard(organisation)
        if self.total >= self._limit:
            return None
        connection = IdleConnection(next(self._numbers), organisation)
        self._idle.append(connection)
        return connection

    def discard(self, organisation: str) -> None:
        """Count a connection of an organisation in use as closed."""
        self._in_use[organisation] -= 1
        if not self._in_use[organisation]:
            self._in_use.pop(organisation)

    def remove_idle(self) -> list[IdleConnection]:
        """Return the idle connections and count them as closed.

        A connection already assigned to a request counts as in use, not idle.
        """
        removed = self._idle
        self._idle = []
        return removed

    def _acquire(
        self,
        action: CheckoutAction,
        organisation: str,
        connection: IdleConnection | None,
    ) -> CheckoutDecision:
        if connection is not None:
            self._idle.remove(connection)
        self._in_use[organisation] += 1
        return CheckoutDecision(action, connection)
