"""Tokens for a cold target over all keepers, and how long it is cold.

Guards against a fleet that sends a cold target more requests than it bears:
where a share is below one token, where keepers are replaced, and where tokens
are used late.
"""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreystair.controllers.places.cold_targets import (
    ColdBounds,
    ColdTargets,
    Registration,
    share_tokens,
)
from comfreystair.controllers.token_buckets import (
    GRANT_TTL_SECONDS,
    GrantedTokens,
    TokenBucket,
)

EXAMPLES = 1000
OPERATORS = ColdBounds(1.5, 5)
ZONES = [f'z{number}' for number in range(25)]
WARM = Registration(1, 4, 0)
# A phase of requests: the pause before it, the gap between them, how many, the
# tokens asked for, the part of their life that passes before they are used,
# and the keeper that is replaced before, if there is one.
PHASES = st.lists(
    st.tuples(
        st.floats(0, 2) | st.sampled_from((0.0, 60.0)),
        st.floats(0, 0.1) | st.sampled_from((0.0, 0.01)),
        st.integers(1, 120),
        st.integers(1, 5),
        st.sampled_from((0.0, 0.5, 0.999, 1.0)),
        st.integers(-50, 24),
    ),
    max_size=6,
)


def use_tokens(per_second, bounds, zones, phases) -> list[float]:
    """Return when tokens were used, with keepers that ran for long."""
    shares = share_tokens('t', per_second, bounds, zones)
    buckets = [TokenBucket(-1e6) for _ in shares.zones]
    used: list[float] = []
    now = 0.0
    for pause, gap, count, wanted, part, replaced in phases if buckets else ():
        now += pause
        if replaced >= 0:
            buckets[replaced % len(buckets)] = TokenBucket(now)
        for number in range(count):
            now += gap
            bucket = buckets[number % len(buckets)]
            tokens = GrantedTokens()
            granted = bucket.grant(wanted, shares.limits, now)
            tokens.add(granted.tokens, now)
            while tokens.spend(now + part * GRANT_TTL_SECONDS):
                used.append(now + part * GRANT_TTL_SECONDS)
    return sorted(used)


def find_peak(used: list[float]) -> int:
    """Return the most tokens used in any second."""
    return max(
        (sum(0 <= at - first <= 1 for at in used) for first in used), default=0
    )


class SharesTest(unittest.TestCase):
    """The bound holds for all numbers of keepers, and is made use of."""

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(
        st.integers(1, 25),
        st.floats(0.1, 60),
        st.just(OPERATORS)
        | st.builds(ColdBounds, st.floats(0, 3), st.floats(0, 8)),
        PHASES,
    )
    def test_no_second_exceeds_the_bound(
        self, keepers, per_second, bounds, phases
    ) -> None:
        """Whatever arrives when and at which keeper."""
        used = use_tokens(per_second, bounds, ZONES[:keepers], phases)
        limit = per_second * bounds.excess + bounds.slack
        self.assertLessEqual(find_peak(used), limit)

    def test_the_rate_is_made_use_of(self) -> None:
        """Guards against shares that are lost to rounding."""
        flow = [(0.0, 0.01, 5000, 1, 0.0, -1)]
        for keepers in range(1, 26):
            used = use_tokens(8, OPERATORS, ZONES[:keepers], flow)
            self.assertGreater(len(used), 0.9 * 8 * 50, keepers)


class ColdTargetsTest(unittest.TestCase):
    """One target, listed warm at second 100."""

    def setUp(self) -> None:
        """List the target."""
        self.targets = ColdTargets()
        self.targets.update({'t': WARM}, 100)

    def read(self, now: float, *entry: float) -> float:
        """Return when the target is warm after an entry was read."""
        self.targets.update({'t': Registration(*entry)}, now)
        return self.targets.find_warm_time('t')

    def test_entries_of_a_cold_run(self) -> None:
        """Guards against a time that is extended, or ended too early.

        A list that is outdated may name the earlier, warm run again.
        """
        for now in (101, 105):
            self.assertEqual(self.read(now, 2, 1, 9), 110)
        self.assertEqual(self.read(106, *WARM), 110)

    def test_restart_under_the_same_id(self) -> None:
        """Guards against full load from a connection's end to the new entry.

        An entry of the old run that is read soon after may be older.
        """
        self.targets.record_end('t', 1, 30, 101)
        self.assertEqual(self.read(102, 1, 5, 0), 131)
        self.assertEqual(self.read(103, 2, 1, 20), 123)
        self.targets.record_end('t', 1, 30, 104)
        self.assertEqual(self.targets.find_warm_time('t'), 123)

    def test_connection_ended_without_a_restart(self) -> None:
        """Guards against a warm target that is limited for long."""
        self.targets.record_end('t', 1, 30, 101)
        self.assertEqual(self.read(107, 1, 5, 0), 107)


if __name__ == '__main__':
    unittest.main()
