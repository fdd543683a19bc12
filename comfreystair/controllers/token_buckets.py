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
# Demand is averaged over about this time.
_DEMAND_WINDOW_SECONDS: Final = 1.0
_MAX_PREFETCH_TOKENS: Final = 4
# Least value that counts as one token, to allow for rounding errors.
_WHOLE_TOKEN: Final = 0.999999
_MIN_RATE: Final = 0.001
# Upper bound on the suggested time before a retry.
_MAX_RETRY_SECONDS: Final = 2.0
# Expiry of a token that does not exist.
EXPIRED: Final = float('-inf')


class Limits(NamedTuple):
    """One keeper's part of an organisation's limits.

    :param rate: tokens a second.
    :param burst: most tokens that the bucket holds.
    """

    rate: float
    burst: float


class TokenGrant(NamedTuple):
    """A keeper's answer to a request for tokens.

    :param tokens: 0 if the bucket holds less than one token.
    :param retry_seconds: time to wait before the next request, if no token was
        granted.
    """

    tokens: float
    retry_seconds: float


def split_limits(rate: float, burst: float, keepers: int) -> Limits:
    """Return one keeper's part of an organisation's limits in the fleet.

    :param rate: tokens a second over the whole fleet.
    :param burst: tokens that the fleet may spend at once.
    """
    keeper_rate = rate / keepers
    late_tokens = keeper_rate * GRANT_TTL_SECONDS
    return Limits(keeper_rate, max(burst / keepers - late_tokens, 1))


class TokenBucket:
    """One organisation's token bucket at a keeper."""

    def __init__(self, now: float) -> None:
        """Start empty: what a previous keeper granted is not known."""
        self._tokens = 0.0
        self._updated_at = now

    def grant(self, wanted: float, limits: Limits, now: float) -> TokenGrant:
        """Refill the bucket, then take out up to ``wanted`` whole tokens."""
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


class TakenToken(NamedTuple):
    """A token that an instance took out of those granted to it.

    :param expires_at: :data:`EXPIRED` if there was none.
    :param retry_seconds: time to wait before the next attempt, if there was
        none.
    """

    expires_at: float
    retry_seconds: float = 0


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
        """Spend one unexpired token, the oldest first, if there is one.

        :returns: whether a token was spent.
        """
        return self.take(now) > now

    def take(self, now: float) -> float:
        """Take out one unexpired token, the oldest first, to be spent later.

        :returns: when it expires; :data:`EXPIRED` if there is none.
        """
        while self._batches:
            batch = self._batches.popleft()
            if batch.expires_at > now and batch.tokens >= _WHOLE_TOKEN:
                self._batches.appendleft(
                    batch._replace(tokens=batch.tokens - 1)
                )
                return batch.expires_at
        return EXPIRED

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
        """Record one request and return how many tokens to ask a keeper for.

        :returns: one for this request, and a few for the requests expected
            next. Tokens already held are not subtracted.
        """
        elapsed = max(now - self._updated_at, 0)
        self._updated_at = now
        decay = max(1 - elapsed / _DEMAND_WINDOW_SECONDS, 0)
        self._demand = self._demand * decay + 1 / _DEMAND_WINDOW_SECONDS
        prefetch = min(
            int(self._demand * _PREFETCH_SECONDS), _MAX_PREFETCH_TOKENS
        )
        return 1 + prefetch
