"""Choice of the waiting requests to reject when there isn't capacity for all.

A request is kept only if its expected wait, which counts the requests before
it, fits into the time it has. Where one does not fit, that request or one
before it is rejected: the one that is least worth keeping.
"""

from typing import Final, NamedTuple

from comfreystair.controllers.scheduling.admission import AdmissionRequest
from comfreystair.controllers.scheduling.admission_order import RequestOrder
from comfreystair.controllers.scheduling.minimum_share import Level
from comfreystair.controllers.scheduling.wait_estimator import WaitEstimator

# A new request is kept only if its expected wait is under this share of the
# time it has, since waits vary.
_ARRIVAL_SHARE: Final = 0.45
# At its review it must need even less, as it is then kept while it fits at all:
# with 0.35, up to 7 in 100 rejections of a priority came after a quarter of the
# objective in simulated loads.
_REVIEW_SHARE: Final = 0.2
# Bounds the time that it takes to order the queue.
_MAX_WAITING: Final = 128


class ShedRequest(NamedTuple):
    """A request to reject.

    :param ahead: number of requests that would have started before it.
    """

    request: AdmissionRequest
    ahead: int


class TargetLoad(NamedTuple):
    """What the waits at a target depend on besides the requests.

    :param slots: requests that run at the same time.
    :param silence: for how long the target has given no answer, zero while
        answers come.
    """

    estimator: WaitEstimator
    slots: int
    silence: float

    def estimate_wait(self, level: Level, ahead: int) -> float:
        """Return the expected wait of a request, in seconds.

        A silent target is expected to stay silent for as long again.
        """
        turn = self.estimator.estimate_turn(ahead, self.slots)
        return turn * self.estimator.find_stretch(level) + self.silence


def choose_shed(
    order: RequestOrder,
    examined: AdmissionRequest,
    load: TargetLoad,
    now: float,
) -> list[ShedRequest]:
    """Return the requests to reject so that the others fit.

    Statements of open transactions are never rejected here. Of each overdue
    priority the first request is kept while the target answers.

    :param examined: has just arrived, or is due for its review.
    """
    service = load.estimator.service_seconds
    kept = list(order.requests)
    protected = {one.number for one in kept if one.terms.is_pinned}
    if not load.silence:
        protected |= order.overdue

    def fits(request: AdmissionRequest, ahead: int) -> bool:
        if request.number in protected:
            return True
        wait = load.estimate_wait(request.terms.level, ahead)
        budget = _find_budget(request, examined, service, now)
        return ahead < _MAX_WAITING and wait <= budget

    shed: list[ShedRequest] = []
    ahead = 0
    while ahead < len(kept):
        if fits(kept[ahead], ahead):
            ahead += 1
            continue
        # Rejecting a request before it helps only if it would fit alone.
        if fits(kept[ahead], 0):
            ahead = _find_least_worth(
                kept[: ahead + 1], protected, service, now
            )
        shed.append(ShedRequest(kept.pop(ahead), ahead))
    return shed


def _find_least_worth(
    requests: list[AdmissionRequest],
    protected: set[int],
    service_seconds: float,
    now: float,
) -> int:
    """Return the place of the request to reject, the last among equals.

    Of its organisation's equal requests, one whose rejection still comes early
    is rejected in its place.
    """

    def find_worth(place: int) -> tuple[Level, bool]:
        request = requests[place]
        is_late = not request.can_meet_aim(service_seconds, now)
        return (request.terms.level, is_late)

    places = [
        place
        for place, request in enumerate(requests)
        if request.number not in protected
    ]
    least = max(places, key=lambda place: (find_worth(place), place))
    organisation = requests[least].terms.organisation
    early = [
        place
        for place in places
        if now < requests[place].review_at
        and requests[place].terms.organisation == organisation
        and find_worth(place) == find_worth(least)
    ]
    return max(early, default=least)


def _find_budget(
    request: AdmissionRequest,
    examined: AdmissionRequest,
    service_seconds: float,
    now: float,
) -> float:
    """Return the longest expected wait with which a request is kept."""
    latest = request.wait_until
    if request.can_meet_aim(service_seconds, now):
        latest = min(latest, request.terms.aim_at - service_seconds)
    remaining = latest - now
    if now < request.review_at or now <= request.queued_at:
        return remaining * _ARRIVAL_SHARE
    if request.number == examined.number:
        return remaining * _REVIEW_SHARE
    return remaining
