"""Admission and order at a target under the loads that it answers."""

import heapq
import itertools
import random
import unittest
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreystair.controllers.scheduling.admission import (
    AdmissionRequest,
    AdmissionTerms,
    Ending,
    Rejection,
)
from comfreystair.controllers.scheduling.admission_queue import AdmissionQueue
from comfreystair.controllers.scheduling.minimum_share import Level

SLOTS = 4
SERVICE_SECONDS = 0.02
# Requests a second that the target can serve.
CAPACITY = SLOTS / SERVICE_SECONDS


class Kind(NamedTuple):
    """What requests of one kind of caller have in common."""

    organisation: str = 'blue'
    priority: int = 1
    aim_seconds: float = 0.2
    timeout_seconds: float = 0.6
    is_pinned: bool = False


SECONDS = 6.0
BOOKING = Kind('blue', 0)
OTHER = Kind('red', 1, 0.12, 0.3)
LOOKUP = Kind('green', 2)
PINNED = Kind('red', is_pinned=True)
KINDS = (BOOKING, OTHER, LOOKUP, PINNED)
# Requests a second of each kind, so that no second without one is by chance.
MIN_RATE = 40


class Result(NamedTuple):
    """How one request fared.

    :param waited: until it was started or rejected.
    :param retry_seconds: 0 if it was started.
    """

    kind: Kind
    came_at: float
    waited: float
    retry_seconds: float

    @property
    def decided_at(self) -> float:
        """Return when it was started or rejected."""
        return self.came_at + self.waited


class Simulation:
    """Callers and a target, in simulated time.

    It fails if a request is decided twice or the slots are exceeded.
    """

    def __init__(
        self,
        seed: int,
        pause: tuple[float, float] = (0, 0),
        endings: tuple[Ending, ...] = (Ending.answered,),
    ) -> None:
        """Begin without requests; a pause is a time without answers."""
        self._random = random.Random(seed)
        self._queue = AdmissionQueue(SLOTS, self._random.random)
        self._undecided: dict[int, Kind] = {}
        self._results: list[Result] = []
        self._running = 0
        self._now = 0.0
        self._pause = pause
        self._endings = endings
        self._slots = [0.0 for _ in range(SLOTS)]
        self._events: list[tuple] = []
        self._order = itertools.count()

    def add_load(self, kind: Kind, rate: float, until: float) -> None:
        """Let requests of a kind come at random times."""
        at = self._random.expovariate(rate)
        while at < until:
            self._schedule(at, self._submit, kind)
            at += self._random.expovariate(rate)

    def run(self) -> list[Result]:
        """Play all events and return the results of all requests."""
        while self._events:
            self._now, _number, call, given = heapq.heappop(self._events)
            call(given)
        return self._results

    def _schedule(self, at: float, call, given: object) -> None:
        heapq.heappush(self._events, (at, next(self._order), call, given))

    def _submit(self, kind: Kind) -> None:
        aim_at = self._now + kind.aim_seconds
        deadline = self._now + kind.timeout_seconds
        terms = AdmissionTerms(
            kind.organisation, Level(kind.priority, 1), aim_at,
            kind.aim_seconds, deadline, kind.is_pinned,
        )  # fmt: skip
        request = self._queue.submit(terms, self._now)
        self._undecided[request.number] = kind
        self._examine(request)

    def _examine(self, request: AdmissionRequest) -> None:
        if request.number not in self._undecided:
            return
        self._advance(request)
        at = self._queue.find_next_check(request, self._now)
        self._schedule(at, self._examine, request)

    def _advance(self, examined: AdmissionRequest | None) -> None:
        decisions = self._queue.advance(self._now, examined)
        for request in decisions.started:
            self._record(request, 0)
            self._run(request)
        for request, _reason, retry_seconds in decisions.rejected:
            self._record(request, retry_seconds)
        is_over = decisions.started and self._running > self._queue.slots
        if is_over or self._running != self._queue.in_flight:
            raise AssertionError(f'{self._running} requests run')

    def _run(self, request: AdmissionRequest) -> None:
        """Run a request in the target's slot that is free first."""
        self._running += 1
        slot_free_at = max(heapq.heappop(self._slots), self._now)
        ratio = self._random.choice((0.5, 0.5, 1, 2))
        ends_at = slot_free_at + ratio * SERVICE_SECONDS
        since, until = self._pause
        if since <= ends_at < until:
            ends_at = until
        heapq.heappush(self._slots, ends_at)
        self._schedule(ends_at, self._finish, (request, self._now))

    def _record(self, request: AdmissionRequest, retry_seconds: float) -> None:
        kind = self._undecided.pop(request.number)
        waited = self._now - request.queued_at
        self._results.append(
            Result(kind, request.queued_at, waited, retry_seconds)
        )

    def _finish(self, given: tuple[AdmissionRequest, float]) -> None:
        request, started_at = given
        self._running -= 1
        ending = self._random.choice(self._endings)
        self._queue.finish(
            request.terms, self._now - started_at, ending, self._now
        )
        self._advance(None)


