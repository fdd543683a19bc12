"""Budget for the retries of an instance and of each organisation.

Retries multiply the load just when targets fail or come back. They draw on
token buckets that successes refill, so that retries stay a fraction of the
successful requests.
"""

from typing import Final, NamedTuple

# Tokens that a success adds: one retry for each five successes.
_TOKENS_PER_SUCCESS: Final = 0.2


class _BucketLimits(NamedTuple):
    """Limits of a token bucket.

    :param reserve: tokens at the start.
    :param most: tokens that successes can accumulate.
    :param floor: tokens up to which the bucket also refills over time.
    :param floor_rate: tokens a second of that refill.
    """

    reserve: float
    most: float
    floor: float
    floor_rate: float


# A lone failed request can be retried once, a second after the last one.
_ORGANISATION_LIMITS: Final = _BucketLimits(3, 10, 1, 1)
# Several times the limits of an organisation, so that one organisation can't
# use up the instance's budget: its own bucket is empty before.
_INSTANCE_LIMITS: Final = _BucketLimits(10, 100, 5, 5)


class _Bucket:
    """A token bucket that successes refill."""

    def __init__(self, limits: _BucketLimits, now: float) -> None:
        self.limits = limits
        self.tokens = limits.reserve
        self.updated_at = now

    def refill(self, now: float) -> None:
        """Refill the bucket over time, up to the floor."""
        elapsed = max(now - self.updated_at, 0)
        self.updated_at = now
        refilled = self.tokens + elapsed * self.limits.floor_rate
        self.tokens = max(self.tokens, min(refilled, self.limits.floor))

    def add(self, tokens: float) -> None:
        """Add the tokens of a success."""
        self.tokens = min(self.tokens + tokens, self.limits.most)


class RetryBudget:
    """Token buckets of an instance and of the organisations it serves.

    :ivar made: number of retries that drew on the budget.
    :ivar withheld: number of retries for which there was no token.
    """

    def __init__(self, now: float) -> None:
        """Start with a small reserve for each bucket."""
        self.made = 0
        self.withheld = 0
        self._instance = _Bucket(_INSTANCE_LIMITS, now)
        self._organisations: dict[str, _Bucket] = {}

    def record_success(self, organisation: str, now: float) -> None:
        """Refill the buckets after a request of an organisation succeeded."""
        self._instance.add(_TOKENS_PER_SUCCESS)
        self._find_bucket(organisation, now).add(_TOKENS_PER_SUCCESS)

    def take(self, organisation: str, now: float) -> bool:
        """Spend a token of the organisation and one of the instance.

        :returns: whether both had one; otherwise none is spent.
        """
        buckets = (self._instance, self._find_bucket(organisation, now))
        for bucket in buckets:
            bucket.refill(now)
        if any(bucket.tokens < 1 for bucket in buckets):
            self.withheld += 1
            return False
        for spent in buckets:
            spent.tokens -= 1
        self.made += 1
        return True

    def _find_bucket(self, organisation: str, now: float) -> _Bucket:
        bucket = self._organisations.get(organisation)
        if bucket is None:
            bucket = _Bucket(_ORGANISATION_LIMITS, now)
            self._organisations[organisation] = bucket
        return bucket
