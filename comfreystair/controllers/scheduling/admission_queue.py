"""Admission of the requests for one target at one instance.

Each event that may start or reject requests is followed by
:meth:`AdmissionQueue.advance`, which returns the requests to start and to
reject. A request is returned once.
"""

import itertools
from collections.abc import Callable

from comfreystair.controllers.concurrency_limit import ConcurrencyLimiter
from comfreystair.controllers.scheduling.admission import (
    AdmissionRequest,
    AdmissionTerms,
    Decisions,
    Ending,
    Rejection,
    RejectionReason,
    build_admission_request,
)
from comfreystair.controllers.scheduling.admission_order import order_requests
from comfreystair.controllers.scheduling.load_shedding import (
    TargetLoad,
    choose_shed,
)
from comfreystair.controllers.scheduling.minimum_share import (
    Level,
    MinimumShare,
)
from comfreystair.controllers.scheduling.return_times import ReturnTimes
from comfreystair.controllers.scheduling.service_shares import ServiceShares
from comfreystair.controllers.scheduling.wait_estimator import WaitEstimator


class AdmissionQueue:
    """The requests that run or wait at one target."""

    def __init__(self, slots: int, draw: Callable[[], float]) -> None:
        """Begin without requests.

        :param slots: statements that the target runs at the same time.
        :param draw: returns random numbers from 0 to 1.
        """
        self._limiter = ConcurrencyLimiter(slots)
        self._draw = draw
        self._numbers = itertools.count()
        self._waiting: dict[int, AdmissionRequest] = {}
        # Expected time until the turn of each waiting request, by its number.
        self._turns: dict[int, float] = {}
        self._shares = ServiceShares()
        self._minimum = MinimumShare()
        self._estimator = WaitEstimator()
        self._return_times = ReturnTimes()

    @property
    def in_flight(self) -> int:
        """Return the number of running requests."""
        return self._limiter.in_flight

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    @property
    def slots(self) -> int:
        """Return how many requests may run at the same time."""
        return max(int(self._limiter.limit), 1)

    def submit(self, terms: AdmissionTerms, now: float) -> AdmissionRequest:
        """Add a request; :meth:`advance` must follow, with the request."""
        request = build_admission_request(next(self._numbers), terms, now)
        name = terms.organisation
        if all(
            other.terms.organisation != name for other in self._list_waiting()
        ):
            self._shares.activate(name)
        self._waiting[request.number] = request
        if not (terms.is_pinned or self._limiter.has_capacity):
            self._minimum.record_demand(terms.level, now)
        return request

    def advance(
        self, now: float, examined: AdmissionRequest | None = None
    ) -> Decisions:
        """Return the requests to start and to reject now.

        :param examined: a request that has just been submitted, or is due for
            its review; only then are requests shed.
        """
        decisions = Decisions([], [])
        for expired in self._list_waiting():
            if now >= expired.wait_until:
                ahead = self._count_before(expired.terms.level)
                self.remove(expired)
                decisions.rejected.append(
                    Rejection(
                        expired,
                        RejectionReason.late,
                        self._assign_return(expired.terms.level, ahead, now),
                    )
                )
        if not self._waiting:
            return decisions
        order = order_requests(
            self._list_waiting(),
            self._shares,
            self._minimum,
            self._estimator.service_seconds,
            now,
        )
        while order.requests and self._limiter.has_capacity:
            request = order.requests.pop(0)
            self._start(request, now)
            decisions.started.append(request)
        if examined is None:
            return decisions
        for place, waiting in enumerate(order.requests):
            self._turns.setdefault(
                waiting.number, self._estimator.estimate_turn(place, self.slots)
            )
        for shed, ahead in choose_shed(
            order, examined, self._build_load(now), now
        ):
            self.remove(shed)
            retry_seconds = self._assign_return(shed.terms.level, ahead, now)
            decisions.rejected.append(
                Rejection(shed, RejectionReason.shed, retry_seconds)
            )
        return decisions

    def find_next_check(self, request: AdmissionRequest, now: float) -> float:
        """Return when a waiting request must be examined next."""
        if now < request.review_at:
            return min(request.review_at, request.wait_until)
        return request.wait_until

    def remove(self, request: AdmissionRequest) -> None:
        """Remove a request whose caller has given up, if it still waits."""
        self._waiting.pop(request.number, None)
        self._turns.pop(request.number, None)

    def finish(
        self,
        terms: AdmissionTerms,
        seconds: float,
        ending: Ending,
        now: float,
    ) -> None:
        """Record the end of a request; :meth:`advance` must follow.

        :param seconds: for which it used its slot.
        """
        if ending is Ending.unsent:
            self._limiter.cancel()
            self._shares.record_cancellation(terms.organisation)
            return
        self._limiter.finish(seconds, ending is Ending.rejected)
        self._shares.record_completion(terms.organisation, seconds)
        if ending is not Ending.lost:
            self._estimator.record_answer(now)
        if ending is Ending.answered:
            self._estimator.record_service(seconds)

    def find_retry_seconds(self, terms: AdmissionTerms, now: float) -> float:
        """Return after which time a request without a connection returns."""
        ahead = self._count_before(terms.level)
        return self._assign_return(terms.level, ahead, now)

    def _list_waiting(self) -> list[AdmissionRequest]:
        return list(self._waiting.values())

    def _count_before(self, level: Level) -> int:
        """Return the waiting requests of a priority and of higher ones."""
        return sum(
            request.terms.is_pinned or request.terms.level <= level
            for request in self._waiting.values()
        )

    def _start(self, request: AdmissionRequest, now: float) -> None:
        expected = self._turns.get(request.number, 0)
        self.remove(request)
        if not self._limiter.in_flight:
            self._estimator.record_idle_start(now)
        self._limiter.start()
        terms = request.terms
        self._shares.record_start(terms.organisation)
        if terms.is_pinned:
            return
        waited = now - request.queued_at if expected else 0
        self._estimator.record_wait(
            terms.level, request.queued_at, waited, expected
        )
        has_waiting = any(
            other.terms.level == terms.level and not other.terms.is_pinned
            for other in self._waiting.values()
        )
        self._minimum.record_start(terms.level, now, has_waiting)

    def _assign_return(self, level: Level, ahead: int, now: float) -> float:
        load = self._build_load(now)
        interval = self._estimator.estimate_turn(0, self.slots)
        return self._return_times.assign(
            level,
            load.estimate_wait(level, ahead),
            interval * self._estimator.find_stretch(level),
            now,
            self._draw(),
        )

    def _build_load(self, now: float) -> TargetLoad:
        silence = self._estimator.find_silence(now) if self.in_flight else 0
        return TargetLoad(self._estimator, self.slots, silence)
