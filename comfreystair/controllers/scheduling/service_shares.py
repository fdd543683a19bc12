"""Fair sharing of one target between organisations, by service time.

This is start-time fair queueing. The start tag of an organisation is the later
of the virtual time of the queue and the finish tag of the organisation. The
organisation with the lowest start tag runs its next request. The finish tag is
raised by the expected service time when a request is started and corrected
when the request ends, so that an organisation with longer requests runs fewer
of them.
"""

from typing import Final

_INITIAL_SERVICE_SECONDS: Final = 0.002
_SERVICE_TIME_EWMA_WEIGHT: Final = 0.2


class ServiceShares:
    """Tags and expected service times of the organisations at one target."""

    def __init__(self) -> None:
        """Begin without organisations, at virtual time zero."""
        self._virtual_time = 0.0
        self._finish_tags: dict[str, float] = {}
        self._expected_seconds: dict[str, float] = {}

    def find_expected_seconds(self, organisation: str) -> float:
        """Return the expected service time of an organisation's request."""
        return self._expected_seconds.get(
            organisation, _INITIAL_SERVICE_SECONDS
        )

    def find_start_tag(self, organisation: str) -> float:
        """Return the start tag of an organisation that has been activated."""
        return self._finish_tags[organisation]

    def activate(self, organisation: str) -> None:
        """Record that an organisation without waiting requests has one now.

        It gets no credit for the time in which none of its requests waited.
        """
        finish = self._finish_tags.get(organisation, 0)
        self._finish_tags[organisation] = max(self._virtual_time, finish)

    def record_start(self, organisation: str, weight: float = 1) -> None:
        """Charge the expected service time of a request that starts.

        :param weight: of the organisation relative to others.
        """
        start_tag = self._finish_tags[organisation]
        expected = self.find_expected_seconds(organisation)
        self._finish_tags[organisation] = start_tag + expected / weight
        self._virtual_time = max(self._virtual_time, start_tag)

    def record_completion(
        self, organisation: str, seconds: float, weight: float = 1
    ) -> None:
        """Correct the charge of a request that ended.

        :param seconds: its service time.
        """
        expected = self.find_expected_seconds(organisation)
        self._expected_seconds[organisation] = (
            expected + _SERVICE_TIME_EWMA_WEIGHT * (seconds - expected)
        )
        correction = (seconds - expected) / weight
        self._finish_tags[organisation] = (
            self._finish_tags.get(organisation, 0) + correction
        )

    def record_cancellation(self, organisation: str) -> None:
        """Take back the charge of a request that started and did not run."""
        self._finish_tags[organisation] -= self.find_expected_seconds(
            organisation
        )
