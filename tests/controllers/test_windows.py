"""Fifteen instances send every read of a group to its primary.

That is the load while the group's replicas lag: the primary's slots would
carry the work, but not the queue, the repeats and the new connections.
"""

import heapq
import random
import unittest

from comfreystair.controllers.concurrency_limit import ConcurrencyLimiter
from comfreystair.controllers.wait_queue import WaitQueue

SLOTS = 2
INSTANCES = 15
WORK_SECONDS = 0.014
AIM_SECONDS = 0.2


class Outcome:
    """What became of the requests of one run."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.in_aim = 0
        self.late = 0
        self.refused = 0
        self.refused_after = 0.0


def play(seed: int, rate: float, is_windowed: bool) -> Outcome:
    """Play 20 s of a demand a second at one target."""
    chooser = random.Random(seed)
    windows = [ConcurrencyLimiter(SLOTS) for _ in range(INSTANCES)]
    waiting: list[list[float]] = [[] for _ in range(INSTANCES)]
    free_at = [0.0] * SLOTS
    outcome = Outcome()
    events: list[tuple[float, int, int, float]] = []
    now, number = 0.0, 0
    while now < 20:
        now += chooser.expovariate(rate)
        heapq.heappush(events, (now, number, -1, now))
        number += 1

    def start(instance: int, at: float, arrived: float) -> None:
        windows[instance].start()
        slot = min(range(SLOTS), key=free_at.__getitem__)
        free_at[slot] = max(free_at[slot], at) + WORK_SECONDS
        heapq.heappush(events, (free_at[slot], -number, instance, arrived))
        started[(instance, arrived)] = at

    started: dict[tuple[int, float], float] = {}
    while events:
        at, _order, instance, arrived = heapq.heappop(events)
        if instance < 0:
            instance = chooser.randrange(INSTANCES)
            window = windows[instance]
            ahead = len(waiting[instance])
            if not is_windowed or (window.has_capacity and not ahead):
                start(instance, at, arrived)
            elif window.estimate_time(ahead + 1) > AIM_SECONDS:
                outcome.refused += 1
            else:
                waiting[instance].append(arrived)
            continue
        if at - arrived <= AIM_SECONDS:
            outcome.in_aim += 1
        else:
            outcome.late += 1
        window = windows[instance]
        window.finish(at - started.pop((instance, arrived)), is_shed=False)
        while waiting[instance] and window.has_capacity:
            start(instance, at, waiting[instance].pop(0))
    return outcome


class PrimaryAloneTest(unittest.TestCase):
    """Windows keep answers in aim where a plain queue makes all late."""

    def test_overload_serves_most_of_the_capacity_in_aim(self) -> None:
        """At 1.3 times the capacity, 10 seeds."""
        capacity = SLOTS / WORK_SECONDS
        for seed in range(10):
            windowed = play(seed, capacity * 1.3, is_windowed=True)
            plain = play(seed, capacity * 1.3, is_windowed=False)
            self.assertGreater(windowed.in_aim, capacity * 20 * 0.6)
            self.assertGreater(windowed.in_aim, 3 * plain.in_aim)

    def test_usual_load_is_not_refused(self) -> None:
        """At 0.6 of the capacity, 10 seeds."""
        capacity = SLOTS / WORK_SECONDS
        for seed in range(10):
            outcome = play(seed, capacity * 0.6, is_windowed=True)
            self.assertEqual(outcome.refused, 0)
            self.assertLess(outcome.late, outcome.in_aim / 100)


class TurnsTest(unittest.TestCase):
    """Who goes next when a connection is free."""

    def test_urgent_goes_first_then_same_organisation(self) -> None:
        """Statements of transactions, then fitting ones, then by age."""
        queue = WaitQueue()
        first = queue.add('red', 1, 0)
        fitting = queue.add('blue', 1, 0.01)
        urgent = queue.add('red', -1, 0.02)
        order = []
        for _ in range(3):
            order.append(queue.choose_next('blue', 0.03))
            queue.remove(order[-1])
        self.assertEqual(order, [urgent, fitting, first])

    def test_nobody_waits_too_long_for_others(self) -> None:
        """After a while age goes before a fitting connection."""
        queue = WaitQueue()
        first = queue.add('red', 1, 0)
        queue.add('blue', 1, 0.2)
        self.assertEqual(queue.choose_next('blue', 0.25), first)


if __name__ == '__main__':
    unittest.main()
