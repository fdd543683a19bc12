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
_HALF: Final = 0.5
_MOST_HALVINGS: Final = 20
# A target that failed is left alone this long, doubling, in seconds.
_FIRST_PAUSE_SECONDS: Final = 0.3
_MAX_PAUSE_SECONDS: Final = 2.4
# Added to the lag that a replica has shown, in seconds.
_LAG_MARGIN_SECONDS: Final = 0.02
# An estimate of a replica's lag halves in this time, in seconds.
_LAG_HALF_LIFE_SECONDS: Final = 1.5


class Floor(NamedTuple):
    """A position that a read must see.

    :param known_at: when the primary's log held it already.
    """

    position: Position
    known_at: float


class TargetHealth:
    """How a target answered this instance lately."""

    def __init__(self) -> None:
        """Start without experience."""
        self._latency = 0.0
        self._updated_at = float('-inf')
        self._failures = 0
        self._paused_until = float('-inf')
        self._lag = 0.0
        self._lagged_at = float('-inf')
        self._position: Position | None = None

    @property
    def failures(self) -> int:
        """Return failures since the last answer."""
        return self._failures

    def record_success(
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

    def record_failure(self, now: float) -> None:
        """Take in that no answer came."""
        pause = _FIRST_PAUSE_SECONDS * 2**self._failures
        self._failures += 1
        self._paused_until = now + min(pause, _MAX_PAUSE_SECONDS)

    def back_off(self, seconds: float, now: float) -> None:
        """Leave a full target alone for a while."""
        self._paused_until = max(self._paused_until, now + seconds)

    def record_lag(self, floor_age: float, now: float) -> None:
        """Take in that the log lacked a floor of some age, in seconds."""
        shown = floor_age + _LAG_MARGIN_SECONDS
        self._lag = max(self._find_lag(now), shown)
        self._lagged_at = now

    def find_latency(self, now: float) -> float:
        """Return the decayed average latency, in seconds."""
        passed = now - self._updated_at
        return self._latency * _HALF ** min(
            passed / _HALF_LIFE_SECONDS, _MOST_HALVINGS
        )

    def is_backing_off(self, now: float) -> bool:
        """Tell whether the target is to be left alone."""
        return now < self._paused_until

    def is_likely_applied(self, floor: Floor, now: float) -> bool:
        """Tell whether the log is likely to hold all up to a floor."""
        if self._position is not None and covers(
            self._position, floor.position
        ):
            return True
        return now - floor.known_at >= self._find_lag(now)

    def _find_lag(self, now: float) -> float:
        passed = now - self._lagged_at
        return self._lag * _HALF ** min(
            passed / _LAG_HALF_LIFE_SECONDS, _MOST_HALVINGS
        )


class ReadCandidate(NamedTuple):
    """A target that could run a read.

    :param load: requests of this instance there, for each of its slots.
    """

    ident: str
    is_same_zone: bool
    is_primary: bool
    load: float
    health: TargetHealth


def choose_target(
    candidates: Iterable[ReadCandidate],
    floor: Floor,
    now: float,
    draw: Callable[[], float],
) -> str:
    """Return the target with the least expected wait; empty for none.

    :param draw: returns a number from 0 to 1.
    """
    scores = {
        one.ident: _score(one, now) + draw() * _SPREAD_SECONDS
        for one in candidates
        if not one.health.is_backing_off(now)
        and (one.is_primary or one.health.is_likely_applied(floor, now))
    }
    return min(scores, key=scores.__getitem__, default='')


def _score(one: ReadCandidate, now: float) -> float:
    wait = one.health.find_latency(now) * (1 + one.load)
    distance = 0 if one.is_same_zone else _FAR_SECONDS
    return wait + distance + (_PRIMARY_SECONDS * one.is_primary)
