"""Choose the target that a read runs at."""

from collections.abc import Iterable
from typing import NamedTuple

from comfreystair.controllers.quorum_positions import has_applied
from comfreystair.controllers.positions import Observation, Position


class ReadCandidate(NamedTuple):
    """A target that could serve a read.

    :param load: requests running or queued there, in proportion to slots.
    :param is_usable: it serves, answers, and has a connection to give.
    """

    name: str
    observation: Observation
    load: float
    is_primary: bool
    is_same_zone: bool
    is_usable: bool


def choose_read_target(
    candidates: Iterable[ReadCandidate], floor: Position
) -> ReadCandidate | None:
    """Return the least loaded replica that covers the floor.

    The primary serves a read only when no replica can; among replicas of
    equal load, one in this daemon's availability zone goes first.
    """
    eligible = [
        one
        for one in candidates
        if one.is_usable and has_applied(one.observation, floor)
    ]
    return min(eligible, key=_rank, default=None)


def _rank(candidate: ReadCandidate) -> tuple[bool, float, bool, str]:
    return (
        candidate.is_primary,
        candidate.load,
        not candidate.is_same_zone,
        candidate.name,
    )
