"""Adaptive limit on the statements that an instance runs at a target.

A target queues statements beyond its slots and rejects those beyond its queue.
The limit shrinks when answers are slow or are rejections, and grows while they
are fast. Statements then wait in this instance, which orders them by priority
and can refuse a request at once if it would wait too long.
"""

from typing import Final

# An answer that takes more than this multiple of the baseline shrinks the
# limit. The baseline estimates the response time without queueing.
_SLOW_RATIO: Final = 2.5
# Answers faster than this never count as slow.
_MIN_SLOW_SECONDS: Final = 0.06
_REJECTED_DECREASE_FACTOR: Final = 0.6
_SLOW_DECREASE_FACTOR: Final = 0.9
# Each fast answer adds this, divided by the limit, to the limit.
_INCREASE_STEP: Final = 0.25
# Upper bound on the limit, in statements for each slot of the target.
_MAX_PER_SLOT: Final = 3
_EWMA_WEIGHT: Final = 0.1
_INITIAL_RESPONSE_SECONDS: Final = 0.02
# The baseline follows slower answers with this lower weight, so that time in
# the target's queue does not become part of it.
_SLOW_EWMA_WEIGHT: Final = 0.01


class ConcurrencyLimiter:
    """Limit the statements at a target by response times and rejections."""

    def __init__(self, slots: int) -> None:
        """Start with a limit equal to the slots of the target.

        :param slots: statements that the target runs at a time.
        """
        self._max_limit = float(slots * _MAX_PER_SLOT)
        self._limit = float(slots)
        self._in_flight = 0
        self._baseline_seconds = _INITIAL_RESPONSE_SECONDS
        self._average_seconds = _INITIAL_RESPONSE_SECONDS

    @property
    def in_flight(self) -> int:
        """Return the number of running statements."""
        return self._in_flight

    @property
    def limit(self) -> float:
        """Return how many statements may run at a time, before rounding."""
        return self._limit

    @property
    def has_capacity(self) -> bool:
        """Tell whether another statement may start; one may always run."""
        return self._in_flight < max(int(self._limit), 1)

    def start(self) -> None:
        """Count a statement as running."""
        self._in_flight += 1

    def cancel(self) -> None:
        """Count a statement that was not sent as ended."""
        self._in_flight -= 1

    def finish(self, seconds: float, is_rejected: bool) -> None:
        """Count a statement as ended and adjust the limit.

        :param seconds: response time of the statement.
        :param is_rejected: the target was overloaded and did not run it.
        """
        self._in_flight -= 1
        if is_rejected:
            self._limit = max(self._limit * _REJECTED_DECREASE_FACTOR, 1)
            return
        self._average_seconds += _EWMA_WEIGHT * (
            seconds - self._average_seconds
        )
        weight = (
            _EWMA_WEIGHT
            if seconds < self._baseline_seconds
            else _SLOW_EWMA_WEIGHT
        )
        self._baseline_seconds += weight * (seconds - self._baseline_seconds)
        if seconds > max(
            self._baseline_seconds * _SLOW_RATIO, _MIN_SLOW_SECONDS
        ):
            self._limit = max(self._limit * _SLOW_DECREASE_FACTOR, 1)
        else:
            increased = self._limit + _INCREASE_STEP / self._limit
            self._limit = min(increased, self._max_limit)

    def estimate_time(self, ahead: int) -> float:
        """Return the expected time until a new request has run, in seconds.

        :param ahead: requests that start before it.
        """
        return (ahead / max(int(self._limit), 1) + 1) * self._average_seconds
