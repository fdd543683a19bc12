"""When a committed write may be acknowledged.

A commit is safe once a majority of the group has received it in the term of
the primary that wrote it, and no target of that majority has promised a later
term.
"""

from collections.abc import Iterable
from typing import Literal

from comfreystair.controllers.positions import Position, TargetStatus

CommitState = Literal['safe', 'waiting', 'passed']


def evaluate_commit(
    commit: Position, statuses: Iterable[TargetStatus], majority: int
) -> CommitState:
    """Evaluate a commit by the latest status of each target.

    :param majority: number of targets that form a majority.
    :returns: ``safe`` when the commit may be acknowledged, ``passed`` when a
        majority has promised a later term so that the commit can't become
        safe in its own term, and otherwise ``waiting``.
    """
    stored = 0
    superseded = 0
    for status in statuses:
        if status.promised_term > commit.term:
            superseded += 1
        elif has_received(status, commit):
            stored += 1
    if stored >= majority:
        return 'safe'
    return 'passed' if superseded >= majority else 'waiting'


def has_received(status: TargetStatus, commit: Position) -> bool:
    """Return whether a target has received a commit."""
    received = status.received
    return received.term == commit.term and received.offset >= commit.offset
