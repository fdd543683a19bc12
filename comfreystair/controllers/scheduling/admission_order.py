"""Order of the requests that wait for one target.

Statements of open transactions go first, then requests that can still meet
their latency objective before those that can't. Among these the priority
decides, then the service time that their organisations have used, then the
earliest end of the latency objective. One request of each priority that has
waited too long goes before.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from comfreystair.controllers.scheduling.admission import AdmissionRequest
from comfreystair.controllers.scheduling.minimum_share import (
    Level,
    MinimumShare,
)
from comfreystair.controllers.scheduling.service_shares import ServiceShares

# A priority that has waited this long goes before others, and after the longer
# time also before statements of open transactions. Both leave a part of the
# second that a priority may wait to other overdue priorities and to statements
# that run.
_OVERDUE_SECONDS: Final = 0.5
_LONG_OVERDUE_SECONDS: Final = 0.75


class RequestOrder(NamedTuple):
    """Waiting requests in the order in which they start.

    :param overdue: numbers of those that go first since their priority has
        waited too long.
    """

    requests: list[AdmissionRequest]
    overdue: frozenset[int]


def order_requests(
    waiting: Iterable[AdmissionRequest],
    shares: ServiceShares,
    minimum: MinimumShare,
    service_seconds: float,
    now: float,
) -> RequestOrder:
    """Order the waiting requests of one target.

    :param service_seconds: expected service time of a request.
    """
    ranked = sorted(
        waiting,
        key=lambda request: (
            _rank(request, service_seconds, now),
            request.terms.aim_at,
            request.number,
        ),
    )
    tags: dict[str, float] = {}
    keys: dict[int, tuple] = {}
    for request in ranked:
        name = request.terms.organisation
        tag = tags.get(name, shares.find_start_tag(name))
        # Each request of an organisation puts the next one further back.
        tags[name] = tag + shares.find_expected_seconds(name)
        keys[request.number] = (
            _rank(request, service_seconds, now),
            tag,
            request.terms.aim_at,
            request.number,
        )
    ranked.sort(key=lambda request: keys[request.number])
    return _promote_overdue(ranked, minimum, now)


def _rank(
    request: AdmissionRequest, service_seconds: float, now: float
) -> tuple[bool, bool, Level]:
    terms = request.terms
    can_meet = request.can_meet_aim(service_seconds, now)
    return (not terms.is_pinned, not can_meet, terms.level)


def _promote_overdue(
    ranked: list[AdmissionRequest], minimum: MinimumShare, now: float
) -> RequestOrder:
    """Put the first request of each overdue priority before the others."""
    ages: dict[int, float] = {}
    seen: set[Level] = set()
    for request in ranked:
        level = request.terms.level
        if request.terms.is_pinned or level in seen:
            continue
        seen.add(level)
        age = minimum.find_age(level, now)
        if age >= _OVERDUE_SECONDS:
            ages[request.number] = age
    if ages:
        ranked.sort(key=lambda request: _find_stage(request, ages))
    return RequestOrder(ranked, frozenset(ages))


def _find_stage(
    request: AdmissionRequest, ages: dict[int, float]
) -> tuple[int, float]:
    """Return the place of a request by how long its priority has waited."""
    age = ages.get(request.number, 0)
    if age >= _LONG_OVERDUE_SECONDS:
        return (0, -age)
    if request.terms.is_pinned:
        return (1, 0)
    return (2, -age)
