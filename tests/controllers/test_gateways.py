"""Division of a target's connections among its gateways."""

import unittest

from comfreystair.controllers.gateways import (
    choose_gateway,
    compute_connection_limit,
    count_gateways,
)
from comfreystair.controllers.membership import rank_by_rendezvous_hash

NAMES = tuple(f'entry-{number}' for number in range(48))


class GatewaysTest(unittest.TestCase):
    """Choice of gateways, and how many connections each may hold."""

    def test_limits_add_up_to_less_than_the_target_allows(self) -> None:
        """All gateways of a target together stay below its limit."""
        for connections in (6, 34, 81, 98, 478):
            total = compute_connection_limit(connections) * count_gateways(
                connections
            )
            self.assertLess(total, connections)
            self.assertGreater(total, 0)

    def test_lost_gateway_moves_only_its_organisations(self) -> None:
        """Organisations of other gateways keep their open connections."""
        ranked = rank_by_rendezvous_hash('t', NAMES)
        before, after = ranked[:4], ranked[1:5]
        for number in range(100):
            organisation = f'office-{number}'
            old = choose_gateway(organisation, before)
            new = choose_gateway(organisation, after)
            self.assertTrue(old == new or old == ranked[0] or new == ranked[4])

    def test_order_does_not_depend_on_the_list(self) -> None:
        """Instances whose lists are ordered differently agree."""
        self.assertEqual(
            rank_by_rendezvous_hash('t', NAMES),
            rank_by_rendezvous_hash('t', tuple(reversed(NAMES))),
        )

    def test_no_gateway_is_chosen_from_none(self) -> None:
        """An availability zone without instances has no gateway."""
        self.assertEqual(choose_gateway('office', ()), '')


if __name__ == '__main__':
    unittest.main()
