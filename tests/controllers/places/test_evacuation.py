"""What a proof of some age says of an evacuation."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreystair.controllers.places.evacuation import (
    Evacuations,
    ZoneEvacuation,
)
from comfreystair.controllers.store_position import StorePosition

ZONE = 'lima-a'
BOUND = 5.0
FREE = ZoneEvacuation()
REQUESTED = ZoneEvacuation(StorePosition(1, 7), is_requested=True)


class EvacuationsTest(unittest.TestCase):
    """One zone that can be evacuated."""

    def setUp(self) -> None:
        """Create a zone that was free at second 10."""
        self.zones = Evacuations([ZONE], BOUND)
        self.zones.update(ZONE, FREE, 10, 10.1)

    def test_bound_counts_from_the_last_proof_of_absence(self) -> None:
        """Guards against requests after the bound when news came late."""
        self.zones.update(ZONE, REQUESTED, 14, 14.9)
        self.assertTrue(self.zones.is_evacuated(ZONE))
        self.assertTrue(self.zones.may_send(ZONE, 14.5))
        self.assertFalse(self.zones.may_send(ZONE, 10 + BOUND))

    def test_nothing_is_sent_without_a_proof_of_absence(self) -> None:
        """Guards against an instance that starts after the bound."""
        started = Evacuations([ZONE], BOUND)
        started.update(ZONE, REQUESTED, 100, 100.1)
        self.assertFalse(started.may_send(ZONE, 100.1))

    def test_crossed_answer_ends_no_evacuation(self) -> None:
        """Guards against an older answer that arrives after a newer one."""
        self.zones.update(ZONE, REQUESTED, 11, 13)
        self.zones.update(ZONE, FREE, 12, 13.5)
        self.assertTrue(self.zones.is_evacuated(ZONE))
        self.zones.update(ZONE, FREE, 13.2, 13.6)
        self.assertFalse(self.zones.is_evacuated(ZONE))

    def test_old_proof_begins_no_evacuation(self) -> None:
        """Guards against a peer's outdated proof after the end of one."""
        self.assertFalse(self.zones.update(ZONE, REQUESTED, 9, 11))
        self.assertFalse(self.zones.is_evacuated(ZONE))

    def test_unknown_zone_is_never_evacuated(self) -> None:
        """Guards against fleets that evacuate no zones being changed."""
        self.assertFalse(self.zones.update('other', REQUESTED, 11, 11))
        self.assertTrue(Evacuations().may_send(ZONE, 1e9))

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.booleans(),
                st.floats(0, 100),
                st.floats(0, 2),
            ),
            max_size=12,
        )
    )
    def test_use_ends_within_the_bound(self, answers) -> None:
        """Guards against any order of answers that extends the use."""
        zones = Evacuations([ZONE], BOUND)
        newest_free = float('-inf')
        for is_requested, asked_at, delay in answers:
            found = REQUESTED if is_requested else FREE
            zones.update(ZONE, found, asked_at, asked_at + delay)
            if not is_requested:
                newest_free = max(newest_free, asked_at)
        if zones.is_evacuated(ZONE):
            self.assertFalse(zones.may_send(ZONE, newest_free + BOUND))


if __name__ == '__main__':
    unittest.main()
