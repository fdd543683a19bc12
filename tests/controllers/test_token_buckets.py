"""Rate limit of one organisation over several keepers and instances.

Guards against a fleet that admits more than rate and burst together, as when
instances spend granted tokens late, and against refusing demand below the
rate.
"""

import random
import unittest

from comfreystair.controllers.token_buckets import (
    GRANT_TTL_SECONDS,
    GrantedTokens,
    TokenBucket,
    split_limits,
)

RATE = 60.0
BURST = 60.0
KEEPERS = 3
INSTANCES = 15
WINDOW_SECONDS = 5.0


def simulate(seed: int, demand: float, spend_late: bool) -> list[float]:
    """Return the times at which 20 s of requests were admitted.

    :param demand: mean requests a second.
    :param spend_late: tokens are spent at a random time before they expire.
    """
    rng = random.Random(seed)
    limits = split_limits(RATE, BURST, KEEPERS)
    buckets = [TokenBucket(0) for _ in range(KEEPERS)]
    tokens_by_instance = [GrantedTokens() for _ in range(INSTANCES)]
    admitted: list[float] = []
    now = 0.0
    while now < 20:
        now += rng.expovariate(demand)
        tokens = rng.choice(tokens_by_instance)
        wanted = tokens.record_arrival(now)
        spent_at = now
        if not tokens.spend(now):
            bucket = rng.choice(buckets)
            tokens.add(bucket.grant(wanted, limits, now).tokens, now)
            if spend_late:
                spent_at += rng.random() * GRANT_TTL_SECONDS
            if not tokens.spend(spent_at):
                continue
        admitted.append(spent_at)
    return sorted(admitted)


def find_peak(admitted: list[float]) -> int:
    """Return the most requests admitted in any ``WINDOW_SECONDS``."""
    peak, first = 0, 0
    for last, at in enumerate(admitted):
        while at - admitted[first] > WINDOW_SECONDS:
            first += 1
        peak = max(peak, last - first + 1)
    return peak


class RateLimitTest(unittest.TestCase):
    """The limits hold under overload and serve demand below them."""

    def test_rate_and_burst_are_never_exceeded(self) -> None:
        """Demand is 7.5 times the rate, with 10 seeds each.

        Granted tokens are spent at once or at a random time before they expire.
        """
        for seed in range(10):
            for spend_late in (False, True):
                admitted = simulate(seed, RATE * 7.5, spend_late)
                limit = RATE * WINDOW_SECONDS + BURST
                self.assertLessEqual(find_peak(admitted), limit)

    def test_demand_below_the_rate_is_served(self) -> None:
        """At 0.6 of the rate less than 2% are refused, with 10 seeds."""
        for seed in range(10):
            admitted = simulate(seed, RATE * 0.6, spend_late=False)
            self.assertGreater(len(admitted), RATE * 0.6 * 20 * 0.8)

    def test_keepers_start_empty(self) -> None:
        """A new keeper does not know which tokens the previous one granted."""
        limits = split_limits(RATE, BURST, KEEPERS)
        grant = TokenBucket(5).grant(1, limits, 5)
        self.assertEqual(grant.tokens, 0)
        self.assertGreater(grant.retry_seconds, 0)

    def test_unspent_tokens_expire(self) -> None:
        """They can't be spent once their time to live has passed."""
        tokens = GrantedTokens()
        tokens.add(3, 10)
        self.assertTrue(tokens.spend(10 + GRANT_TTL_SECONDS / 2))
        self.assertFalse(tokens.spend(10 + GRANT_TTL_SECONDS))


if __name__ == '__main__':
    unittest.main()
