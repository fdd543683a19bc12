"""Which waiting request gets the next free connection of a target.

A connection belongs to one organisation and a new one costs the target as much
as a statement, so a free one goes to a request of the same organisation, as
long as nobody waits too long for that.
"""

import itertools
from typing import Final, NamedTuple

# A request that has waited this long goes before those with a fitting
# connection, in seconds.
_PATIENCE_SECONDS: Final = 0.15
# Share of the newest use in the average.
_GAIN: Final = 0.2
_FIRST_USE_SECONDS: Final = 0.03


class QueuedRequest(NamedTuple):
    """A waiting request.

    :param priority: 0 goes first.
    """

    number: int
    organisation: str
    priority: int
    queued_at: float


class WaitQueue:
    """Requests that wait for a connection."""

    def __init__(self) -> None:
        """Start empty."""
        self._tickets: list[QueuedRequest] = []
        self._numbers = itertools.count()
        self._use = _FIRST_USE_SECONDS

    def add(
        self, organisation: str, priority: int, now: float
    ) -> QueuedRequest:
        """Let a request wait."""
        ticket = QueuedRequest(next(self._numbers), organisation, priority, now)
        self._tickets.append(ticket)
        return ticket

    def remove(self, ticket: QueuedRequest) -> None:
        """Let a request wait no longer."""
        if ticket in self._tickets:
            self._tickets.remove(ticket)

    def record_use(self, seconds: float) -> None:
        """Take in for how long a connection was in use."""
        self._use += _GAIN * (seconds - self._use)

    def estimate_wait(self, connections: int) -> float:
        """Return how long a new request would wait, in seconds."""
        return (len(self._tickets) + 1) * self._use / max(connections, 1)

    def choose_next(
        self, organisation: str, now: float
    ) -> QueuedRequest | None:
        """Return who goes next.

        :param organisation: whose connection is free, empty for nobody's.
        """
        return min(
            self._tickets,
            key=lambda one: (
                one.priority,
                now - one.queued_at < _PATIENCE_SECONDS,
                one.organisation != organisation,
                one.number,
            ),
            default=None,
        )
