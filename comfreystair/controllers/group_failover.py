"""Watch one database group and replace its primary when it fails.

The targets themselves are the acceptors of terms. A promoter fences a
majority at a higher term, which each target promises to one candidate only,
and promotes the fenced target with the most advanced log. An acknowledged
write is held by a majority, so every fenced majority holds it too.

The safety of this rests on the targets' promises alone. Ranks and delays only
keep promoters from getting in each other's way.
"""

from typing import Final, NamedTuple

from comfreystair.controllers import failover_attempt
from comfreystair.controllers.positions import (
    Observation,
    TargetStatus,
    majority_size,
)

_FOLLOW_SECONDS: Final = 0.5
_VIEW_SECONDS: Final = 2.0
_YIELD_SECONDS: Final = 0.3
_MAX_FAILURES: Final = 5


class PeerReachability:
    """Which other daemons reach the primary, as they said lately."""

    def __init__(self) -> None:
        """Start without views."""
        self._views: dict[str, tuple[bool, float]] = {}

    def record(self, peer: str, is_reached: bool, at: float) -> None:
        """Take in one daemon's view."""
        self._views[peer] = (is_reached, at)

    def is_unreachable_by_most(self, now: float) -> bool:
        """Tell whether most do not reach it, this daemon among them."""
        fresh = [
            is_reached
            for is_reached, at in self._views.values()
            if now - at < _VIEW_SECONDS
        ]
        return 2 * sum(fresh) < len(fresh) + 1


class GroupMember(NamedTuple):
    """A target as the manifest has it.

    :param is_leaving: it shall get no new work, and lose its role.
    """

    name: str
    address: str
    is_leaving: bool = False


class FailoverSettings(NamedTuple):
    """Times of the controller, in seconds.

    :param suspect_seconds: silence after which a primary is suspected.
    :param isolated_seconds: silence towards daemons alone, or a fence that
        never ended in a promotion, after which a new one is ordered.
    :param rank_seconds: delay between promoters of neighbouring ranks.
    """

    suspect_seconds: float
    isolated_seconds: float
    rank_seconds: float


class Primary(NamedTuple):
    """The primary in use."""

    target: str
    address: str
    term: int


class Follow(NamedTuple):
    """Effect: tell a target to replicate from a primary."""

    target: str
    term: int
    primary_address: str


Effect = failover_attempt.Fence | failover_attempt.Promote | Follow


