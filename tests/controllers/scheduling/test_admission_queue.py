"""Admission and order at a target under the loads that it answers."""

import statistics
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreystair.controllers.scheduling.admission import (
    AdmissionTerms,
    Decisions,
    Ending,
)
from comfreystair.controllers.scheduling.admission_queue import AdmissionQueue
from comfreystair.controllers.scheduling.minimum_share import Level
from tests.controllers.scheduling.simulation import (
    BOOKING,
    CAPACITY,
    LOOKUP,
    Kind,
    Result,
    Simulation,
    find_early_share,
    find_longest_gap,
)

SECONDS = 6.0
KINDS = (
    BOOKING,
    Kind('red', 1, 0.12, 0.3),
    LOOKUP,
    Kind('red', is_pinned=True),
)
# Requests take far less, so that no second without a start is by chance.
MIN_RATE = 40


def split(
    results: list[Result], kind: Kind
) -> tuple[list[Result], list[Result]]:
    """Return the requests of a kind that were started and rejected."""
    of_kind = [one for one in results if one.kind == kind]
    rejected = [one for one in of_kind if one.reason is not None]
    return [one for one in of_kind if one.reason is None], rejected


class LoadTest(unittest.TestCase):
    """A target of four slots and 200 statements a second."""

    def play(
        self, *loads: tuple[Kind, float], seed: int = 1, pause=(0, 0)
    ) -> list[Result]:
        """Play loads of kinds and requests a second; return the results."""
        simulation = Simulation(seed, pause)
        for kind, rate in loads:
            simulation.add_load(kind, rate, 0, SECONDS)
        return simulation.run()

    def test_burst_of_lookups_beside_bookings(self) -> None:
        """Guards against bookings rejected because lookups wait."""
        results = self.play((BOOKING, CAPACITY * 0.4), (LOOKUP, CAPACITY * 3))
        started, rejected = split(results, BOOKING)
        self.assertEqual(rejected, [])
        waits = [one.started_after for one in started]
        self.assertLess(statistics.median(waits), 0.02)
        started, _rejected = split(results, LOOKUP)
        self.assertGreater(len(started), CAPACITY * 0.4 * SECONDS)

    def test_one_organisation_at_six_times_its_rate(self) -> None:
        """Guards against others that pay for one organisation's load."""
        greedy = Kind('greedy')
        others = [Kind(f'modest-{number}') for number in range(4)]
        share = CAPACITY / 8
        results = self.play(
            (greedy, 6 * share), *((other, share) for other in others)
        )
        for other in others:
            started, rejected = split(results, other)
            self.assertLess(len(rejected), len(started) * 0.05)
        self.assertGreater(len(split(results, greedy)[1]), share * SECONDS)

    def test_queue_full_of_requests_whose_aim_is_lost(self) -> None:
        """Guards against lost requests that make fresh ones late as well."""
        queue = AdmissionQueue(1, lambda: 0)
        running = AdmissionTerms('red', Level(1, 1), 0.2, 0.2, 0.6)
        queue.advance(0, queue.submit(running, 0))
        lost: list[int] = []
        shed: list[int] = []
        for _ in range(20):
            terms = running._replace(aim_at=-0.1, aim_seconds=4)
            request = queue.submit(terms, 0)
            lost.append(request.number)
            decisions = queue.advance(0, request)
            shed.extend(one.request.number for one in decisions.rejected)
        fresh = [queue.submit(running, 0.01) for _ in range(2)]
        for request in fresh:
            decisions = queue.advance(0.01, request)
            self.assertTrue(
                {one.request.number for one in decisions.rejected} <= set(lost)
            )
        self.assertTrue(shed)
        queue.finish(running, 0.02, Ending.answered, 0.02)
        self.assertEqual(queue.advance(0.02).started, [fresh[0]])

    def test_lowest_priority_never_starves(self) -> None:
        """Guards against strict order while more important requests come."""
        results = self.play(
            (BOOKING, CAPACITY * 1.5),
            (Kind('red', 1), CAPACITY * 1.5),
            (KINDS[-1], CAPACITY * 0.5),
            (LOOKUP, CAPACITY / 4),
        )
        for kind in (BOOKING, Kind('red', 1), LOOKUP):
            self.assertLess(find_longest_gap(results, kind, SECONDS), 1)

    def test_target_that_stops_answering_for_a_second(self) -> None:
        """Guards against callers that wait out a pause in the queue."""
        results = self.play(
            (BOOKING, CAPACITY * 0.4),
            (LOOKUP, CAPACITY * 0.3),
            pause=(3.0, 4.0),
        )
        rejected = [one for one in results if one.reason is not None]
        self.assertGreater(len(rejected), CAPACITY * 0.4)
        self.assertGreater(find_early_share(results), 0.95)
        after = [one for one in results if one.came_at > 4.1]
        served = [one for one in after if one.reason is None]
        self.assertGreater(len(served), len(after) * 0.98)

    def test_rejection_comes_at_once_and_spreads_returns(self) -> None:
        """Guards against callers that wait for a no and return together."""
        for seed in range(4):
            results = self.play(
                (BOOKING, CAPACITY * 0.7),
                (Kind('red', 1, 0.12), CAPACITY * 0.7),
                (LOOKUP, CAPACITY),
                seed=seed,
            )
            self.assertGreater(find_early_share(results), 0.95)
            returns = sorted(
                one.came_at + one.rejected_after + one.retry_seconds
                for one in results
                if one.kind == LOOKUP and one.reason is not None
            )
            per_tenth = len(returns) / (SECONDS * 10)
            counts = [
                sum(at <= back < at + 0.1 for back in returns)
                for at in returns[:: len(returns) // 20]
            ]
            self.assertLess(max(counts), per_tenth * 3)


class PropertyTest(unittest.TestCase):
    """What holds for any load."""

    @settings(max_examples=12, derandomize=True, deadline=None)
    @given(
        st.lists(st.floats(MIN_RATE, CAPACITY * 2), min_size=4, max_size=4),
        st.integers(0, 99),
    )
    def test_each_waiting_priority_starts_within_a_second(
        self, rates: list[float], seed: int
    ) -> None:
        """Guards against starvation, for any mix of loads."""
        simulation = Simulation(seed)
        for kind, rate in zip(KINDS, rates, strict=True):
            simulation.add_load(kind, rate, 0, 2.5)
        results = simulation.run()
        for kind in KINDS[:-1]:
            self.assertLess(find_longest_gap(results, kind, 2.5), 1)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(('submit', 'submit', 'finish', 'wait')),
                st.integers(0, 9),
                st.floats(0, 0.3),
            ),
            max_size=60,
        )
    )
    def test_one_decision_each_and_slots_kept(self, steps: list[tuple]) -> None:
        """Guards against a request that runs though its caller heard no."""
        queue = AdmissionQueue(2, lambda: 1)
        now = 0.0
        running: list = []
        open_requests: dict = {}
        decided: set[int] = set()

        def take(decisions: Decisions) -> None:
            rejected = [one.request for one in decisions.rejected]
            for request in (*decisions.started, *rejected):
                self.assertNotIn(request.number, decided)
                decided.add(request.number)
                open_requests.pop(request.number)
            running.extend(decisions.started)
            if decisions.started:
                self.assertLessEqual(queue.in_flight, queue.slots)
            self.assertEqual(queue.in_flight, len(running))
            self.assertTrue(
                all(one.retry_seconds for one in decisions.rejected)
            )

        for action, number, seconds in steps:
            if action == 'submit':
                aim = seconds - 0.05
                terms = AdmissionTerms(
                    f'org-{number % 3}', Level(number % 4, number % 2),
                    now + aim, 0.2, now + 0.4, number == 9,
                )  # fmt: skip
                request = queue.submit(terms, now)
                open_requests[request.number] = request
                take(queue.advance(now, request))
            elif action == 'finish' and running:
                ended = running.pop(number % len(running))
                ending = tuple(Ending)[number % len(Ending)]
                queue.finish(ended.terms, seconds, ending, now)
                take(queue.advance(now))
            else:
                now += seconds
                for request in list(open_requests.values()):
                    if request.number in open_requests:
                        take(queue.advance(now, request))
                        self.assertTrue(
                            request.number in decided
                            or now < request.wait_until
                        )
        self.assertEqual(queue.waiting, len(open_requests))
