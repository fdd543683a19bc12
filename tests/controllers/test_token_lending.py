"""All daemons together admit no more than the rate and burst."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreystair.controllers.token_lending import LendingTokenBucket

RATE = 20.0
BURST = 10.0
DAEMONS = 3
ROUNDING_TOLERANCE = 0.001

steps = st.lists(
    st.tuples(
        st.sampled_from(('request', 'loan', 'lost', 'delayed', 'share')),
        st.integers(0, DAEMONS - 1),
        st.integers(0, DAEMONS - 1),
        st.floats(0, 0.4),
    ),
    max_size=120,
)


class Fleet:
    """Buckets of several daemons on a simulated clock."""

    def __init__(self) -> None:
        """Begin with equal shares and empty buckets."""
        self.now = 0.0
        self.buckets = [
            LendingTokenBucket(RATE, BURST, 0) for _ in range(DAEMONS)
        ]
        for bucket in self.buckets:
            bucket.set_share(1 / DAEMONS, 0)
        self.admitted: list[float] = []
        self.delayed: list[tuple[int, float, float]] = []

    def run(self, action: str, first: int, other: int, passed: float) -> None:
        """Advance the clock and execute one step.

        :param passed: seconds since the step before.
        """
        self.now += passed
        bucket = self.buckets[first]
        if action == 'request':
            bucket.record_arrival(self.now)
            while bucket.take(self.now):
                self.admitted.append(self.now)
        elif action == 'share':
            self.move_share(first, other)
        elif first != other:
            self.lend(action, first, other)
        self.deliver_delayed_loans()

    def lend(self, action: str, lender: int, borrower: int) -> None:
        """Lend tokens; the reply arrives, is lost, or is delayed."""
        asked_at = self.now
        tokens = self.buckets[lender].lend(3, self.now)
        if action == 'loan':
            self.buckets[borrower].borrow(tokens, asked_at, self.now)
        elif action == 'delayed':
            self.delayed.append((borrower, tokens, asked_at))

    def deliver_delayed_loans(self) -> None:
        """Deliver replies that were delayed for more than half a second."""
        for entry in list(self.delayed):
            borrower, tokens, asked_at = entry
            if self.now - asked_at > 0.5:
                self.delayed.remove(entry)
                self.buckets[borrower].borrow(tokens, asked_at, self.now)

    def move_share(self, giver: int, receiver: int) -> None:
        """Move half of a share, lowering one before raising the other."""
        if giver == receiver:
            return
        half = self.buckets[giver].share / 2
        self.buckets[giver].set_share(half, self.now)
        raised = self.buckets[receiver].share + half
        self.buckets[receiver].set_share(raised, self.now)


class LendingTokenBucketTest(unittest.TestCase):
    """Limits of the whole fleet, and loans between daemons."""

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(steps)
    def test_every_window_is_bounded(self, actions: list) -> None:
        """No interval admits more than rate times its length plus burst."""
        fleet = Fleet()
        for step in actions:
            fleet.run(*step)
        for first, start in enumerate(fleet.admitted):
            for last in range(first, len(fleet.admitted)):
                length = fleet.admitted[last] - start
                allowed = RATE * length + BURST + ROUNDING_TOLERANCE
                self.assertLessEqual(last - first + 1, allowed)

    def test_borrowed_tokens_expire(self) -> None:
        """Borrowed tokens can't be spent after the loan expires."""
        bucket = LendingTokenBucket(RATE, BURST, 0)
        bucket.borrow(2, 0, 0.1)
        self.assertTrue(bucket.take(0.5))
        self.assertFalse(bucket.take(1.5))

    def test_new_bucket_is_empty(self) -> None:
        """A daemon that has just started has no tokens to spend."""
        bucket = LendingTokenBucket(RATE, BURST, 5)
        bucket.set_share(1, 5)
        self.assertFalse(bucket.take(5))

    def test_lender_reserves_own_demand(self) -> None:
        """A daemon does not lend the tokens that its own demand needs."""
        bucket = LendingTokenBucket(RATE, BURST, 0)
        bucket.set_share(1, 0)
        for _ in range(20):
            bucket.record_arrival(1)
        self.assertLess(bucket.lend(10, 1), 7)


if __name__ == '__main__':
    unittest.main()