class FailoverController:
    """State of one database group as this daemon sees it."""

    def __init__(
        self,
        members: tuple[GroupMember, ...],
        settings: FailoverSettings,
        candidate: str,
    ) -> None:
        """Start without having seen any target.

        :param candidate: unique name of this process among promoters.
        """
        self._members = {member.name: member for member in members}
        self._settings = settings
        self._candidate = candidate
        self._rank = 0
        self._seen: dict[str, Observation] = {}
        self._alive_at: dict[str, float] = {}
        self._views = PeerReachability()
        self._primary: Primary | None = None
        self._trouble_since: float | None = None
        self._fenced_since: float | None = None
        self._highest_term = 1
        self._last_campaign = 0
        self._failures = 0
        self._campaign: failover_attempt.FailoverAttempt | None = None
        self._follow_at: dict[str, float] = {}

    @property
    def primary(self) -> Primary | None:
        """Return the primary to send writes to, if there is one."""
        return self._primary

    @property
    def observations(self) -> dict[str, Observation]:
        """Return the last observation of each target by name."""
        return self._seen

    @property
    def majority(self) -> int:
        """Return how many targets are a majority of the group."""
        return majority_size(len(self._members))

    @property
    def is_failover_running(self) -> bool:
        """Tell whether this daemon is ordering a promotion."""
        return self._campaign is not None

    def set_members(self, members: tuple[GroupMember, ...]) -> None:
        """Take over the targets of a new manifest."""
        self._members = {member.name: member for member in members}
        for name in list(self._seen):
            if name not in self._members:
                self._seen.pop(name)

    def set_rank(self, rank: int) -> None:
        """Set the place of this daemon in the order of promoters."""
        self._rank = rank

    def record_status(
        self, target: str, status: TargetStatus, asked_at: float
    ) -> None:
        """Take in a status; an older one than is known changes nothing."""
        known = self._seen.get(target)
        if target not in self._members:
            return
        if known is None or known.asked_at <= asked_at:
            self._seen[target] = Observation(status, asked_at)
            self._choose_primary()

    def record_response(self, target: str, at: float) -> None:
        """Take in that a target answered, if only to refuse."""
        self._alive_at[target] = at

    def is_unresponsive(self, target: str, now: float, seconds: float) -> bool:
        """Tell whether a target gave no answer for so long."""
        seen = self._seen.get(target)
        asked_at = seen.asked_at if seen else float('-inf')
        heard_at = max(asked_at, self._alive_at.get(target, asked_at))
        return now - heard_at > seconds

    def record_peer_view(self, peer: str, is_reached: bool, at: float) -> None:
        """Take in whether another daemon reaches the primary."""
        self._views.record(peer, is_reached, at)

    def record_fence_reply(
        self, target: str, term: int, answer: TargetStatus, is_granted: bool
    ) -> None:
        """Take in the answer to a fence."""
        if self._campaign is not None and self._campaign.term == term:
            self._campaign.record_fence_reply(target, answer, is_granted)

    def record_promotion_reply(
        self, target: str, term: int, is_granted: bool
    ) -> None:
        """Take in the answer to a promotion; a refusal ends the attempt."""
        campaign = self._campaign
        if campaign is None or campaign.term != term:
            return
        if is_granted:
            member = self._members.get(target)
            if member is not None:
                self._primary = Primary(target, member.address, term)
        self._campaign = None

    def reaches_primary(self, now: float) -> bool:
        """Tell whether the primary answered this daemon lately."""
        primary = self._primary
        return primary is not None and not self.is_unresponsive(
            primary.target, now, self._settings.suspect_seconds
        )

    def tick(self, now: float, jitter: float) -> list[Effect]:
        """Return what to order now.

        :param jitter: from 0 to 1, drawn by the caller.
        """
        if self._campaign is not None:
            return self._continue_campaign(now)
        if not self._has_trouble(now):
            self._trouble_since = None
            self._failures = 0
            return self._repair_followers(now)
        if self._trouble_since is None:
            self._trouble_since = now
        self._yield_to_others(now)
        delay = (self._rank + jitter) * self._settings.rank_seconds
        if now < self._trouble_since + delay * 2**self._failures:
            return []
        return self._start_campaign(now)

    def _choose_primary(self) -> None:
        claims = [
            (seen.status.term, name)
            for name, seen in self._seen.items()
            if seen.status.is_primary
        ]
        if not claims:
            self._primary = None
            return
        term, name = max(claims)
        if self._primary is None or term >= self._primary.term:
            address = self._members[name].address
            self._primary = Primary(name, address, term)

    def _list_fresh(self, now: float) -> dict[str, TargetStatus]:
        limit = self._settings.suspect_seconds
        return {
            name: seen.status
            for name, seen in self._seen.items()
            if now - seen.asked_at <= limit
        }

    def _has_trouble(self, now: float) -> bool:
        fresh = self._list_fresh(now)
        if len(fresh) < self.majority:
            return False
        primary = self._primary
        if primary is None:
            return True
        if self._members[primary.target].is_leaving:
            return self._has_successor(fresh)
        if not self.reaches_primary(now) and self._is_lost(primary, fresh, now):
            return True
        return self._is_stuck(primary, fresh, now)

    def _has_successor(self, fresh: dict[str, TargetStatus]) -> bool:
        staying = [name for name in fresh if not self._members[name].is_leaving]
        return len(staying) >= self.majority

    def _is_stuck(
        self,
        primary: Primary,
        fresh: dict[str, TargetStatus],
        now: float,
    ) -> bool:
        """Tell whether a fence has lasted that no promotion followed."""
        if all(
            status.promised_term <= primary.term for status in fresh.values()
        ):
            self._fenced_since = None
            return False
        if self._fenced_since is None:
            self._fenced_since = now
        return now - self._fenced_since > self._settings.isolated_seconds

    def _is_lost(
        self,
        primary: Primary,
        fresh: dict[str, TargetStatus],
        now: float,
    ) -> bool:
        limit = self._settings.suspect_seconds
        others = [
            status for name, status in fresh.items() if name != primary.target
        ]
        if all(status.heard_seconds > limit for status in others):
            return True
        is_long = self.is_unresponsive(
            primary.target, now, self._settings.isolated_seconds
        )
        return is_long and self._views.is_unreachable_by_most(now)

    def _find_highest_term(self) -> int:
        return max(
            max(seen.status.promised_term, seen.status.term)
            for seen in self._seen.values()
        )

    def _yield_to_others(self, now: float) -> None:
        """Give a promoter that was heard of since the time to finish."""
        highest = self._find_highest_term()
        if highest > self._highest_term:
            self._highest_term = highest
            if highest > self._last_campaign:
                self._trouble_since = now + _YIELD_SECONDS

    def _start_campaign(self, now: float) -> list[Effect]:
        highest = self._find_highest_term()
        self._last_campaign = highest + 1
        self._campaign = failover_attempt.FailoverAttempt(
            term=highest + 1,
            candidate=self._candidate,
            members=len(self._members),
            leaving=frozenset(
                one.name for one in self._members.values() if one.is_leaving
            ),
            started_at=now,
        )
        self._trouble_since = now
        return [
            failover_attempt.Fence(name, highest + 1, self._candidate)
            for name in self._members
        ]

    def _continue_campaign(self, now: float) -> list[Effect]:
        campaign = self._campaign
        if campaign is None:
            return []
        is_passed = self._find_highest_term() > campaign.term
        if is_passed or campaign.is_over(now):
            self._campaign = None
            self._trouble_since = now
            self._failures = min(self._failures + 1, _MAX_FAILURES)
            return []
        return list(campaign.tick(now))

    def _repair_followers(self, now: float) -> list[Effect]:
        primary = self._primary
        if primary is None:
            return []
        effects = []
        for name in self._list_fresh(now):
            if name != primary.target and self._needs_follow(name, primary):
                if now >= self._follow_at.get(name, 0):
                    self._follow_at[name] = now + _FOLLOW_SECONDS
                    effects.append(Follow(name, primary.term, primary.address))
        return effects

    def _needs_follow(self, name: str, primary: Primary) -> bool:
        status = self._seen[name].status
        if status.promised_term > primary.term:
            return False
        follows = status.primary_address == primary.address
        return status.term < primary.term or not follows
