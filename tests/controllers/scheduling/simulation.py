"""Callers, an admission queue and a target, in simulated time."""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from comfreystair.controllers.scheduling.admission import (
    AdmissionRequest,
    AdmissionTerms,
    Ending,
    RejectionReason,
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


BOOKING = Kind('blue', 0)
LOOKUP = Kind('green', 2)


class Result(NamedTuple):
    """How one request fared; times are seconds since it came."""

    kind: Kind
    came_at: float
    started_after: float | None = None
    rejected_after: float | None = None
    reason: RejectionReason | None = None
    retry_seconds: float = 0


def choose_service_seconds(draw: random.Random) -> float:
    """Return a service time: most are short, some are long."""
    return draw.choice((0.5, 0.5, 1, 2)) * SERVICE_SECONDS


class Simulation:
    """One target that runs a few statements at a time and queues others."""

    def __init__(
        self,
        seed: int = 1,
        pause: tuple[float, float] = (0, 0),
    ) -> None:
        """Begin without requests.

        :param pause: from when to when the target does not answer.
        """
        self.random = random.Random(seed)
        self.queue = AdmissionQueue(SLOTS, self.random.random)
        self.results: dict[int, Result] = {}
        self.peak_running = 0
        self.now = 0.0
        self._pause = pause
        self._slots = [0.0 for _ in range(SLOTS)]
        self._events: list[tuple] = []
        self._order = itertools.count()

    def add_load(
        self, kind: Kind, rate: float, since: float, until: float
    ) -> None:
        """Let requests of a kind come at random times."""
        at = since + self.random.expovariate(rate)
        while at < until:
            self._schedule(at, self._submit, kind)
            at += self.random.expovariate(rate)

    def run(self) -> list[Result]:
        """Play all events and return the results of all requests."""
        while self._events:
            self.now, _number, call, given = heapq.heappop(self._events)
            call(given)
        return list(self.results.values())

    def _schedule(self, at: float, call: Callable, given: object) -> None:
        heapq.heappush(self._events, (at, next(self._order), call, given))

    def _submit(self, kind: Kind) -> None:
        terms = AdmissionTerms(
            kind.organisation,
            Level(kind.priority, 1),
            self.now + kind.aim_seconds,
            kind.aim_seconds,
            self.now + kind.timeout_seconds,
            kind.is_pinned,
        )
        request = self.queue.submit(terms, self.now)
        self.results[request.number] = Result(kind, self.now)
        self._examine(request)

    def _examine(self, request: AdmissionRequest) -> None:
        if self._is_settled(request):
            return
        self._advance(request)
        if not self._is_settled(request):
            at = self.queue.find_next_check(request, self.now)
            self._schedule(at, self._examine, request)

    def _is_settled(self, request: AdmissionRequest) -> bool:
        result = self.results[request.number]
        return result.started_after is not None or result.reason is not None

    def _advance(self, examined: AdmissionRequest | None) -> None:
        decisions = self.queue.advance(self.now, examined)
        for request in decisions.started:
            self._settle(request, started_after=self.now - request.queued_at)
            self._run(request)
        for request, reason, retry_seconds in decisions.rejected:
            self._settle(
                request,
                rejected_after=self.now - request.queued_at,
                reason=reason,
                retry_seconds=retry_seconds,
            )
        self.peak_running = max(self.peak_running, self.queue.in_flight)

    def _run(self, request: AdmissionRequest) -> None:
        """Run a request in the target's slot that is free first."""
        slot_free_at = max(heapq.heappop(self._slots), self.now)
        seconds = choose_service_seconds(self.random)
        ends_at = slot_free_at + seconds
        since, until = self._pause
        if since <= ends_at < until:
            ends_at = until
        heapq.heappush(self._slots, ends_at)
        self._schedule(ends_at, self._finish, (request, self.now))

    def _settle(self, request: AdmissionRequest, **changes: object) -> None:
        result = self.results[request.number]
        if self._is_settled(request):
            raise AssertionError(f'decided twice: {result}')
        self.results[request.number] = result._replace(**changes)

    def _finish(self, given: tuple[AdmissionRequest, float]) -> None:
        request, started_at = given
        seconds = self.now - started_at
        self.queue.finish(request.terms, seconds, Ending.answered, self.now)
        self._advance(None)


def find_longest_gap(results: list[Result], kind: Kind, until: float) -> float:
    """Return the longest time without a start of a kind, up to a time."""
    starts = sorted(
        one.came_at + one.started_after
        for one in results
        if one.kind == kind and one.started_after is not None
    )
    times = [0, *starts, until]
    return max(later - at for at, later in itertools.pairwise(times))


def find_early_share(results: list[Result]) -> float:
    """Return the share of rejections within a quarter of the objective."""
    is_early = [
        one.rejected_after <= one.kind.aim_seconds / 4
        for one in results
        if one.reason is not None
    ]
    return sum(is_early) / max(len(is_early), 1)
