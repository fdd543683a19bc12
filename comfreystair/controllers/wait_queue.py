"""Order the requests that wait for a target.

They wait for a free connection or until the concurrency limit of the target
allows another statement.

A connection belongs to one organisation, and opening one costs the target as
much as a statement. A connection that becomes free therefore goes to a request
of the same organisation, unless another request has waited too long.
"""

import itertools
from typing import Final, NamedTuple

# After this wait a request goes before those of the same priority whose
# organisation matches the free connection.
_MAX_AFFINITY_WAIT_SECONDS: Final = 0.15
# Weight of the newest duration in the moving average.
_EWMA_WEIGHT: Final = 0.2
_INITIAL_USE_SECONDS: Final = 0.03


class QueuedRequest(NamedTuple):
    """A waiting request.

    :param number: ascending in the order of arrival.
    :param priority: lower values go first.
    :param queued_at: clock time at which the request joined the queue.
    """

    number: int
    organisation: str
    priority: int
    queued_at: float


class WaitQueue:
    """Queue of the requests that wait for one target at this instance."""

    def __init__(self) -> None:
        """Start with an empty queue and an assumed average duration of use."""
        self._requests: list[QueuedRequest] = []
        self._numbers = itertools.count()
        self._average_use_seconds = _INITIAL_USE_SECONDS

    def add(
        self, organisation: str, priority: int, now: float
    ) -> QueuedRequest:
        """Add a request to the queue and return it."""
        request = QueuedRequest(
            next(self._numbers), organisation, priority, now
        )
        self._requests.append(request)
        return request

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request from the queue, if it is still there."""
        if request in self._requests:
            self._requests.remove(request)

    def record_use(self, seconds: float) -> None:
        """Update the average time for which a connection is in use.

        :param seconds: for which one connection was in use.
        """
        self._average_use_seconds += _EWMA_WEIGHT * (
            seconds - self._average_use_seconds
        )

    def estimate_wait(self, connections: int) -> float:
        """Return the expected wait of a new request, in seconds.

        :param connections: that serve the queue.
        """
        return (
            (len(self._requests) + 1)
            * self._average_use_seconds
            / max(connections, 1)
        )

    def choose_next(
        self, organisation: str, now: float
    ) -> QueuedRequest | None:
        """Return the request that goes next, without removing it.

        :param organisation: that owns the free connection, empty if it belongs
            to none.
        """
        return min(
            self._requests,
            key=lambda request: (
                request.priority,
                now - request.queued_at < _MAX_AFFINITY_WAIT_SECONDS,
                request.organisation != organisation,
                request.number,
            ),
            default=None,
        )
