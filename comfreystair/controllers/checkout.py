"""Which connection of a target an organisation gets.

A target bounds the connections of the whole fleet, and each belongs to one
organisation, so an instance keeps few and gives up the one that rested
longest when another organisation needs its place.
"""

import enum
import itertools
from typing import NamedTuple


class CheckoutAction(enum.Enum):
    """What to do for a request that needs a connection."""

    reuse = enum.auto()
    open = enum.auto()
    replace = enum.auto()
    wait = enum.auto()


class IdleConnection(NamedTuple):
    """A resting connection.

    :param number: unique in the pool, higher for one that rested shorter.
    """

    number: int
    organisation: str


class CheckoutDecision(NamedTuple):
    """A move with the resting connection it takes, if any."""

    action: CheckoutAction
    idle_connection: IdleConnection | None = None


class CheckoutController:
    """Count an instance's connections to one target."""

    def __init__(self, limit: int) -> None:
        """Start without connections.

        :param limit: connections that this instance may hold.
        """
        self._limit = limit
        self._resting: list[IdleConnection] = []
        self._held = 0
        self._numbers = itertools.count()

    @property
    def limit(self) -> int:
        """Return the connections that this instance may hold."""
        return self._limit

    @property
    def total(self) -> int:
        """Return connections that rest, work or are being opened."""
        return self._held + len(self._resting)

    @property
    def in_use(self) -> int:
        """Return connections that work or are being opened."""
        return self._held

    def set_limit(self, limit: int) -> list[IdleConnection]:
        """Change the bound and return what must be closed."""
        self._limit = limit
        dropped: list[IdleConnection] = []
        while self.total > limit and self._resting:
            dropped.append(self._resting.pop(0))
        return dropped

    def decide(self, organisation: str) -> CheckoutDecision:
        """Return how a request gets its connection, and count it as held."""
        for seat in reversed(self._resting):
            if seat.organisation == organisation:
                return self._take(CheckoutAction.reuse, seat)
        if self.total < self._limit:
            return self._take(CheckoutAction.open, None)
        if self._resting:
            return self._take(CheckoutAction.replace, self._resting[0])
        return CheckoutDecision(CheckoutAction.wait)

    def release(self, organisation: str) -> IdleConnection | None:
        """Give a held connection back; nothing when it must be closed."""
        self._held -= 1
        if self.total >= self._limit:
            return None
        seat = IdleConnection(next(self._numbers), organisation)
        self._resting.append(seat)
        return seat

    def discard(self) -> None:
        """Count a held connection as gone."""
        self._held -= 1

    def remove_idle(self) -> list[IdleConnection]:
        """Return the resting connections and count them as gone.

        One that was promised to a request rests no more.
        """
        forgotten = self._resting
        self._resting = []
        return forgotten

    def _take(
        self, move: CheckoutAction, seat: IdleConnection | None
    ) -> CheckoutDecision:
        if seat is not None:
            self._resting.remove(seat)
        self._held += 1
        return CheckoutDecision(move, seat)
