"""Gateways share a target's connections, and agree who has which."""

import unittest

from comfreystair.controllers.gateways import (
    choose_gateway,
    compute_connection_limit,
    count_gateways,
)
from comfreystair.controllers.membership import rank_members

NAMES = tuple(f'entry-{number}' for number in range(48))


class GatewaysTest(unittest.TestCase):
    """Who holds connections, and how many."""

    def test_limits_fit_into_the_targets(self) -> None:
        """All gateways together stay within it."""
        for connections in (6, 34, 81, 98, 478):
            held = compute_connection_limit(connections) * count_gateways(
                connections
            )
            self.assertLess(held, connections)
            self.assertGreater(held, 0)

    def test_gateway_that_goes_moves_nobody_else(self) -> None:
        """Organisations of the others stay where their connections are."""
        ranked = rank_members('t', NAMES)
        before, after = ranked[:4], ranked[1:5]
        for number in range(100):
            organisation = f'office-{number}'
            was = choose_gateway(organisation, before)
            now = choose_gateway(organisation, after)
            self.assertTrue(was == now or was == ranked[0] or now == ranked[4])

    def test_order_does_not_depend_on_the_list(self) -> None:
        """Two instances with differently ordered lists agree."""
        self.assertEqual(
            rank_members('t', NAMES),
            rank_members('t', tuple(reversed(NAMES))),
        )

    def test_nobody_is_chosen_of_none(self) -> None:
        """An empty zone has no gateway."""
        self.assertEqual(choose_gateway('office', ()), '')


if __name__ == '__main__':
    unittest.main()
