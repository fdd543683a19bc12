"""Shares of a target's connections, and their handover."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreystair.controllers.connections import handover, shares
from comfreystair.controllers.gateways import count_gateways


def list_shares(connections: int, gateways: int, zone: int, fleet: int):
    """Return the shares of all ranks."""
    sizes = shares.TargetFleet(connections, gateways, zone, fleet)
    return [shares.compute_connection_share(sizes, one) for one in range(fleet)]


class SharesTest(unittest.TestCase):
    """Guards against more connections than a target allows."""

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(*(st.integers(*bounds) for bounds in ((2, 600), (1, 8), (0, 200))))
    def test_sum_is_below_the_limit(
        self, connections: int, gateways: int, zone: int
    ) -> None:
        """For any sizes; the first ranks have the connections."""
        for fleet in (zone, zone + 1, 3 * zone):
            found = list_shares(connections, gateways, zone, fleet)
            self.assertLess(sum(found), connections)
            self.assertEqual(found, sorted(found, reverse=True))

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.integers(2, 600), st.permutations(range(40)), st.data())
    def test_one_list_change_keeps_the_sum_below_the_limit(
        self, connections: int, old: list, data: st.DataObject
    ) -> None:
        """An instance joins, some leave, and all close connections late."""
        gateways = count_gateways(connections)
        new = old[data.draw(st.integers(0, 6)) :]
        new.insert(data.draw(st.integers(0, len(new))), 'joining')
        sizes = shares.TargetFleet(connections, gateways, 32, len(new))
        joining_share = shares.compute_joining_share(sizes)
        after = list_shares(connections, gateways, 32, len(new))
        held = dict(zip(old, list_shares(connections, gateways, 32, 40)))
        changes = {name: handover.ShareHandover() for name in new}
        for known in set(old).intersection(new):
            changes[known].update(held[known], held[known], 0)
        for now in (0, handover.HANDOVER_SECONDS * 0.9):
            for name, share in zip(new, after):
                allowed = joining_share if name == 'joining' else 0
                limit = changes[name].update(share, allowed, now)
                held[name] = max(held.get(name, 0), limit)
            self.assertLess(sum(held.values()), connections)
        end = handover.HANDOVER_SECONDS
        limits = [
            changes[one].update(*pair, 0, end) for one, *pair in zip(new, after)
        ]
        self.assertEqual(limits, after)


if __name__ == '__main__':
    unittest.main()
