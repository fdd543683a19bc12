"""Read floors, computed from the log positions of a majority of targets.

A read floor is the lowest log position that a read must see. Every acknowledged
write is stored on a majority of the targets. The highest position received by
the targets of any majority is therefore at or above each write that was
acknowledged before that majority was asked. This needs no response of the
primary, and a former primary that does not know that it was replaced can't
make the floor too low.
"""

import bisect
from typing import Final, NamedTuple

from comfreystair.controllers.positions import (
    ORIGIN,
    Observation,
    Position,
    has_reached,
)

_SAMPLE_INTERVAL_SECONDS: Final = 0.05
# Number of samples that are kept; older ones are removed in such batches.
_MIN_HISTORY_SAMPLES: Final = 2048


class QuorumSample(NamedTuple):
    """The highest log position received by a majority at a time.

    :param at: monotonic seconds; every write acknowledged before this time
        is at or below the position.
    :param floor: the position.
    """

    at: float
    floor: Position


class QuorumPositionTracker:
    """The quorum positions of one database group over time."""

    def __init__(self) -> None:
        """Begin without any quorum position."""
        self._latest: QuorumSample | None = None
        self._history: list[QuorumSample] = []

    @property
    def latest(self) -> QuorumSample | None:
        """Return the latest quorum position, if there is one."""
        return self._latest

    def refresh(
        self, observations: dict[str, Observation], majority: int
    ) -> None:
        """Compute the quorum position of the most recently asked majority.

        It is stored if it is of a later time than the latest one. Nothing
        changes while fewer targets than a majority have been observed.

        :param observations: latest observation of each target by its name.
        :param majority: number of targets that form a majority.
        """
        newest = sorted(
            observations.values(),
            key=lambda observation: observation.asked_at,
            reverse=True,
        )[:majority]
        if len(newest) < majority:
            return
        sample = QuorumSample(
            newest[-1].asked_at,
            max(observation.status.received for observation in newest),
        )
        if self._latest is None or sample.at > self._latest.at:
            self._latest = sample
            self._store_sample(sample)

    def find_read_floor(self, since: float) -> Position | None:
        """Return a floor for reads that see all writes before a time.

        :returns: a position at or above every write acknowledged before the
            time, or nothing if no majority was asked since.
        """
        if self._latest is None or self._latest.at < since:
            return None
        return self._latest.floor

    def find_stale_read_floor(
        self, now: float, age_seconds: float
    ) -> Position | None:
        """Return the lowest floor for a read of bounded staleness.

        :param now: monotonic seconds.
        :param age_seconds: maximum staleness of the read.
        :returns: a position at or above every write acknowledged before that
            age, or nothing if no majority was asked since.
        """
        cutoff = now - age_seconds
        index = bisect.bisect_left(self._history, cutoff, key=_get_sample_time)
        if index < len(self._history):
            return self._history[index].floor
        return self.find_read_floor(cutoff)

    def _store_sample(self, sample: QuorumSample) -> None:
        last = self._history[-1].at if self._history else 0
        if not self._history or sample.at - last >= _SAMPLE_INTERVAL_SECONDS:
            self._history.append(sample)
        if len(self._history) > 2 * _MIN_HISTORY_SAMPLES:
            del self._history[:_MIN_HISTORY_SAMPLES]


def _get_sample_time(sample: QuorumSample) -> float:
    return sample.at


def max_position(*positions: Position | None) -> Position:
    """Return the highest of some positions, :data:`ORIGIN` if all are None."""
    return max((position for position in positions if position), default=ORIGIN)


def has_applied(observation: Observation, floor: Position) -> bool:
    """Return whether reads at an observed target see all up to a floor."""
    return has_reached(observation.status.applied, floor)
