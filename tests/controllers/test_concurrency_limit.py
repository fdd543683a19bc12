"""Overload of one target by 15 instances, with and without a limit.

While the replicas of a group lag, every read goes to its primary. The slots of
the primary can carry this load, but not with a long queue, retries and new
connections on top. Without a concurrency limit nearly all answers are late.
"""

import heapq
import random
import unittest

from comfreystair.controllers.concurrency_limit import ConcurrencyLimiter
from comfreystair.controllers.wait_queue import WaitQueue

SLOTS = 2
INSTANCES = 15
STATEMENT_SECONDS = 0.014
DEADLINE_SECONDS = 0.2


class SimulationResult:
    """Numbers of requests in one simulation, by outcome."""

    def __init__(self) -> None:
        """Start with no request counted."""
        self.in_time = 0
        self.late = 0
        self.refused = 0
        self.refused_after = 0.0


def simulate(seed: int, rate: float, is_limited: bool) -> SimulationResult:
    """Simulate 20 s of requests to one target.

    :param rate: mean requests a second.
    :param is_limited: the instances limit the statements that they run.
    """
    rng = random.Random(seed)
    limiters = [ConcurrencyLimiter(SLOTS) for _ in range(INSTANCES)]
    waiting: list[list[float]] = [[] for _ in range(INSTANCES)]
    free_at = [0.0] * SLOTS
    result = SimulationResult()
    events: list[tuple[float, int, int, float]] = []
    now, sequence = 0.0, 0
    while now < 20:
        now += rng.expovariate(rate)
        heapq.heappush(events, (now, sequence, -1, now))
        sequence += 1

    def start(instance: int, at: float, arrived: float) -> None:
        limiters[instance].start()
        slot = min(range(SLOTS), key=free_at.__getitem__)
        free_at[slot] = max(free_at[slot], at) + STATEMENT_SECONDS
        heapq.heappush(events, (free_at[slot], -sequence, instance, arrived))
        started[(instance, arrived)] = at

    started: dict[tuple[int, float], float] = {}
    while events:
        at, _order, instance, arrived = heapq.heappop(events)
        if instance < 0:
            instance = rng.randrange(INSTANCES)
            limiter = limiters[instance]
            ahead = len(waiting[instance])
            if not is_limited or (limiter.has_capacity and not ahead):
                start(instance, at, arrived)
            elif limiter.estimate_time(ahead + 1) > DEADLINE_SECONDS:
                result.refused += 1
            else:
                waiting[instance].append(arrived)
            continue
        if at - arrived <= DEADLINE_SECONDS:
            result.in_time += 1
        else:
            result.late += 1
        limiter = limiters[instance]
        limiter.finish(at - started.pop((instance, arrived)), is_rejected=False)
        while waiting[instance] and limiter.has_capacity:
            start(instance, at, waiting[instance].pop(0))
    return result


class OverloadedPrimaryTest(unittest.TestCase):
    """A concurrency limit keeps answers in time under overload."""

    def test_overload_serves_most_of_the_capacity_in_time(self) -> None:
        """Load is 1.3 times the capacity, with 10 seeds."""
        capacity = SLOTS / STATEMENT_SECONDS
        for seed in range(10):
            limited = simulate(seed, capacity * 1.3, is_limited=True)
            unlimited = simulate(seed, capacity * 1.3, is_limited=False)
            self.assertGreater(limited.in_time, capacity * 20 * 0.6)
            self.assertGreater(limited.in_time, 3 * unlimited.in_time)

    def test_normal_load_is_not_refused(self) -> None:
        """Load is 0.6 of the capacity, with 10 seeds."""
        capacity = SLOTS / STATEMENT_SECONDS
        for seed in range(10):
            result = simulate(seed, capacity * 0.6, is_limited=True)
            self.assertEqual(result.refused, 0)
            self.assertLess(result.late, result.in_time / 100)


class WaitQueueTest(unittest.TestCase):
    """Which request goes next when a connection is free."""

    def test_urgent_goes_first_then_same_organisation(self) -> None:
        """Open transactions go first, then the same organisation, then age."""
        queue = WaitQueue()
        first = queue.add('red', 1, 0)
        matching = queue.add('blue', 1, 0.01)
        urgent = queue.add('red', -1, 0.02)
        order = []
        for _ in range(3):
            order.append(queue.choose_next('blue', 0.03))
            queue.remove(order[-1])
        self.assertEqual(order, [urgent, matching, first])

    def test_long_wait_overrides_matching_organisation(self) -> None:
        """After 0.15 s a request goes before those of the same organisation."""
        queue = WaitQueue()
        first = queue.add('red', 1, 0)
        queue.add('blue', 1, 0.2)
        self.assertEqual(queue.choose_next('blue', 0.25), first)


if __name__ == '__main__':
    unittest.main()
