"""When requests that were turned away should come back."""

from typing import Final

from comfreystair.controllers.scheduling.minimum_share import Level

_MIN_RETRY_SECONDS: Final = 0.1
# Longer times would keep callers away when the load has already gone.
_MAX_RETRY_SECONDS: Final = 2.0
# Largest random part, relative to the time itself.
_SPREAD: Final = 0.5


class ReturnTimes:
    """Gives each request that is turned away a later time than the last.

    Callers then return about as fast as the target can serve them.
    """

    def __init__(self) -> None:
        """Begin without requests."""
        self._next_times: dict[Level, float] = {}

    def assign(
        self,
        level: Level,
        wait: float,
        interval: float,
        now: float,
        fraction: float,
    ) -> float:
        """Return after which time a request should come back, in seconds.

        :param wait: expected wait of the request.
        :param interval: expected time between two starts of its priority.
        :param fraction: random number from 0 to 1.
        """
        latest = now + _MAX_RETRY_SECONDS
        at = min(max(self._next_times.get(level, 0), now + wait), latest)
        self._next_times[level] = at + interval
        seconds = max(at - now, _MIN_RETRY_SECONDS)
        return seconds * (1 + _SPREAD * fraction)
