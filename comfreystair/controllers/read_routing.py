"""Selection of the target that runs a read."""

from collections.abc import Iterable
from typing import NamedTuple

from comfreystair.controllers.positions import Observation, Position
from comfreystair.controllers.quorum_positions import has_applied


class ReadCandidate(NamedTuple):
    """A target that could run a read.

    :param observation: the latest status of the target.
    :param load: requests running or queued at the target, per slot.
    :param is_same_zone: the target is in the availability zone of this daemon.
    :param is_usable: the target is in service, responds, and has a connection
        available.
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
    """Return the least loaded usable replica that has applied the floor.

    The primary is returned only if no replica qualifies. Of replicas with
    equal load, one in the availability zone of this daemon is preferred.

    :param floor: lowest log position that the read must see.
    :returns: the target, or nothing if none qualifies.
    """
    eligible = [
        candidate
        for candidate in candidates
        if candidate.is_usable and has_applied(candidate.observation, floor)
    ]
    return min(eligible, key=_get_sort_key, default=None)


def _get_sort_key(candidate: ReadCandidate) -> tuple[bool, float, bool, str]:
    return (
        candidate.is_primary,
        candidate.load,
        not candidate.is_same_zone,
        candidate.name,
    )
