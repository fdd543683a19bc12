"""Rate limits over the whole fleet, with token buckets at keepers.

Each availability zone has one keeper. It holds a token bucket for every
organisation, with an equal part of the organisation's rate and burst. A keeper
takes tokens out of the bucket before it grants them to an instance, and
granted tokens expire after a short time. The fleet therefore never exceeds the
limits, whichever messages or processes are lost.
"""

import collections
from typing import Final, NamedTuple

# Granted tokens expire this long after they were requested. A keeper reduces
# its burst by the tokens that may be spent late.
GRANT_TTL_SECONDS: Final = 0.25
# Tokens are requested this far ahead of demand. Tokens that expire unspent are
# lost to the whole fleet.
_PREFETCH_SECONDS: Final = 0.1
_DEMAND_WINDOW_SECONDS: Final = 1.0
_MAX_PREFETCH_TOKENS: Final = 4
# Least value that counts as one token, in spite of rounding errors.
_WHOLE_TOKEN: Final = 0.999999
_MIN_RATE: Final = 0.001
# Upper bound on the suggested time before a retry.
_MAX_RETRY_SECONDS: Final = 2.0


class Limits(NamedTuple):
    """One keeper's part of an organisation's limits.

    :param rate: tokens a second.
    :param burst: most tokens that the bucket holds.
    """

    rate: float
    burst: float


class TokenGrant(NamedTuple):
    """A keeper's answer to a request for tokens.

    :param retry_seconds: time before the next request, if there were none.
    """

    tokens: float
    retry_seconds: float


def split_limits(rate: float, burst: float, keepers: int) -> Limits:
    """Return one keeper's part of the fleet's limits."""
    part = rate / keepers
    late_tokens = part * GRANT_TTL_SECONDS
    return Limits(part, max(burst / keepers - late_tokens, 1))


class TokenBucket:
    """One organisation's token bucket at a keeper."""

    def __init__(self, now: float) -> None:
        """Start empty: tokens granted by a previous keeper are not known."""
        self._tokens = 0.0
        self._updated_at = now

    def grant(self, wanted: float, limits: Limits, now: float) -> TokenGrant:
        """Take out whole tokens, at most as many as are wanted."""
        elapsed = max(now - self._updated_at, 0)
        self._updated_at = now
        refilled = self._tokens + elapsed * limits.rate
        self._tokens = min(refilled, limits.burst)
        tokens = min(float(int(self._tokens + 1 - _WHOLE_TOKEN)), wanted)
        self._tokens -= tokens
        if tokens:
            return TokenGrant(tokens, 0)
        missing = 1 - self._tokens
        retry = missing / max(limits.rate, _MIN_RATE)
        return TokenGrant(0, min(retry, _MAX_RETRY_SECONDS))


class _TokenBatch(NamedTuple):
    tokens: float
    expires_at: float


class GrantedTokens:
    """One organisation's granted tokens at an instance."""

    def __init__(self) -> None:
        """Start without tokens and without recorded demand."""
        self._batches: collections.deque[_TokenBatch] = collections.deque()
        self._demand = 0.0
        self._updated_at = float('-inf')

    def spend(self, now: float) -> bool:
        """Spend one token, the oldest first; tell whether there was one."""
        while self._batches:
            batch = self._batches.popleft()
            if batch.expires_at > now and batch.tokens >= _WHOLE_TOKEN:
                self._batches.appendleft(
                    batch._replace(tokens=batch.tokens - 1)
                )
                return True
        return False

    def add(self, tokens: float, asked_at: float) -> None:
        """Add granted tokens.

        :param asked_at: when they were requested; they expire
            :data:`GRANT_TTL_SECONDS` later.
        """
        if tokens > 0:
            self._batches.append(
                _TokenBatch(tokens, asked_at + GRANT_TTL_SECONDS)
            )

    def record_arrival(self, now: float) -> float:
        """Record one request and return how many tokens to ask for."""
        elapsed = max(now - self._updated_at, 0)
        self._updated_at = now
        remaining = max(1 - elapsed / _DEMAND_WINDOW_SECONDS, 0)
        self._demand = self._demand * remaining + 1 / _DEMAND_WINDOW_SECONDS
        prefetch = min(
            int(self._demand * _PREFETCH_SECONDS), _MAX_PREFETCH_TOKENS
        )
        return 1 + prefetch
