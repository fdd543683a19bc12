"""Expected waits of the requests for one target."""

from typing import Final

from comfreystair.controllers.scheduling.minimum_share import Level

_INITIAL_SERVICE_SECONDS: Final = 0.02
_EWMA_WEIGHT: Final = 0.1
# A single answer counts at most as this multiple of the average, so that a
# pause of the target isn't taken for its service time afterwards.
_MAX_SERVICE_RATIO: Final = 4
# Bound on the ratio of a wait to its estimate, for the same reason.
_MAX_STRETCH: Final = 8
# A target is silent after this multiple of the service time without an answer,
# and not before the minimum, which is above most statements.
_SILENCE_RATIO: Final = 2
_MIN_SILENCE_SECONDS: Final = 0.03


class WaitEstimator:
    """Estimates waits from service times and from earlier waits.

    Requests of a higher priority that arrive later also go first. How much
    longer a priority therefore waits than the requests before it explain, its
    stretch, is measured.
    """

    def __init__(self) -> None:
        """Start with an assumed service time and without earlier waits."""
        self._service_seconds = _INITIAL_SERVICE_SECONDS
        self._stretches: dict[Level, float] = {}
        self._progress_at = 0.0
        self._resumed_at = float('-inf')

    @property
    def service_seconds(self) -> float:
        """Return the expected service time of a request."""
        return self._service_seconds

    def record_idle_start(self, now: float) -> None:
        """Record that a request starts at a target that ran none."""
        self._progress_at = now

    def record_answer(self, now: float) -> None:
        """Record that a busy target answered."""
        if self.find_silence(now):
            self._resumed_at = now
        self._progress_at = now

    def record_service(self, seconds: float) -> None:
        """Record the service time of a request that was answered."""
        bounded = min(seconds, self._service_seconds * _MAX_SERVICE_RATIO)
        self._service_seconds += _EWMA_WEIGHT * (
            bounded - self._service_seconds
        )

    def record_wait(
        self, level: Level, queued_at: float, waited: float, expected: float
    ) -> None:
        """Record a wait that ended with a start.

        Waits through a silence of the target say nothing about others.

        :param expected: time that the requests before it explain.
        """
        if queued_at < self._resumed_at:
            return
        ratio = min(waited / expected, _MAX_STRETCH) if waited else 1
        stretch = self.find_stretch(level)
        stretch += _EWMA_WEIGHT * (ratio - stretch)
        self._stretches[level] = max(stretch, 1)

    def estimate_turn(self, ahead: int, slots: int) -> float:
        """Return the time until the requests before one have started.

        :param ahead: number of these requests.
        """
        return (ahead + 1) * self._service_seconds / slots

    def find_stretch(self, level: Level) -> float:
        """Return how much longer than estimated a priority waits."""
        return self._stretches.get(level, 1)

    def find_silence(self, now: float) -> float:
        """Return for how long a busy target has been silent, in seconds.

        Zero while answers come.
        """
        silence = now - self._progress_at
        usual = max(
            self._service_seconds * _SILENCE_RATIO, _MIN_SILENCE_SECONDS
        )
        return silence if silence > usual else 0
