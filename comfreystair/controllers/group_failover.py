"""Failure detection and failover for one database group.

The targets act as the acceptors of terms. A candidate, a process that wants to
order a promotion, fences a majority of the targets: it asks them to promise it
a higher term. Each target promises a term to one candidate only. The candidate
then promotes the fenced target with the most advanced log. An acknowledged
write is stored on a majority, so every fenced majority has a target that
stores it.

Safety depends only on the promises of the targets. Ranks and delays merely
reduce the number of candidates that compete with each other.
"""

from typing import Final, NamedTuple

from comfreystair.controllers import failover_attempt
from comfreystair.controllers.positions import (
    Observation,
    TargetStatus,
    majority_size,
)

_FOLLOW_RETRY_SECONDS: Final = 0.5
_PEER_REPORT_TTL_SECONDS: Final = 2.0
# Added to the rank delay, which starts anew, when another candidate is noticed
# to have fenced targets.
_DEFERRAL_SECONDS: Final = 0.3
_MAX_BACKOFF_DOUBLINGS: Final = 5


class PeerReachability:
    """Which other daemons reach the primary, by their recent reports."""

    def __init__(self) -> None:
        """Begin without reports; daemons without a recent one do not count."""
        self._reports: dict[str, tuple[bool, float]] = {}

    def record(self, peer: str, is_reached: bool, at: float) -> None:
        """Record whether one daemon reaches the primary.

        :param at: monotonic seconds from which the report is valid for
            :data:`_PEER_REPORT_TTL_SECONDS`.
        """
        self._reports[peer] = (is_reached, at)

    def is_unreachable_by_most(self, now: float) -> bool:
        """Return whether most daemons can't reach the primary.

        Only daemons with a recent report count, and this daemon as one that
        can't.
        """
        recent = [
            is_reached
            for is_reached, at in self._reports.values()
            if now - at < _PEER_REPORT_TTL_SECONDS
        ]
        return 2 * sum(recent) < len(recent) + 1


class GroupMember(NamedTuple):
    """A target of the group, as the manifest describes it.

    :param is_leaving: the target is being drained: it gets no new work and
        loses the primary role.
    """

    name: str
    address: str
    is_leaving: bool = False


class FailoverSettings(NamedTuple):
    """Timeouts of failure detection and failover, in seconds.

    :param suspect_seconds: time without a response after which a primary is
        suspected to have failed.
    :param isolated_seconds: time without a response to daemons after which a
        primary is replaced although replicas still reach it; also the time
        after which a failover is repeated if targets have promised a later
        term but none was promoted.
    :param rank_seconds: delay between candidates of adjacent ranks, doubled
        with each failed attempt.
    """

    suspect_seconds: float
    isolated_seconds: float
    rank_seconds: float


class Primary(NamedTuple):
    """The primary that writes are sent to, with the term of its promotion."""

    target: str
    address: str
    term: int


class Follow(NamedTuple):
    """Effect: make a target replicate from a primary."""

    target: str
    term: int
    primary_address: str


Effect = failover_attempt.Fence | failover_attempt.Promote | Follow


