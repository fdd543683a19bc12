"""Reads go to targets whose log likely contains their floor."""

import unittest

from comfreystair.controllers.positions import Position
from comfreystair.controllers.target_selection import (
    Floor,
    ReadCandidate,
    TargetHealth,
    choose_target,
)

FLOOR = Floor(Position(1, 50), known_at=99)


def build_candidate(
    ident: str, health: TargetHealth, **changes: object
) -> ReadCandidate:
    """Return a replica in the same zone without load."""
    candidate = ReadCandidate(ident, True, False, 0, health)
    return candidate._replace(**changes)


def choose(*candidates: ReadCandidate, floor: Floor = FLOOR) -> str:
    """Choose a target at time 100, without jitter."""
    return choose_target(candidates, floor, 100, lambda: 0)


class TargetSelectionTest(unittest.TestCase):
    """Effects of lag, failures, load and availability zone."""

    def test_lagging_replica_is_skipped_for_recent_floors_only(self) -> None:
        """A replica that lacked a floor 2 s old may have one 5 s old."""
        health = TargetHealth()
        health.record_lag(floor_age=2, now=99.9)
        replica = build_candidate('replica', health)
        self.assertEqual(choose(replica), '')
        old = Floor(Position(1, 50), known_at=95)
        self.assertEqual(choose(replica, floor=old), 'replica')

    def test_replica_known_to_be_at_the_floor_is_used(self) -> None:
        """A reported position overrides lag observed earlier."""
        health = TargetHealth()
        health.record_lag(floor_age=2, now=99.5)
        health.record_success(0.01, Position(1, 60), 99.9)
        self.assertEqual(choose(build_candidate('replica', health)), 'replica')

    def test_failed_target_is_retried_after_backoff(self) -> None:
        """The backoff doubles with each failure."""
        health = TargetHealth()
        health.record_failure(99.9)
        self.assertEqual(choose(build_candidate('a', health)), '')
        self.assertFalse(health.is_backing_off(100.3))
        health.record_failure(100.3)
        self.assertTrue(health.is_backing_off(100.8))

    def test_replica_and_same_zone_are_preferred(self) -> None:
        """Reads at the primary would delay writes, which only it can run."""
        fresh = [TargetHealth() for _ in range(3)]
        chosen = choose(
            build_candidate('primary', fresh[0], is_primary=True),
            build_candidate('remote', fresh[1], is_same_zone=False),
            build_candidate('local', fresh[2]),
        )
        self.assertEqual(chosen, 'local')

    def test_cold_targets_are_the_last_choice(self) -> None:
        """Guards against reads that take a cold primary's few requests."""
        slow = TargetHealth()
        slow.record_success(3, None, 99.9)
        primary = build_candidate('primary', TargetHealth(), is_primary=True)
        replica = build_candidate('replica', slow)
        for cold, chosen in (
            ({'primary'}, 'replica'),
            ({'replica'}, 'primary'),
            ({'primary', 'replica'}, 'replica'),
        ):
            self.assertEqual(
                choose_target([primary, replica], FLOOR, 100, float, cold),
                chosen,
            )

    def test_load_outweighs_zone(self) -> None:
        """A target that is busy with this instance's reads gets fewer."""
        busy, idle = TargetHealth(), TargetHealth()
        busy.record_success(0.08, None, 99.9)
        idle.record_success(0.08, None, 99.9)
        chosen = choose(
            build_candidate('local', busy, load=2),
            build_candidate('remote', idle, is_same_zone=False),
        )
        self.assertEqual(chosen, 'remote')


if __name__ == '__main__':
    unittest.main()
