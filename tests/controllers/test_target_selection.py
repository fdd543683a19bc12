"""Reads go where the log is likely to hold what they must see."""

import unittest

from comfreystair.controllers.positions import Position
from comfreystair.controllers.target_selection import (
    Floor,
    ReadCandidate,
    TargetHealth,
    choose_target,
)

FLOOR = Floor(Position(1, 50), known_at=99)


def build(ident: str, health: TargetHealth, **changes: object) -> ReadCandidate:
    """Return a near replica without load."""
    candidate = ReadCandidate(ident, True, False, 0, health)
    return candidate._replace(**changes)


def choose(*candidates: ReadCandidate, floor: Floor = FLOOR) -> str:
    """Choose at 100, without spread."""
    return choose_target(candidates, floor, 100, lambda: 0)


class SelectionTest(unittest.TestCase):
    """Lag, failures, load and distance."""

    def test_lagging_replica_is_left_for_younger_floors_only(self) -> None:
        """One that lacked a floor 2 s old may hold one 5 s old."""
        health = TargetHealth()
        health.record_lag(floor_age=2, now=99.9)
        replica = build('replica', health)
        self.assertEqual(choose(replica), '')
        old = Floor(Position(1, 50), known_at=95)
        self.assertEqual(choose(replica, floor=old), 'replica')

    def test_replica_seen_at_the_floor_is_used(self) -> None:
        """Its own answers say more than its lag before."""
        health = TargetHealth()
        health.record_lag(floor_age=2, now=99.5)
        health.record_success(0.01, Position(1, 60), 99.9)
        self.assertEqual(choose(build('replica', health)), 'replica')

    def test_failed_target_is_paused_then_tried(self) -> None:
        """The pause doubles with each failure."""
        health = TargetHealth()
        health.record_failure(99.9)
        self.assertEqual(choose(build('a', health)), '')
        self.assertFalse(health.is_backing_off(100.3))
        health.record_failure(100.3)
        self.assertTrue(health.is_backing_off(100.8))

    def test_replica_goes_before_primary_and_near_before_far(self) -> None:
        """Primaries serve what only they can."""
        fresh = [TargetHealth() for _ in range(3)]
        chosen = choose(
            build('primary', fresh[0], is_primary=True),
            build('far', fresh[1], is_same_zone=False),
            build('near', fresh[2]),
        )
        self.assertEqual(chosen, 'near')

    def test_load_outweighs_distance(self) -> None:
        """A target that this instance keeps busy gets less work."""
        busy, idle = TargetHealth(), TargetHealth()
        busy.record_success(0.08, None, 99.9)
        idle.record_success(0.08, None, 99.9)
        chosen = choose(
            build('near', busy, load=2),
            build('far', idle, is_same_zone=False),
        )
        self.assertEqual(chosen, 'far')


if __name__ == '__main__':
    unittest.main()