class FailoverController:
    """State of one database group as observed by this daemon."""

    def __init__(
        self,
        members: tuple[GroupMember, ...],
        settings: FailoverSettings,
        candidate: str,
    ) -> None:
        """Begin with no observation of any target.

        :param candidate: unique name of this process among the candidates.
        """
        self._members = {member.name: member for member in members}
        self._settings = settings
        self._candidate = candidate
        self._failover_rank = 0
        self._observations: dict[str, Observation] = {}
        self._responded_at: dict[str, float] = {}
        self._peer_reachability = PeerReachability()
        self._primary: Primary | None = None
        self._failure_since: float | None = None
        self._fenced_since: float | None = None
        self._highest_term = 1
        self._last_attempt_term = 0
        self._failed_attempts = 0
        self._attempt: failover_attempt.FailoverAttempt | None = None
        self._next_follow_at: dict[str, float] = {}

    @property
    def primary(self) -> Primary | None:
        """Return the primary to send writes to, if one is known."""
        return self._primary

    @property
    def observations(self) -> dict[str, Observation]:
        """Return the latest observation of each target by its name."""
        return self._observations

    @property
    def majority(self) -> int:
        """Return the number of targets that form a majority."""
        return majority_size(len(self._members))

    @property
    def is_failover_running(self) -> bool:
        """Return whether a failover attempt of this daemon is running."""
        return self._attempt is not None

    def set_members(self, members: tuple[GroupMember, ...]) -> None:
        """Replace the targets by those of a new manifest.

        Observations of removed targets are discarded. A primary that was
        removed is no longer used.
        """
        self._members = {member.name: member for member in members}
        for name in list(self._observations):
            if name not in self._members:
                self._observations.pop(name)
        primary = self._primary
        if primary is not None and primary.target not in self._members:
            self._primary = None
            self._select_primary()

    def set_rank(self, rank: int) -> None:
        """Set the position of this daemon among the candidates, 0 for first."""
        self._failover_rank = rank

    def record_status(
        self, target: str, status: TargetStatus, asked_at: float
    ) -> None:
        """Record the status of a member, unless a newer one is known.

        :param asked_at: monotonic seconds at which the request was sent.
        """
        known = self._observations.get(target)
        if target not in self._members:
            return
        if known is None or known.asked_at <= asked_at:
            self._observations[target] = Observation(status, asked_at)
            self._select_primary()

    def record_response(self, target: str, at: float) -> None:
        """Record that a target responded, even if with a refusal."""
        self._responded_at[target] = at

    def is_unresponsive(self, target: str, now: float, seconds: float) -> bool:
        """Return whether a target has not responded for some seconds."""
        observation = self._observations.get(target)
        asked_at = observation.asked_at if observation else float('-inf')
        heard_at = max(asked_at, self._responded_at.get(target, asked_at))
        return now - heard_at > seconds

    def record_peer_view(self, peer: str, is_reached: bool, at: float) -> None:
        """Record whether another daemon reaches the primary."""
        self._peer_reachability.record(peer, is_reached, at)

    def record_fence_reply(
        self, target: str, term: int, status: TargetStatus, is_granted: bool
    ) -> None:
        """Record the reply to a fence request of the current attempt.

        :param status: status of the target after the request.
        """
        if self._attempt is not None and self._attempt.term == term:
            self._attempt.record_fence_reply(target, status, is_granted)

    def record_promotion_reply(
        self, target: str, term: int, is_granted: bool
    ) -> None:
        """Record the reply to a promotion of the current attempt.

        If granted, the target is the primary. Any reply ends the attempt.
        """
        attempt = self._attempt
        if attempt is None or attempt.term != term:
            return
        if is_granted:
            member = self._members.get(target)
            if member is not None:
                self._primary = Primary(target, member.address, term)
        self._attempt = None

    def reaches_primary(self, now: float) -> bool:
        """Return whether the primary responded to this daemon recently."""
        primary = self._primary
        return primary is not None and not self.is_unresponsive(
            primary.target, now, self._settings.suspect_seconds
        )

    def tick(self, now: float, jitter: float) -> list[Effect]:
        """Check for a failure and start or continue a failover attempt.

        Without a failure, replicas are made to follow the primary.

        :param jitter: random number from 0 to 1, drawn by the caller; added
            to the rank in the delay before an attempt.
        :returns: the commands to send to targets now.
        """
        if self._attempt is not None:
            return self._continue_attempt(now)
        if not self._needs_failover(now):
            self._failure_since = None
            self._failed_attempts = 0
            return self._reconfigure_replicas(now)
        if self._failure_since is None:
            self._failure_since = now
        self._defer_to_other_candidates(now)
        delay = (self._failover_rank + jitter) * self._settings.rank_seconds
        if now < self._failure_since + delay * 2**self._failed_attempts:
            return []
        return self._start_attempt(now)

    def _select_primary(self) -> None:
        claimed_terms = [
            (observation.status.term, name)
            for name, observation in self._observations.items()
            if observation.status.is_primary
        ]
        if not claimed_terms:
            self._primary = None
            return
        term, name = max(claimed_terms)
        if self._primary is None or term >= self._primary.term:
            address = self._members[name].address
            self._primary = Primary(name, address, term)

    def _list_recent_statuses(self, now: float) -> dict[str, TargetStatus]:
        limit = self._settings.suspect_seconds
        return {
            name: observation.status
            for name, observation in self._observations.items()
            if now - observation.asked_at <= limit
        }

    def _needs_failover(self, now: float) -> bool:
        recent = self._list_recent_statuses(now)
        if len(recent) < self.majority:
            return False
        primary = self._primary
        if primary is None:
            return True
        if self._members[primary.target].is_leaving:
            return self._has_promotion_quorum(recent)
        if not self.reaches_primary(now) and self._is_primary_down(
            primary, recent, now
        ):
            return True
        return self._is_fence_abandoned(primary, recent, now)

    def _has_promotion_quorum(self, recent: dict[str, TargetStatus]) -> bool:
        remaining = [
            name for name in recent if not self._members[name].is_leaving
        ]
        return len(remaining) >= self.majority

    def _is_fence_abandoned(
        self,
        primary: Primary,
        recent: dict[str, TargetStatus],
        now: float,
    ) -> bool:
        """Return whether a promised term has lacked a primary too long."""
        if all(
            status.promised_term <= primary.term for status in recent.values()
        ):
            self._fenced_since = None
            return False
        if self._fenced_since is None:
            self._fenced_since = now
        return now - self._fenced_since > self._settings.isolated_seconds

    def _is_primary_down(
        self,
        primary: Primary,
        recent: dict[str, TargetStatus],
        now: float,
    ) -> bool:
        limit = self._settings.suspect_seconds
        others = [
            status for name, status in recent.items() if name != primary.target
        ]
        if all(status.heard_seconds > limit for status in others):
            return True
        is_long_unresponsive = self.is_unresponsive(
            primary.target, now, self._settings.isolated_seconds
        )
        return (
            is_long_unresponsive
            and self._peer_reachability.is_unreachable_by_most(now)
        )

    def _find_highest_term(self) -> int:
        return max(
            max(observation.status.promised_term, observation.status.term)
            for observation in self._observations.values()
        )

    def _defer_to_other_candidates(self, now: float) -> None:
        """Postpone the attempt if another candidate has fenced targets."""
        highest = self._find_highest_term()
        if highest > self._highest_term:
            self._highest_term = highest
            if highest > self._last_attempt_term:
                self._failure_since = now + _DEFERRAL_SECONDS

    def _start_attempt(self, now: float) -> list[Effect]:
        highest = self._find_highest_term()
        self._last_attempt_term = highest + 1
        self._attempt = failover_attempt.FailoverAttempt(
            term=highest + 1,
            candidate=self._candidate,
            members=len(self._members),
            leaving=frozenset(
                member.name
                for member in self._members.values()
                if member.is_leaving
            ),
            started_at=now,
        )
        self._failure_since = now
        return [
            failover_attempt.Fence(name, highest + 1, self._candidate)
            for name in self._members
        ]

    def _continue_attempt(self, now: float) -> list[Effect]:
        attempt = self._attempt
        if attempt is None:
            return []
        is_superseded = self._find_highest_term() > attempt.term
        if is_superseded or attempt.is_over(now):
            self._attempt = None
            self._failure_since = now
            self._failed_attempts = min(
                self._failed_attempts + 1, _MAX_BACKOFF_DOUBLINGS
            )
            return []
        return list(attempt.tick(now))

    def _reconfigure_replicas(self, now: float) -> list[Effect]:
        primary = self._primary
        if primary is None:
            return []
        effects = []
        for name in self._list_recent_statuses(now):
            if name != primary.target and self._is_misconfigured_replica(
                name, primary
            ):
                if now >= self._next_follow_at.get(name, 0):
                    self._next_follow_at[name] = now + _FOLLOW_RETRY_SECONDS
                    effects.append(Follow(name, primary.term, primary.address))
        return effects

    def _is_misconfigured_replica(self, name: str, primary: Primary) -> bool:
        status = self._observations[name].status
        if status.promised_term > primary.term:
            return False
        follows = status.primary_address == primary.address
        return status.term < primary.term or not follows
