"""Which target runs a read."""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from comfreystair.controllers.positions import Position, covers

# Weights in seconds of expected wait.
# A way to another availability zone and back.
_FAR_SECONDS: Final = 0.003
# What a read at the primary costs the writes that only it can serve.
_PRIMARY_SECONDS: Final = 0.02
# Spread between equals, so that instances do not all pick the same.
_SPREAD_SECONDS: Final = 0.006
# Share of a new latency in the average.
_GAIN: Final = 0.25
# The average decays towards nothing with this half-life, in seconds.
_HALF_LIFE_SECONDS: Final = 1.0
# A target that failed is left alone this long, doubling, in seconds.
_FIRST_PAUSE_SECONDS: Final = 0.3
_MAX_PAUSE_SECONDS: Final = 2.4
# A replica that was behind a floor is left alone this long, in seconds.
_LAG_PAUSE_SECONDS: Final = 0.15


class TargetHealth:
    """How a target answered this instance lately."""

    def __init__(self) -> None:
        """Start without experience."""
        self._latency = 0.0
        self._updated_at = float('-inf')
        self._failures = 0
        self._paused_until = float('-inf')
        self._lagging_until = float('-inf')
        self._position: Position | None = None

    @property
    def failures(self) -> int:
        """Return failures since the last answer."""
        return self._failures

    def succeed(
        self, seconds: float, position: Position | None, now: float
    ) -> None:
        """Take in an answer and the position of its log."""
        self._failures = 0
        self._paused_until = float('-inf')
        current = self.find_latency(now)
        self._latency = current + _GAIN * (seconds - current)
        self._updated_at = now
        if position is not None:
            self._position = position

    def fail(self, now: float) -> None:
        """Take in that no answer came."""
        pause = _FIRST_PAUSE_SECONDS * 2**self._failures
        self._failures += 1
        self._paused_until = now + min(pause, _MAX_PAUSE_SECONDS)

    def shed(self, seconds: float, now: float) -> None:
        """Leave a full target alone for a while."""
        self._paused_until = max(self._paused_until, now + seconds)

    def lag(self, now: float) -> None:
        """Take in that the log lacked a floor."""
        self._lagging_until = now + _LAG_PAUSE_SECONDS

    def find_latency(self, now: float) -> float:
        """Return the decayed average latency, in seconds."""
        passed = now - self._updated_at
        return self._latency * 0.5 ** min(passed / _HALF_LIFE_SECONDS, 20)

    def is_paused(self, now: float) -> bool:
        """Tell whether the target is to be left alone."""
        return now < self._paused_until

    def may_hold(self, floor: Position | None, now: float) -> bool:
        """Tell whether the log may hold all up to a floor."""
        if floor is None:
            return True
        if self._position is not None and covers(self._position, floor):
            return True
        return now >= self._lagging_until


class Candidate(NamedTuple):
    """A target that could run a read.

    :param load: requests of this instance there, for each of its slots.
    """

    ident: str
    is_near: bool
    is_primary: bool
    load: float
    health: TargetHealth


def choose_target(
    candidates: Iterable[Candidate],
    floor: Position | None,
    now: float,
    draw: Callable[[], float],
) -> str:
    """Return the target with the least expected wait; empty for none.

    :param draw: returns a number from 0 to 1.
    """
    scores = {
        one.ident: _score(one, now) + draw() * _SPREAD_SECONDS
        for one in candidates
        if not one.health.is_paused(now)
        and (one.is_primary or one.health.may_hold(floor, now))
    }
    return min(scores, key=scores.__getitem__, default='')


def _score(one: Candidate, now: float) -> float:
    wait = one.health.find_latency(now) * (1 + one.load)
    distance = 0 if one.is_near else _FAR_SECONDS
    return wait + distance + (_PRIMARY_SECONDS if one.is_primary else 0)
