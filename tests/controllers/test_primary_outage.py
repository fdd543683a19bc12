"""Pattern: requests to a group whose primary is lost.

Each request would wait for a part of its time and be retried, so that a group
without a primary holds the callers of the whole fleet until their deadlines.
"""

import unittest

from comfreystair.controllers.primary_outage import (
    PrimaryOutage,
    estimate_outage,
)

NOW = 100.0
HEALTHY = PrimaryOutage(None, False, None, is_store_reached=True)


class PrimaryOutageTest(unittest.TestCase):
    """What is known of an outage, and the least time that it lasts."""

    def estimate(self, **fields: object) -> float:
        """Return the estimate for an outage with these differences."""
        return estimate_outage(HEALTHY._replace(**fields), NOW)

    def test_unknown_cause_may_end_at_any_moment(self) -> None:
        """A single lost request or a proof that is due says little."""
        self.assertEqual(self.estimate(), 0)
        self.assertEqual(self.estimate(unreachable_since=NOW - 0.2), 0)

    def test_dark_primary_lasts_until_it_is_replaced(self) -> None:
        """Detection and failover together exceed most deadlines."""
        early = self.estimate(unreachable_since=NOW, has_failed_probe=True)
        late = self.estimate(unreachable_since=NOW - 1, has_failed_probe=True)
        self.assertGreater(early, 1.5)
        self.assertGreater(early, late)
        self.assertGreater(late, 0.5)

    def test_failover_comes_to_its_end(self) -> None:
        """Callers come back when a short or a long one should be over."""
        estimates = [
            self.estimate(changing_since=NOW - elapsed)
            for elapsed in (0, 0.8, 1, 2.9, 3.1, 60)
        ]
        self.assertGreater(estimates[0], estimates[1])
        self.assertGreater(estimates[2], 1)
        self.assertLess(estimates[3], 0.2)
        self.assertGreater(min(estimates), 0)

    def test_no_failover_without_the_store(self) -> None:
        """Whatever else is known."""
        without = self.estimate(is_store_reached=False)
        self.assertGreater(without, 0)
        self.assertEqual(
            self.estimate(is_store_reached=False, changing_since=NOW), without
        )


if __name__ == '__main__':
    unittest.main()
