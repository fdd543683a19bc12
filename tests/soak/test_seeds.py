"""A short run of the soak, and every seed that ever failed."""

import unittest

from standins.soak.run import play

SECONDS = 6.0
SEEDS = (1, 2)


class SeedsTest(unittest.TestCase):
    """Real processes under faults."""

    def test_seeds_keep_all_promises(self) -> None:
        """Stale, lost, doubled and refused writes, tokens and recovery."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                verdict = play(seed, SECONDS)
                self.assertEqual(verdict.findings, ())
                self.assertGreater(verdict.served, 0)


if __name__ == '__main__':
    unittest.main()
