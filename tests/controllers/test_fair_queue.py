"""Fair queueing within a daemon, and slot allocation over all daemons."""

import unittest

from comfreystair.controllers.fair_queue import FairQueue
from comfreystair.controllers.slot_allocation import (
    SlotAllocator,
    max_min_fair_shares,
)

SERVICE_SECONDS = 0.004


def run_queue(queue: FairQueue, rounds: int, costs: dict[str, float]) -> dict:
    """Run the queued requests one at a time, queueing each again.

    :param costs: service time of a request by organisation, in seconds.
    :returns: total service time by organisation, in seconds.
    """
    served = dict.fromkeys(costs, 0.0)
    now = 0.0
    for _ in range(rounds):
        request = queue.dequeue(now)
        if request is None:
            now += SERVICE_SECONDS
            continue
        name = request.organisation
        now += costs[name]
        queue.record_completion(request, costs[name])
        served[name] += costs[name]
        queue.enqueue(name, request.weight)
    return served


class FairQueueTest(unittest.TestCase):
    """Organisations share a target by service time and weight."""

    def test_greedy_organisation_gets_half(self) -> None:
        """A backlog of fifty requests gets no more service than one of two."""
        queue = FairQueue(1)
        for _ in range(50):
            queue.enqueue('greedy', 1)
        for _ in range(2):
            queue.enqueue('modest', 1)
        served = run_queue(
            queue, 400, {'greedy': SERVICE_SECONDS, 'modest': SERVICE_SECONDS}
        )
        ratio = served['modest'] / served['greedy']
        self.assertAlmostEqual(ratio, 1, delta=0.1)

    def test_long_requests_count_by_their_time(self) -> None:
        """Requests that take five times as long get no more service time."""
        queue = FairQueue(1)
        for _ in range(20):
            queue.enqueue('long', 1)
            queue.enqueue('short', 1)
        served = run_queue(
            queue, 900, {'long': 5 * SERVICE_SECONDS, 'short': SERVICE_SECONDS}
        )
        ratio = served['long'] / served['short']
        self.assertAlmostEqual(ratio, 1, delta=0.25)

    def test_service_is_proportional_to_weight(self) -> None:
        """Three times the weight gets three times the service time."""
        queue = FairQueue(1)
        for _ in range(20):
            queue.enqueue('heavy', 3)
            queue.enqueue('light', 1)
        served = run_queue(
            queue, 800, {'heavy': SERVICE_SECONDS, 'light': SERVICE_SECONDS}
        )
        ratio = served['heavy'] / served['light']
        self.assertAlmostEqual(ratio, 3, delta=0.4)

    def test_urgent_goes_first(self) -> None:
        """A request of an open transaction runs before all others."""
        queue = FairQueue(1)
        for _ in range(10):
            queue.enqueue('one', 1)
        request = queue.enqueue('two', 1, is_urgent=True)
        self.assertEqual(queue.dequeue(0), request)

    def test_removed_request_does_not_run(self) -> None:
        """A request that was removed from the queue does not run."""
        queue = FairQueue(1)
        request = queue.enqueue('one', 1)
        queue.remove(request)
        self.assertIsNone(queue.dequeue(0))

    def test_usage_stays_within_limit(self) -> None:
        """A limit in slot-seconds per second holds over time."""
        queue = FairQueue(2)
        queue.set_limits({'one': 0.1}, 0)
        for _ in range(5):
            queue.enqueue('one', 1)
        served = 0.0
        now = 0.0
        while now < 10:
            request = queue.dequeue(now)
            if request is not None:
                queue.record_completion(request, SERVICE_SECONDS)
                queue.enqueue('one', 1)
                served += SERVICE_SECONDS
            now += 0.001
        self.assertAlmostEqual(served / 10, 0.1, delta=0.02)


class SlotAllocatorTest(unittest.TestCase):
    """Limits computed from the demand of all daemons."""

    def test_max_min_fairness(self) -> None:
        """Small demands are met; the others share the rest equally."""
        shares = max_min_fair_shares(
            {'small': 0.1, 'mid': 0.6, 'large': 5.0}, {}, 1.6
        )
        self.assertAlmostEqual(shares['small'], 0.13)
        self.assertAlmostEqual(shares['mid'], 0.735)
        self.assertAlmostEqual(shares['large'], 0.735)

    def test_idle_target_has_no_limits(self) -> None:
        """No organisation is limited while the target has spare slots."""
        controller = SlotAllocator(2)
        limits = controller.update_demand('d0', {'one': 0.9}, {}, 0)
        self.assertEqual(limits, {})

    def test_only_greedy_organisation_is_limited(self) -> None:
        """The limit is split between daemons in proportion to demand."""
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
