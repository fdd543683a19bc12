"""One attempt of one promoter to replace a primary."""

from collections.abc import Iterator
from typing import Final, NamedTuple

from comfreystair.controllers.positions import TargetStatus, majority_size

_GRACE_SECONDS: Final = 0.03
_RETRY_SECONDS: Final = 0.1
_GIVE_UP_SECONDS: Final = 0.8


class Fence(NamedTuple):
    """Effect: ask a target to promise a term to a candidate."""

    target: str
    term: int
    candidate: str


class Promote(NamedTuple):
    """Effect: make a fenced target the primary of the promised term."""

    target: str
    term: int
    candidate: str


class FailoverAttempt:
    """Fence a majority, then promote the most advanced of the fenced.

    Repeating a promotion is harmless, so one whose answer is late or lost is
    sent again until the attempt is over.
    """

    def __init__(
        self,
        *,
        term: int,
        candidate: str,
        members: int,
        leaving: frozenset[str],
        started_at: float,
    ) -> None:
        """Start with no promise.

        :param members: number of targets of the group.
        :param leaving: targets that shall not be promoted if others can.
        """
        self._term = term
        self._candidate = candidate
        self._members = members
        self._leaving = leaving
        self._started_at = started_at
        self._granted: dict[str, TargetStatus] = {}
        self._answered = 0
        self._refused = 0
        self._majority_at: float | None = None
        self._chosen: str | None = None
        self._promote_at = started_at

    @property
    def term(self) -> int:
        """Return the term that is asked for."""
        return self._term

    def is_over(self, now: float) -> bool:
        """Tell whether the attempt took too long, or can't succeed."""
        if self._refused > self._members - majority_size(self._members):
            return True
        return now - self._started_at > _GIVE_UP_SECONDS

    def record_fence_reply(
        self, target: str, answer: TargetStatus, is_granted: bool
    ) -> None:
        """Count an answer; those after the choice change nothing."""
        self._answered += 1
        self._refused += not is_granted
        if is_granted and self._chosen is None:
            self._granted[target] = answer

    def tick(self, now: float) -> Iterator[Promote]:
        """Promote once a majority has promised."""
        if self._chosen is None:
            self._choose(now)
        if self._chosen is not None and now >= self._promote_at:
            self._promote_at = now + _RETRY_SECONDS
            yield Promote(self._chosen, self._term, self._candidate)

    def _choose(self, now: float) -> None:
        if len(self._granted) < majority_size(self._members):
            return
        if self._majority_at is None:
            self._majority_at = now
        is_waiting = now - self._majority_at < _GRACE_SECONDS
        if is_waiting and self._answered < self._members:
            return
        self._chosen = choose_successor(
            self._granted, self._members, self._leaving
        )
        self._promote_at = now


def choose_successor(
    granted: dict[str, TargetStatus], members: int, leaving: frozenset[str]
) -> str:
    """Return the fenced target with the most advanced log.

    A leaving target is passed over only when the others that promised are a
    majority by themselves: then they hold every acknowledged write.
    """
    staying = {
        name: status for name, status in granted.items() if name not in leaving
    }
    is_enough = len(staying) >= majority_size(members)
    eligible = staying if is_enough else granted
    return max(eligible, key=lambda name: (eligible[name].received, name))
