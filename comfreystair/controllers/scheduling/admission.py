"""What the admission of a request at a target depends on, and its results."""

import enum
from typing import Final, NamedTuple

from comfreystair.controllers.scheduling.minimum_share import Level

# Within this share of its latency objective it is decided whether a request
# may wait to the end. Rejections have to reach callers within a quarter.
_REVIEW_SHARE: Final = 0.2
# A request that has less than this share of its objective left, or none, may
# still wait this long, among those that can only meet their deadline.
_LATE_WAIT_SHARE: Final = 0.25


class Ending(enum.Enum):
    """How a started request ended.

    ``answered``: by the target. ``rejected``: the target was overloaded.
    ``lost``: sent without an answer. ``unsent``: nothing was sent.
    """

    answered = enum.auto()
    rejected = enum.auto()
    lost = enum.auto()
    unsent = enum.auto()


class RejectionReason(enum.Enum):
    """Why a request was rejected.

    ``shed``: there was no capacity for all. ``late``: its time to wait ended.
    ``no_connection``: it had a slot, but no connection became free.
    """

    shed = enum.auto()
    late = enum.auto()
    no_connection = enum.auto()


class AdmissionTerms(NamedTuple):
    """What the admission of a request depends on.

    :param aim_at: end of its latency objective, by the clock.
    :param aim_seconds: the whole latency objective.
    :param deadline: when its answer is of no use any more.
    :param is_pinned: it is a statement of an open transaction.
    """

    organisation: str
    level: Level
    aim_at: float
    aim_seconds: float
    deadline: float
    is_pinned: bool = False


class AdmissionRequest(NamedTuple):
    """A request in the queue.

    :param number: unique in the queue, in order of arrival.
    :param review_at: when it is decided whether it may wait to the end.
    :param wait_until: when it is rejected if it still waits.
    """

    number: int
    terms: AdmissionTerms
    queued_at: float
    review_at: float
    wait_until: float

    def can_meet_aim(self, service_seconds: float, now: float) -> bool:
        """Tell whether it meets its latency objective if it starts now."""
        is_in_time = now + service_seconds <= self.terms.aim_at
        return self.terms.is_pinned or is_in_time


class Rejection(NamedTuple):
    """A request that is rejected.

    :param retry_seconds: after which it should come back.
    """

    request: AdmissionRequest
    reason: RejectionReason
    retry_seconds: float


class Decisions(NamedTuple):
    """Requests to start and to reject now."""

    started: list[AdmissionRequest]
    rejected: list[Rejection]


def build_admission_request(
    number: int, terms: AdmissionTerms, now: float
) -> AdmissionRequest:
    """Return a request that joins the queue now.

    A statement of an open transaction may wait until its deadline: without it
    the whole transaction is lost.
    """
    if terms.is_pinned:
        return AdmissionRequest(
            number, terms, now, terms.deadline, terms.deadline
        )
    began_at = terms.aim_at - terms.aim_seconds
    late_wait_until = now + terms.aim_seconds * _LATE_WAIT_SHARE
    return AdmissionRequest(
        number,
        terms,
        now,
        began_at + terms.aim_seconds * _REVIEW_SHARE,
        min(max(terms.aim_at, late_wait_until), terms.deadline),
    )
