"""Choose the target that a read runs at."""

from collections.abc import Iterable
from typing import NamedTuple

from comfreystair.controllers.quorum_positions import is_covered
from comfreystair.controllers.positions import Observation, Position


class Candidate(NamedTuple):
    """A target that could serve a read.

    :param load: requests running or queued there, in proportion to slots.
    :param is_usable: it serves, answers, and has a connection to give.
    """

    name: str
    seen: Observation
    load: float
    is_primary: bool
    is_local: bool
    is_usable: bool


def choose_read_target(
    candidates: Iterable[Candidate], floor: Position
) -> Candidate | None:
    """Return the least loaded replica that covers the floor.

    The primary serves a read only when no replica can; among replicas of
    equal load, one in this daemon's availability zone goes first.
    """
    eligible = [
        one
        for one in candidates
        if one.is_usable and is_covered(one.seen, floor)
    ]
    return min(eligible, key=_rank, default=None)


def _rank(candidate: Candidate) -> tuple[bool, float, bool, str]:
    return (
        candidate.is_primary,
        candidate.load,
        not candidate.is_local,
        candidate.name,
    )
