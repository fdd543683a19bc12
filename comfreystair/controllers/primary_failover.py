"""Which target becomes the primary of its group."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from comfreystair.controllers.positions import ORIGIN, Position

# A primary must be missed this long before it is replaced, in seconds.
FAILURE_DETECTION_SECONDS: Final = 0.8
# Share of the instances that must miss a primary which others still reach.
_MISSED_SHARE: Final = 0.25
# Within this time another instance's answer from the primary counts, in
# seconds.
_HEARD_SECONDS: Final = 0.6


class ReplicationStatus(NamedTuple):
    """A target that answered for itself.

    :param received: the end of the log that it holds.
    """

    ident: str
    is_primary: bool
    term: int
    received: Position
    is_leaving: bool


def find_other_primary(
    standings: Iterable[ReplicationStatus], old_primary: str, term: int
) -> ReplicationStatus | None:
    """Return a target that leads already, beside the old primary.

    It leads a later term, or the same one: then it is the old primary come
    back under another id, since only a promotion makes another target lead
    and that begins a term.
    """
    leaders = [
        one
        for one in standings
        if one.is_primary
        and (one.term > term or (one.term == term and one.ident != old_primary))
    ]
    return max(leaders, key=lambda one: one.term, default=None)


def choose_successor(
    standings: Iterable[ReplicationStatus], old_primary: str, refused: set[str]
) -> ReplicationStatus | None:
    """Return the target with the most advanced log.

    Among equals one other than the old primary goes first.
    """
    return max(
        (
            one
            for one in standings
            if not one.is_leaving and one.ident not in refused
        ),
        key=lambda one: (one.received, one.ident != old_primary, one.ident),
        default=None,
    )


def has_caught_up(
    standings: Iterable[ReplicationStatus],
    end: Position | None,
    old_primary: str,
) -> bool:
    """Tell whether a successor holds the whole log of the old primary."""
    return end is None or any(
        one.received >= end
        for one in standings
        if one.ident != old_primary and not one.is_leaving
    )


def is_widely_unreachable(heard: Iterable[float | None]) -> bool:
    """Tell whether enough instances miss a primary.

    :param heard: for each other instance, seconds since the primary answered
        it, absent for one that has not asked it.
    """
    known = [seconds for seconds in heard if seconds is not None]
    if not known:
        return True
    missing = sum(seconds > _HEARD_SECONDS for seconds in known)
    return (missing + 1) / (len(known) + 1) >= _MISSED_SHARE


def get_log_end(received: Position | None) -> Position:
    """Return a log's end, the origin for an empty one."""
    return ORIGIN if received is None else received
