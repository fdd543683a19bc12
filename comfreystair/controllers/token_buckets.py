"""Rate and burst over the whole fleet, by keepers and grants.

Each availability zone has one keeper with an equal part of every
organisation's rate and burst. A keeper takes tokens out of its bucket before
it hands them on, and what is handed on is void a moment later, so the fleet
never spends more than the limits, whatever is lost on the way.
"""

import collections
from typing import Final, NamedTuple

# How long granted tokens may be spent, in seconds, from when they were asked
# for. A keeper holds its burst back by what may be spent late.
GRANT_TTL_SECONDS: Final = 0.25
# Tokens are asked for this much ahead of demand, in seconds: what is not spent
# in time is lost to all.
_AHEAD_SECONDS: Final = 0.1
_DEMAND_SECONDS: Final = 1.0
_MOST_AHEAD: Final = 4
_WHOLE: Final = 0.999999
_LEAST_RATE: Final = 0.001
# Bound on the advice when to come back, in seconds.
_MAX_RETRY_SECONDS: Final = 2.0


class Limits(NamedTuple):
    """A keeper's part of an organisation's limits.

    :param rate: tokens a second.
    :param burst: tokens at most.
    """

    rate: float
    burst: float


class TokenGrant(NamedTuple):
    """A keeper's answer.

    :param retry_seconds: when asking again is apt, if there were none.
    """

    tokens: float
    retry_seconds: float


def split_limits(rate: float, burst: float, keepers: int) -> Limits:
    """Return one keeper's part of the fleet's limits."""
    part = rate / keepers
    held_back = part * GRANT_TTL_SECONDS
    return Limits(part, max(burst / keepers - held_back, 1))


class TokenBucket:
    """One organisation's tokens at a keeper."""

    def __init__(self, now: float) -> None:
        """Start empty: what a keeper before gave out is not known."""
        self._tokens = 0.0
        self._updated_at = now

    def grant(self, wanted: float, limits: Limits, now: float) -> TokenGrant:
        """Take out up to some tokens."""
        passed = max(now - self._updated_at, 0)
        self._updated_at = now
        filled = self._tokens + passed * limits.rate
        self._tokens = min(filled, limits.burst)
        tokens = min(float(int(self._tokens + 1 - _WHOLE)), wanted)
        self._tokens -= tokens
        if tokens:
            return TokenGrant(tokens, 0)
        missing = 1 - self._tokens
        retry = missing / max(limits.rate, _LEAST_RATE)
        return TokenGrant(0, min(retry, _MAX_RETRY_SECONDS))


class _Grant(NamedTuple):
    tokens: float
    until: float


class GrantedTokens:
    """One organisation's granted tokens at an instance."""

    def __init__(self) -> None:
        """Start empty."""
        self._grants: collections.deque[_Grant] = collections.deque()
        self._demand = 0.0
        self._updated_at = float('-inf')

    def spend(self, now: float) -> bool:
        """Spend one token, the oldest first; tell whether there was one."""
        while self._grants:
            grant = self._grants.popleft()
            if grant.until > now and grant.tokens >= _WHOLE:
                self._grants.appendleft(grant._replace(tokens=grant.tokens - 1))
                return True
        return False

    def add(self, tokens: float, asked_at: float) -> None:
        """Take in granted tokens."""
        if tokens > 0:
            self._grants.append(_Grant(tokens, asked_at + GRANT_TTL_SECONDS))

    def record_arrival(self, now: float) -> float:
        """Count one arrival and return how many tokens to ask for."""
        passed = max(now - self._updated_at, 0)
        self._updated_at = now
        kept = max(1 - passed / _DEMAND_SECONDS, 0)
        self._demand = self._demand * kept + 1 / _DEMAND_SECONDS
        ahead = min(int(self._demand * _AHEAD_SECONDS), _MOST_AHEAD)
        return 1 + ahead
