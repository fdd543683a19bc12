"""How many statements an instance runs at a target at a time.

Targets queue what exceeds their slots and shed what exceeds the queue. The
window shrinks when answers come slowly or are shed, and grows while they come
quickly, so that the wait is spent here, where it is ordered by priority and a
request that would wait too long can be refused at once.
"""

from typing import Final

# Answers slower than this many usual ones shrink the window.
_SLOW_RATIO: Final = 2.5
# Answers quicker than this never do, in seconds.
_QUICK_SECONDS: Final = 0.06
_SHED_FACTOR: Final = 0.6
_SLOW_FACTOR: Final = 0.9
_GROWTH: Final = 0.25
# Window of a target in statements for each of its slots, at most.
_MOST_PER_SLOT: Final = 3
_GAIN: Final = 0.1
_FIRST_SECONDS: Final = 0.02
# The usual time follows longer ones slowly, so that a queue is not usual.
_SLOW_GAIN: Final = 0.01


class ConcurrencyLimiter:
    """Decide by answers' times how many statements may run."""

    def __init__(self, slots: int) -> None:
        """Start at the target's own slots."""
        self._most = float(slots * _MOST_PER_SLOT)
        self._window = float(slots)
        self._running = 0
        self._usual = _FIRST_SECONDS
        self._recent = _FIRST_SECONDS

    @property
    def in_flight(self) -> int:
        """Return statements under way."""
        return self._running

    @property
    def limit(self) -> float:
        """Return how many may be under way."""
        return self._window

    @property
    def has_capacity(self) -> bool:
        """Tell whether another statement may start."""
        return self._running < max(int(self._window), 1)

    def start(self) -> None:
        """Count a statement as under way."""
        self._running += 1

    def finish(self, seconds: float, is_shed: bool) -> None:
        """Take in how a statement ended."""
        self._running -= 1
        if is_shed:
            self._window = max(self._window * _SHED_FACTOR, 1)
            return
        self._recent += _GAIN * (seconds - self._recent)
        gain = _GAIN if seconds < self._usual else _SLOW_GAIN
        self._usual += gain * (seconds - self._usual)
        if seconds > max(self._usual * _SLOW_RATIO, _QUICK_SECONDS):
            self._window = max(self._window * _SLOW_FACTOR, 1)
        else:
            grown = self._window + _GROWTH / self._window
            self._window = min(grown, self._most)

    def estimate_time(self, ahead: int) -> float:
        """Return how long a request behind some others takes, in seconds."""
        return (ahead / max(int(self._window), 1) + 1) * self._recent