def play(*loads: tuple[Kind, float], seed=1, pause=(0, 0)) -> list[Result]:
    """Play loads of kinds and requests a second; return the results."""
    simulation = Simulation(seed, pause)
    for kind, rate in loads:
        simulation.add_load(kind, rate, SECONDS)
    return simulation.run()


def count_served(results: list[Result], kind: Kind) -> tuple[int, int]:
    """Return how many requests of a kind were started and rejected."""
    rejected = [bool(one.retry_seconds) for one in results if one.kind == kind]
    return len(rejected) - sum(rejected), sum(rejected)


def find_longest_gap(results: list[Result], kind: Kind, until: float) -> float:
    """Return the longest time without a start of a kind, up to a time."""
    starts = sorted(
        one.decided_at
        for one in results
        if one.kind == kind and not one.retry_seconds
    )
    times = [0, *starts, until]
    return max(later - at for at, later in itertools.pairwise(times))


def find_early_share(results: list[Result]) -> float:
    """Return the share of rejections within a quarter of the objective."""
    is_early = [
        one.waited <= one.kind.aim_seconds / 4
        for one in results
        if one.retry_seconds
    ]
    return sum(is_early) / len(is_early)


class LoadTest(unittest.TestCase):
    """A target of four slots and 200 statements a second."""

    def test_burst_of_lookups_beside_bookings(self) -> None:
        """Guards against bookings rejected because lookups wait."""
        results = play((BOOKING, CAPACITY * 0.4), (LOOKUP, CAPACITY * 3))
        self.assertEqual(count_served(results, BOOKING)[1], 0)
        started, _rejected = count_served(results, LOOKUP)
        self.assertGreater(started, CAPACITY * 0.4 * SECONDS)

    def test_one_organisation_at_six_times_its_rate(self) -> None:
        """Guards against others that pay for one organisation's load."""
        rate = CAPACITY / 8
        others = [Kind(f'modest-{number}') for number in range(4)]
        greedy = Kind('greedy')
        results = play((greedy, 6 * rate), *((one, rate) for one in others))
        for other in others:
            started, rejected = count_served(results, other)
            self.assertLess(rejected, started * 0.05)
        self.assertGreater(count_served(results, greedy)[1], rate * SECONDS)

    def test_queue_full_of_requests_whose_aim_is_lost(self) -> None:
        """Guards against lost requests that make fresh ones late as well."""
        queue = AdmissionQueue(1, lambda: 0)
        fresh = AdmissionTerms('red', Level(1, 1), 0.2, 0.2, 0.6)
        queue.advance(0, queue.submit(fresh, 0))
        lost = fresh._replace(aim_at=-0.1, aim_seconds=4)
        rejected: list[AdmissionTerms] = []
        for terms in (*(lost for _ in range(20)), fresh, fresh):
            decisions = queue.advance(0, queue.submit(terms, 0))
            rejected.extend(one.request.terms for one in decisions.rejected)
        self.assertEqual(set(rejected), {lost})
        for ended_at in (0.02, 0.04):
            queue.finish(fresh, 0.02, Ending.answered, ended_at)
            started = queue.advance(ended_at).started
            self.assertEqual([one.terms for one in started], [fresh])

    def test_lowest_priority_never_starves(self) -> None:
        """Guards against strict order while more important requests come."""
        results = play(
            (BOOKING, CAPACITY * 1.5),
            (OTHER, CAPACITY * 1.5),
            (PINNED, CAPACITY * 0.5),
            (LOOKUP, CAPACITY / 4),
        )
        for kind in (BOOKING, OTHER, LOOKUP):
            self.assertLess(find_longest_gap(results, kind, SECONDS), 1)

    def test_target_that_stops_answering_for_a_second(self) -> None:
        """Guards against callers that wait out a pause in the queue."""
        loads = ((BOOKING, CAPACITY * 0.4), (LOOKUP, CAPACITY * 0.3))
        results = play(*loads, pause=(3.0, 4.0))
        self.assertGreater(find_early_share(results), 0.95)
        after = [one for one in results if one.came_at > 4.1]
        served = [one for one in after if not one.retry_seconds]
        self.assertGreater(len(served), len(after) * 0.98)

    def test_rejection_comes_at_once(self) -> None:
        """Guards against callers that wait for a no."""
        loads = ((BOOKING, 0.7), (OTHER, 0.7), (LOOKUP, 1))
        for seed in range(4):
            results = play(
                *((kind, CAPACITY * load) for kind, load in loads), seed=seed
            )
            self.assertGreater(find_early_share(results), 0.95)

    def test_rejected_callers_return_one_after_the_other(self) -> None:
        """Guards against a burst that comes back as the same burst."""
        terms = AdmissionTerms('red', Level(1, 1), 0.2, 0.2, 0.6)
        rejected = self.submit_all(1, [terms] * 60)
        returns = sorted(one.retry_seconds for one in rejected)
        self.assertGreater(len(returns), 50)
        self.assertGreater(returns[-1] - returns[0], 0.8)

    def test_least_worth_is_rejected_not_the_last(self) -> None:
        """Guards against a booking that pays for lookups before it."""
        lookup = AdmissionTerms('red', Level(2, 1), 0.2, 0.2, 0.6)
        late = lookup._replace(level=Level(0, 1), aim_at=0.01)
        rejected = self.submit_all(1, [lookup, lookup, lookup, late])
        self.assertEqual({one.request.terms for one in rejected}, {lookup})

    def submit_all(
        self, slots: int, given_terms: list[AdmissionTerms]
    ) -> list[Rejection]:
        """Submit requests at the same time and return the rejections."""
        queue = AdmissionQueue(slots, lambda: 0)
        rejected: list[Rejection] = []
        for terms in given_terms:
            decisions = queue.advance(0, queue.submit(terms, 0))
            rejected.extend(decisions.rejected)
        return rejected


class PropertyTest(unittest.TestCase):
    """What holds for any mix of loads and any ends of statements."""

    @settings(max_examples=15, derandomize=True, deadline=None)
    @given(
        st.lists(st.floats(MIN_RATE, CAPACITY * 2), min_size=4, max_size=4),
        st.lists(st.sampled_from(Ending), max_size=4),
        st.integers(0, 99),
    )
    def test_one_decision_each_and_no_priority_starves(
        self, rates: list[float], endings: list[Ending], seed: int
    ) -> None:
        """Guards against a request that runs though its caller heard a no.

        The simulation fails also if the slots are exceeded.
        """
        answers = (Ending.answered for _ in range(8))
        simulation = Simulation(seed, endings=(*answers, *endings))
        for kind, rate in zip(KINDS, rates, strict=True):
            simulation.add_load(kind, rate, 2.5)
        results = simulation.run()
        for one in results:
            kind = one.kind
            bound = kind.timeout_seconds if kind.is_pinned else kind.aim_seconds
            self.assertLess(one.waited, bound + 0.001)
        for kind in KINDS[:-1]:
            self.assertLess(find_longest_gap(results, kind, 2.5), 1)
