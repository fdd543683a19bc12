"""What a read must see, worked out from the states of the targets.

Every acknowledged write is held by a majority, so the highest position that
any majority has received is at or above each write that was acknowledged
before the majority was asked. No primary is needed for that, and one that was
replaced without knowing can't mislead it.
"""

import bisect
from typing import Final, NamedTuple

from comfreystair.controllers.positions import (
    ORIGIN,
    Observation,
    Position,
    has_reached,
)

_SAMPLE_SECONDS: Final = 0.05
_SAMPLES: Final = 2048


class QuorumSample(NamedTuple):
    """A quorum position.

    :param at: every write acknowledged before this time is at or below it.
    """

    at: float
    floor: Position


class QuorumPositionTracker:
    """Keep the quorum positions of one database group over time."""

    def __init__(self) -> None:
        """Start with no sample."""
        self._latest: QuorumSample | None = None
        self._history: list[QuorumSample] = []

    @property
    def latest(self) -> QuorumSample | None:
        """Return the newest quorum position."""
        return self._latest

    def refresh(
        self, observations: dict[str, Observation], majority: int
    ) -> None:
        """Work out the quorum position from the newest majority."""
        newest = sorted(
            observations.values(),
            key=lambda seen: seen.asked_at,
            reverse=True,
        )[:majority]
        if len(newest) < majority:
            return
        sample = QuorumSample(
            newest[-1].asked_at,
            max(seen.status.received for seen in newest),
        )
        if self._latest is None or sample.at > self._latest.at:
            self._latest = sample
            self._remember(sample)

    def find_read_floor(self, since: float) -> Position | None:
        """Return a floor above all writes acknowledged before a time."""
        if self._latest is None or self._latest.at < since:
            return None
        return self._latest.floor

    def find_stale_read_floor(
        self, now: float, age_seconds: float
    ) -> Position | None:
        """Return the lowest floor that a read of a stated age must cover."""
        limit = now - age_seconds
        index = bisect.bisect_left(self._history, limit, key=_find_time)
        if index < len(self._history):
            return self._history[index].floor
        return self.find_read_floor(limit)

    def _remember(self, sample: QuorumSample) -> None:
        last = self._history[-1].at if self._history else 0
        if not self._history or sample.at - last >= _SAMPLE_SECONDS:
            self._history.append(sample)
        if len(self._history) > 2 * _SAMPLES:
            del self._history[:_SAMPLES]


def _find_time(sample: QuorumSample) -> float:
    return sample.at


def max_position(*floors: Position | None) -> Position:
    """Return the highest of some floors."""
    return max((floor for floor in floors if floor), default=ORIGIN)


def has_applied(seen: Observation, floor: Position) -> bool:
    """Tell whether reads at an observed target see all up to a floor."""
    return has_reached(seen.status.applied, floor)
