"""An organisation at many times its rate, over keepers and instances."""

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


def play(seed: int, demand: float, spend_late: bool) -> list[float]:
    """Return when operations were admitted in 20 s of a demand a second."""
    chooser = random.Random(seed)
    limits = split_limits(RATE, BURST, KEEPERS)
    buckets = [TokenBucket(0) for _ in range(KEEPERS)]
    wallets = [GrantedTokens() for _ in range(INSTANCES)]
    admitted: list[float] = []
    now = 0.0
    while now < 20:
        now += chooser.expovariate(demand)
        wallet = chooser.choice(wallets)
        wanted = wallet.record_arrival(now)
        spent_at = now
        if not wallet.spend(now):
            bucket = chooser.choice(buckets)
            wallet.add(bucket.grant(wanted, limits, now).tokens, now)
            if spend_late:
                spent_at += chooser.random() * GRANT_TTL_SECONDS
            if not wallet.spend(spent_at):
                continue
        admitted.append(spent_at)
    return sorted(admitted)


def find_worst(admitted: list[float]) -> int:
    """Return the most operations in any window."""
    worst, first = 0, 0
    for last, at in enumerate(admitted):
        while at - admitted[first] > WINDOW_SECONDS:
            first += 1
        worst = max(worst, last - first + 1)
    return worst


class HotOrganisationTest(unittest.TestCase):
    """The limits hold whatever is asked, and are not wasted."""

    def test_never_beyond_rate_and_burst(self) -> None:
        """At 7.5 times the rate, spent at once or late, 10 seeds each."""
        for seed in range(10):
            for spend_late in (False, True):
                admitted = play(seed, RATE * 7.5, spend_late)
                limit = RATE * WINDOW_SECONDS + BURST
                self.assertLessEqual(find_worst(admitted), limit)

    def test_usual_demand_is_served(self) -> None:
        """At 0.6 of the rate less than 2% are refused, 10 seeds."""
        for seed in range(10):
            admitted = play(seed, RATE * 0.6, spend_late=False)
            self.assertGreater(len(admitted), RATE * 0.6 * 20 * 0.8)

    def test_keepers_start_empty(self) -> None:
        """What an earlier keeper gave out is not known."""
        limits = split_limits(RATE, BURST, KEEPERS)
        granted = TokenBucket(5).grant(1, limits, 5)
        self.assertEqual(granted.tokens, 0)
        self.assertGreater(granted.retry_seconds, 0)

    def test_unspent_tokens_lapse(self) -> None:
        """After their life they are gone."""
        wallet = GrantedTokens()
        wallet.add(3, 10)
        self.assertTrue(wallet.spend(10 + GRANT_TTL_SECONDS / 2))
        self.assertFalse(wallet.spend(10 + GRANT_TTL_SECONDS))


if __name__ == '__main__':
    unittest.main()
