"""Select the target that runs a read."""

from collections.abc import Callable, Container, Iterable
from typing import Final, NamedTuple

from comfreystair.controllers.positions import Position, has_reached

# The weights are seconds of expected wait.
# Round trip to another availability zone.
_CROSS_ZONE_SECONDS: Final = 0.003
# Penalty for a read at the primary: it delays writes, which only the primary
# can run.
_PRIMARY_PENALTY_SECONDS: Final = 0.02
# Random jitter, so that instances do not all select the same target.
_JITTER_SECONDS: Final = 0.006
# Weight of the newest latency in the moving average.
_LATENCY_EWMA_WEIGHT: Final = 0.25
# The average latency decays towards zero with this half-life.
_LATENCY_HALF_LIFE_SECONDS: Final = 1.0
_HALF: Final = 0.5
_MAX_HALVINGS: Final = 20
# Backoff after the first failure of a target; each further failure doubles it.
_INITIAL_BACKOFF_SECONDS: Final = 0.3
_MAX_BACKOFF_SECONDS: Final = 2.4
# Added to the observed lag of a replica.
_LAG_MARGIN_SECONDS: Final = 0.02
# The estimated lag of a replica decays with this half-life.
_LAG_HALF_LIFE_SECONDS: Final = 1.5


class Floor(NamedTuple):
    """The lowest log position that a read must see.

    :param known_at: time at which the primary's log already contained it.
    """

    position: Position
    known_at: float


class TargetHealth:
    """Latency, failures and lag of a target as this instance observed them."""

    def __init__(self) -> None:
        """Start with zero latency and lag, no failures and no position."""
        self._latency = 0.0
        self._updated_at = float('-inf')
        self._failures = 0
        self._backoff_until = float('-inf')
        self._lag = 0.0
        self._lagged_at = float('-inf')
        self._position: Position | None = None

    @property
    def failures(self) -> int:
        """Return the number of failures in a row."""
        return self._failures

    def record_success(
        self, seconds: float, position: Position | None, now: float
    ) -> None:
        """Record an answer and end the backoff.

        :param seconds: latency of the answer.
        :param position: log position in the answer, if it has one.
        """
        self._failures = 0
        self._backoff_until = float('-inf')
        current = self.find_latency(now)
        self._latency = current + _LATENCY_EWMA_WEIGHT * (seconds - current)
        self._updated_at = now
        if position is not None:
            self._position = position

    def record_failure(self, now: float) -> None:
        """Record that no answer came, and back off exponentially."""
        backoff = _INITIAL_BACKOFF_SECONDS * 2**self._failures
        self._failures += 1
        self._backoff_until = now + min(backoff, _MAX_BACKOFF_SECONDS)

    def back_off(self, seconds: float, now: float) -> None:
        """Exclude the target from selection, as when it is overloaded.

        :param seconds: least time for which it is excluded.
        """
        self._backoff_until = max(self._backoff_until, now + seconds)

    def record_lag(self, floor_age: float, now: float) -> None:
        """Record that the target's log did not contain a floor yet.

        :param floor_age: seconds since the floor was known.
        """
        observed = floor_age + _LAG_MARGIN_SECONDS
        self._lag = max(self._find_lag(now), observed)
        self._lagged_at = now

    def find_latency(self, now: float) -> float:
        """Return the decayed average latency, in seconds."""
        elapsed = now - self._updated_at
        return self._latency * _HALF ** min(
            elapsed / _LATENCY_HALF_LIFE_SECONDS, _MAX_HALVINGS
        )

    def is_backing_off(self, now: float) -> bool:
        """Tell whether the target is excluded from selection."""
        return now < self._backoff_until

    def is_likely_applied(self, floor: Floor, now: float) -> bool:
        """Tell whether the target has probably applied its log to a floor.

        Either a reported position proves it, or the floor has been known for
        longer than the estimated lag.
        """
        if self._position is not None and has_reached(
            self._position, floor.position
        ):
            return True
        return now - floor.known_at >= self._find_lag(now)

    def _find_lag(self, now: float) -> float:
        elapsed = now - self._lagged_at
        return self._lag * _HALF ** min(
            elapsed / _LAG_HALF_LIFE_SECONDS, _MAX_HALVINGS
        )


class ReadCandidate(NamedTuple):
    """A target that could run a read.

    :param is_same_zone: it is in this instance's availability zone.
    :param load: requests that this instance is running at the target, divided
        by the slots of the target.
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
    random_fraction: Callable[[], float],
    cold: Container[str] = (),
) -> str:
    """Return the target with the least expected wait; empty for none.

    Targets in backoff and replicas that probably lack the floor are excluded.
    A cold target is only chosen if there is no other, and a cold primary after
    the cold replicas: writes need its few requests.

    :param random_fraction: returns a random number from 0 to 1.
    :param cold: ids of the cold targets.
    """
    waits = {
        candidate.ident: (
            (1 + candidate.is_primary) * (candidate.ident in cold),
            _estimate_wait(candidate, now)
            + random_fraction() * _JITTER_SECONDS,
        )
        for candidate in candidates
        if not candidate.health.is_backing_off(now)
        and (
            candidate.is_primary
            or candidate.health.is_likely_applied(floor, now)
        )
    }
    return min(waits, key=waits.__getitem__, default='')


def _estimate_wait(candidate: ReadCandidate, now: float) -> float:
    latency = candidate.health.find_latency(now) * (1 + candidate.load)
    cross_zone_seconds = 0 if candidate.is_same_zone else _CROSS_ZONE_SECONDS
    return (
        latency
        + cross_zone_seconds
        + (_PRIMARY_PENALTY_SECONDS * candidate.is_primary)
    )
