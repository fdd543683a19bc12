"""Fair queueing within a daemon and over all daemons."""

import unittest

from comfreystair.controllers.fair_queue import FairQueue
from comfreystair.controllers.slot_allocation import (
    SlotAllocator,
    max_min_fair_shares,
)

SERVICE = 0.004


def run_queue(queue: FairQueue, turns: int, costs: dict[str, float]) -> dict:
    """Run a queue that always has work and count turns by organisation."""
    served = dict.fromkeys(costs, 0.0)
    now = 0.0
    for _ in range(turns):
        ticket = queue.dequeue(now)
        if ticket is None:
            now += SERVICE
            continue
        name = ticket.organisation
        now += costs[name]
        queue.record_completion(ticket, costs[name])
        served[name] += costs[name]
        queue.enqueue(name, ticket.weight)
    return served


class FairQueueTest(unittest.TestCase):
    """Organisations share a target by service time and weight."""

    def test_greedy_organisation_gets_half(self) -> None:
        """Fifty waiting requests of one don't outweigh two of the other."""
        queue = FairQueue(1)
        for _ in range(50):
            queue.enqueue('greedy', 1)
        for _ in range(2):
            queue.enqueue('modest', 1)
        served = run_queue(queue, 400, {'greedy': SERVICE, 'modest': SERVICE})
        ratio = served['modest'] / served['greedy']
        self.assertAlmostEqual(ratio, 1, delta=0.1)

    def test_long_requests_count_by_their_time(self) -> None:
        """An organisation with requests five times as long gets no more."""
        queue = FairQueue(1)
        for _ in range(20):
            queue.enqueue('long', 1)
            queue.enqueue('short', 1)
        served = run_queue(queue, 900, {'long': 5 * SERVICE, 'short': SERVICE})
        ratio = served['long'] / served['short']
        self.assertAlmostEqual(ratio, 1, delta=0.25)

    def test_weight_counts(self) -> None:
        """Three times the weight is three times the service."""
        queue = FairQueue(1)
        for _ in range(20):
            queue.enqueue('heavy', 3)
            queue.enqueue('light', 1)
        served = run_queue(queue, 800, {'heavy': SERVICE, 'light': SERVICE})
        ratio = served['heavy'] / served['light']
        self.assertAlmostEqual(ratio, 3, delta=0.4)

    def test_urgent_goes_first(self) -> None:
        """A request that holds a transaction open does not queue."""
        queue = FairQueue(1)
        for _ in range(10):
            queue.enqueue('one', 1)
        ticket = queue.enqueue('two', 1, is_urgent=True)
        self.assertEqual(queue.dequeue(0), ticket)

    def test_removed_request_does_not_run(self) -> None:
        """A request that gave up is forgotten."""
        queue = FairQueue(1)
        ticket = queue.enqueue('one', 1)
        queue.remove(ticket)
        self.assertIsNone(queue.dequeue(0))

    def test_limit_paces(self) -> None:
        """A bound in slot-seconds a second holds over time."""
        queue = FairQueue(2)
        queue.set_limits({'one': 0.1}, 0)
        for _ in range(5):
            queue.enqueue('one', 1)
        served = 0.0
        now = 0.0
        while now < 10:
            ticket = queue.dequeue(now)
            if ticket is not None:
                queue.record_completion(ticket, SERVICE)
                queue.enqueue('one', 1)
                served += SERVICE
            now += 0.001
        self.assertAlmostEqual(served / 10, 0.1, delta=0.02)


class SlotControllerTest(unittest.TestCase):
    """Bounds over all daemons."""

    def test_max_min(self) -> None:
        """Who wants little gets it; the others share the rest."""
        shares = max_min_fair_shares(
            {'small': 0.1, 'mid': 0.6, 'large': 5.0}, {}, 1.6
        )
        self.assertAlmostEqual(shares['small'], 0.13)
        self.assertAlmostEqual(shares['mid'], 0.735)
        self.assertAlmostEqual(shares['large'], 0.735)

    def test_idle_target_bounds_nobody(self) -> None:
        """While there are slots to spare nobody is bound."""
        controller = SlotAllocator(2)
        limits = controller.update_demand('d0', {'one': 0.9}, {}, 0)
        self.assertEqual(limits, {})

    def test_only_the_greedy_is_bound(self) -> None:
        """The bound is split between daemons by their demands."""
        controller = SlotAllocator(2)
        controller.update_demand('d0', {'greedy': 3.0, 'modest': 0.2}, {}, 0)
        limits = controller.update_demand('d1', {'greedy': 1.0}, {}, 0.1)
        self.assertLess(limits['greedy'], 0.4)
        first = controller.update_demand(
            'd0', {'greedy': 3.0, 'modest': 0.2}, {}, 0.2
        )
        self.assertNotIn('modest', first)
        self.assertAlmostEqual(first['greedy'], 3 * limits['greedy'])


if __name__ == '__main__':
    unittest.main()
