"""Decide when a committed write may be acknowledged.

A commit is safe once a majority of the group holds it under the term of the
primary that wrote it, and none of that majority has promised a later term.
"""

from collections.abc import Iterable
from typing import Literal

from comfreystair.controllers.positions import Position, TargetStatus

CommitState = Literal['safe', 'waiting', 'passed']


def evaluate_commit(
    commit: Position, statuses: Iterable[TargetStatus], majority: int
) -> CommitState:
    """Judge a commit by the newest status of each target.

    :returns: ``passed`` when a majority has promised a later term, so that
        the commit can't become safe under its own.
    """
    holding = 0
    passed = 0
    for status in statuses:
        if status.promised_term > commit.term:
            passed += 1
        elif has_received(status, commit):
            holding += 1
    if holding >= majority:
        return 'safe'
    return 'passed' if passed >= majority else 'waiting'


def has_received(status: TargetStatus, commit: Position) -> bool:
    """Tell whether a target has received a commit."""
    received = status.received
    return received.term == commit.term and received.offset >= commit.offset
