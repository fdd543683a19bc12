"""Backoff of an instance from a target that refused a connection.

A target that has reached its connection limit refuses every new connection.
Without a backoff each waiting request of each instance would open one.
"""

from typing import Final

# The first backoff lasts at most this long; each further one doubles it.
_INITIAL_SECONDS: Final = 0.2
_MAX_SECONDS: Final = 3.2
_MAX_DOUBLINGS: Final = 4
# A backoff lasts at least this part of its upper bound, so that it grows in
# spite of the jitter.
_MIN_PART: Final = 0.5


class ConnectionBackoff:
    """Whether an instance may open connections to one target.

    After a backoff a single connection is opened. Others follow when the
    target has accepted it.
    """

    def __init__(self) -> None:
        """Start without a refused connection."""
        self._refusals = 0
        self._began_at = float('-inf')
        self._ends_at = float('-inf')
        self._is_trying = False

    def may_open(self, now: float) -> bool:
        """Tell whether a connection may be opened."""
        if self._refusals == 0:
            return True
        return not self._is_trying and not self.is_backing_off(now)

    def is_backing_off(self, now: float) -> bool:
        """Tell whether a backoff has not ended."""
        return now < self._ends_at

    def find_retry_seconds(self, now: float, random_fraction: float) -> float:
        """Return after how long a rejected request should come back.

        :param random_fraction: random number from 0 to 1, which spreads the
            requests over the time after the backoff.
        """
        spread = _INITIAL_SECONDS * (1 + random_fraction)
        return max(self._ends_at - now, 0) + spread

    def record_start(self) -> None:
        """Record that a connection will be opened."""
        self._is_trying = self._refusals > 0

    def record_opened(self, started_at: float) -> bool:
        """Record that the target accepted a connection.

        :param started_at: when its opening began. One that began before the
            backoff does not show that the target accepts connections again.
        :returns: whether this ended a series of refusals.
        """
        if self._refusals == 0 or started_at <= self._began_at:
            return False
        self._refusals = 0
        self._is_trying = False
        return True

    def record_failed(self, started_at: float) -> None:
        """Record that opening a connection failed or was given up.

        :param started_at: when its opening began.
        """
        if started_at > self._began_at:
            self._is_trying = False

    def record_refused(
        self, started_at: float, now: float, random_fraction: float
    ) -> float:
        """Record that the target refused a connection because of its limit.

        :param started_at: when its opening began. Connections that were opened
            at the same time are refused together and count once.
        :param random_fraction: random number from 0 to 1.
        :returns: the duration of the backoff that begins, 0 for none.
        """
        if started_at <= self._began_at:
            return 0
        doublings = min(self._refusals, _MAX_DOUBLINGS)
        bound = min(_INITIAL_SECONDS * 2**doublings, _MAX_SECONDS)
        seconds = bound * (_MIN_PART + (1 - _MIN_PART) * random_fraction)
        self._refusals += 1
        self._is_trying = False
        self._began_at = now
        self._ends_at = now + seconds
        return seconds
