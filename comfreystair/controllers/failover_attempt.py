"""One attempt of one candidate to replace a primary."""

from collections.abc import Iterator
from typing import Final, NamedTuple

from comfreystair.controllers.positions import TargetStatus, majority_size

# Wait for further replies after a majority, to find the most advanced log.
_REPLY_GRACE_SECONDS: Final = 0.03
_PROMOTION_RETRY_SECONDS: Final = 0.1
_ATTEMPT_TIMEOUT_SECONDS: Final = 0.8


class Fence(NamedTuple):
    """Effect: ask a target to promise a term to a candidate."""

    target: str
    term: int
    candidate: str


class Promote(NamedTuple):
    """Effect: promote a fenced target to primary of the promised term."""

    target: str
    term: int
    candidate: str


class FailoverAttempt:
    """Fence a majority, then promote the most advanced fenced target.

    Promotion is idempotent, so a request whose reply is late or lost is
    repeated until the attempt is over.
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
        """Begin with no promise from any target.

        :param members: number of targets in the group.
        :param leaving: targets being drained, which are promoted only if no
            other target can be.
        :param started_at: monotonic seconds.
        """
        self._term = term
        self._candidate = candidate
        self._group_size = members
        self._leaving = leaving
        self._started_at = started_at
        self._granted: dict[str, TargetStatus] = {}
        self._reply_count = 0
        self._refusal_count = 0
        self._quorum_at: float | None = None
        self._selected: str | None = None
        self._next_promotion_at = started_at

    @property
    def term(self) -> int:
        """Return the term that the candidate asks for."""
        return self._term

    def is_over(self, now: float) -> bool:
        """Return whether the attempt has timed out or can't succeed."""
        if self._refusal_count > self._group_size - majority_size(
            self._group_size
        ):
            return True
        return now - self._started_at > _ATTEMPT_TIMEOUT_SECONDS

    def record_fence_reply(
        self, target: str, status: TargetStatus, is_granted: bool
    ) -> None:
        """Record the reply of a target to the fence request.

        Promises that arrive after a target has been selected for promotion
        are ignored.

        :param status: status of the target after the request.
        """
        self._reply_count += 1
        self._refusal_count += not is_granted
        if is_granted and self._selected is None:
            self._granted[target] = status

    def tick(self, now: float) -> Iterator[Promote]:
        """Yield a promotion, first or repeated, once a majority promised."""
        if self._selected is None:
            self._select_target(now)
        if self._selected is not None and now >= self._next_promotion_at:
            self._next_promotion_at = now + _PROMOTION_RETRY_SECONDS
            yield Promote(self._selected, self._term, self._candidate)

    def _select_target(self, now: float) -> None:
        if len(self._granted) < majority_size(self._group_size):
            return
        if self._quorum_at is None:
            self._quorum_at = now
        is_awaiting_replies = now - self._quorum_at < _REPLY_GRACE_SECONDS
        if is_awaiting_replies and self._reply_count < self._group_size:
            return
        self._selected = choose_successor(
            self._granted, self._group_size, self._leaving
        )
        self._next_promotion_at = now


def choose_successor(
    granted: dict[str, TargetStatus], members: int, leaving: frozenset[str]
) -> str:
    """Return the fenced target with the most advanced log.

    A target that is being drained is skipped only if the other targets that
    promised are a majority by themselves, since these then contain every
    acknowledged write.
    """
    remaining = {
        name: status for name, status in granted.items() if name not in leaving
    }
    is_majority = len(remaining) >= majority_size(members)
    eligible = remaining if is_majority else granted
    return max(eligible, key=lambda name: (eligible[name].received, name))
