"""Backoff from a target that refuses connections."""

import unittest

from comfreystair.controllers.connections.backoff import ConnectionBackoff


class BackoffTest(unittest.TestCase):
    """Guards against a refused connection every few milliseconds."""

    def test_backoff_grows_until_a_connection_opens(self) -> None:
        """Openings of the same moment count once; afterwards one is tried."""
        backoff, now = ConnectionBackoff(), 1.0
        durations: list[float] = []
        for number in range(8):
            durations.append(backoff.record_refused(now, now, 1 - number % 2))
            self.assertEqual(backoff.record_refused(now, now, 1), 0)
            self.assertFalse(backoff.record_opened(now))
            self.assertFalse(backoff.may_open(now + durations[-1] * 0.99))
            now += durations[-1] + 0.01
            self.assertTrue(backoff.may_open(now))
            backoff.record_start()
            self.assertFalse(backoff.may_open(now))
        self.assertEqual(durations[:5], sorted(durations[:5]))
        self.assertLessEqual(max(durations), 3.2)
        self.assertTrue(backoff.record_opened(now))
        self.assertLessEqual(backoff.record_refused(now, now, 1), 0.2)


if __name__ == '__main__':
    unittest.main()
