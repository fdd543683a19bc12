"""Decide which target becomes the primary of its group."""

from collections.abc import Container, Iterable
from typing import Final, NamedTuple

from comfreystair.controllers.positions import ORIGIN, Position
from comfreystair.controllers.primary_tracking import PrimaryRecord

# A primary must be unreachable this long before it is replaced.
FAILURE_DETECTION_SECONDS: Final = 0.8
# Share of the instances that must be unable to reach a primary, while others
# still reach it.
_MIN_UNREACHABLE_SHARE: Final = 0.25
# The primary counts as reached by another instance if it answered that
# instance within this time.
_RECENT_ANSWER_SECONDS: Final = 0.6


class ReplicationStatus(NamedTuple):
    """What a target reported of itself.

    :param received: position of the last entry in its log.
    :param is_leaving: it accepts no new requests and ends soon.
    :param address: of the target; its log is kept there.
    :param is_cold: it has started lately and handles few requests.
    """

    ident: str
    is_primary: bool
    term: int
    received: Position
    is_leaving: bool
    address: str = ''
    is_cold: bool = False


def find_other_primary(
    statuses: Iterable[ReplicationStatus], old_primary: str, term: int
) -> ReplicationStatus | None:
    """Return a target that is already primary in place of the old one.

    It has a later term, or the same one under another id. In the latter case
    it is the old primary, restarted under a new id: only a promotion makes a
    different target primary, and a promotion begins a new term.
    """
    primaries = [
        status
        for status in statuses
        if status.is_primary
        and (
            status.term > term
            or (status.term == term and status.ident != old_primary)
        )
    ]
    return max(primaries, key=lambda status: status.term, default=None)


def find_undisputed_primary(
    statuses: Iterable[ReplicationStatus], term: int
) -> ReplicationStatus | None:
    """Return the primary of the newest term, if no target knows a later one.

    :param term: newest term of which any instance knows.
    """
    listed = list(statuses)
    newest = max((status.term for status in listed), default=term)
    if newest < term:
        return None
    return next(
        (one for one in listed if one.is_primary and one.term == newest), None
    )


def is_failover_lost(known: Iterable[PrimaryRecord], era: int) -> bool:
    """Tell whether the store has lost a failover whose end nobody knows.

    :param known: records that instances know from before a search.
    :param era: the store's present era.
    """
    records = list(known)
    newest = max(one.term for one in records)
    return any(
        one.is_changing and (one.is_restored or one.position.era != era)
        for one in records
        if one.term == newest
    )


def choose_successor(
    statuses: Iterable[ReplicationStatus],
    old_primary: str,
    refused: set[str],
    preferred: Container[str] = (),
) -> ReplicationStatus | None:
    """Return the target with the most advanced log, if any can be promoted.

    Targets that are leaving are not considered. In a tie a preferred target
    wins, then a target other than the old primary, then one that is not cold.

    :param refused: ids of targets that could not be promoted.
    :param preferred: ids of targets in regions that all routes of the group
        allow, the old primary included: in another region its successor could
        not serve the restricted routes.
    """
    return max(
        (
            status
            for status in statuses
            if not status.is_leaving and status.ident not in refused
        ),
        key=lambda status: (
            status.received,
            status.ident in preferred,
            status.ident != old_primary,
            not status.is_cold,
            status.ident,
        ),
        default=None,
    )


def choose_durable_successor(
    statuses: Iterable[ReplicationStatus],
    old_primary: str,
    refused: set[str],
    durable_end: Position,
    preferred: Container[str] = (),
) -> ReplicationStatus | None:
    """Return the best target whose log holds all acknowledged commits, if any.

    One that is leaving is returned only when no other one holds them: it leads
    until another one has received its log.

    :param refused: ids of targets that could not be promoted.
    :param durable_end: position up to which a log holds these commits.
    :param preferred: as in :func:`choose_successor`.
    """
    return max(
        (
            status
            for status in statuses
            if status.received >= durable_end and status.ident not in refused
        ),
        key=lambda status: (
            not status.is_leaving,
            status.received,
            status.ident in preferred,
            status.ident != old_primary,
            not status.is_cold,
            status.ident,
        ),
        default=None,
    )


def has_caught_up(
    statuses: Iterable[ReplicationStatus],
    end: Position | None,
    old_primary: str,
) -> bool:
    """Tell whether a possible successor has the old primary's whole log.

    :param end: end of the old primary's log, ``None`` if it is not known.
    :returns: whether it has, or the end is not known.
    """
    return end is None or any(
        status.received >= end
        for status in statuses
        if status.ident != old_primary and not status.is_leaving
    )


def is_widely_unreachable(answer_ages: Iterable[float | None]) -> bool:
    """Tell whether enough instances can't reach a primary.

    This instance can't reach the primary and is counted as well.

    :param answer_ages: for each other instance, seconds since the primary
        answered it, ``None`` for an instance that has not asked the primary.
    :returns: true as well if no other instance has asked the primary.
    """
    known = [age for age in answer_ages if age is not None]
    if not known:
        return True
    unreachable = sum(age > _RECENT_ANSWER_SECONDS for age in known)
    return (unreachable + 1) / (len(known) + 1) >= _MIN_UNREACHABLE_SHARE


def get_log_end(received: Position | None) -> Position:
    """Return the end of a log, :data:`ORIGIN` for an empty log.

    :param received: position of the last entry, ``None`` if there is none.
    """
    return ORIGIN if received is None else received
