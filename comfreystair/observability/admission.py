"""Counters and log lines of the admission of requests at targets."""

import collections
from typing import Final, NamedTuple

from comfreystair.observability.counters import Histogram
from comfreystair.observability.decisions import DecisionLog

# Shortest time between two log lines of a target, in seconds.
_LOG_SECONDS: Final = 1.0


class _Kind(NamedTuple):
    """What rejections that are counted together have in common."""

    priority: int
    reason: str


class _RecentRejections:
    """Rejections at one target since its last log line."""

    def __init__(self) -> None:
        self.counts: collections.Counter[_Kind] = collections.Counter()
        self.longest_wait = 0.0
        self.logged_at = float('-inf')


class AdmissionReport:
    """Counts waits and rejections, and logs rejections once a second."""

    def __init__(self, log: DecisionLog) -> None:
        """Start at zero."""
        self._log = log
        self._rejections: collections.Counter[_Kind] = collections.Counter()
        self._waits: dict[int, Histogram] = {}
        self._recent: dict[str, _RecentRejections] = {}

    def record_start(
        self, target: str, priority: int, waited: float, now: float
    ) -> None:
        """Count the wait of a request that starts.

        :param waited: in seconds.
        """
        self._waits.setdefault(priority, Histogram()).add(waited)
        self._log_rejections(target, now)

    def record_rejection(
        self, target: str, priority: int, reason: str, waited: float, now: float
    ) -> None:
        """Count a rejection.

        :param waited: seconds for which the request was at this instance.
        """
        kind = _Kind(priority, reason)
        self._rejections[kind] += 1
        recent = self._recent.setdefault(target, _RecentRejections())
        recent.counts[kind] += 1
        recent.longest_wait = max(recent.longest_wait, waited)
        self._log_rejections(target, now)

    def format(self) -> str:
        """Return the text exposition."""
        name = 'comfreystair_admission_rejections_total'
        lines = [
            f'{name}{{priority="{kind.priority}",reason="{kind.reason}"}} '
            f'{count}\n'
            for kind, count in sorted(self._rejections.items())
        ]
        for priority, waits in sorted(self._waits.items()):
            lines.extend(
                f'{line}\n'
                for line in waits.list_lines(
                    'comfreystair_admission_wait_seconds',
                    f'priority="{priority}"',
                )
            )
        return ''.join(lines)

    def _log_rejections(self, target: str, now: float) -> None:
        """Log a target's rejections, at most once in an interval.

        Those after the last line are logged with the next start.
        """
        recent = self._recent.get(target)
        if recent is None or now - recent.logged_at < _LOG_SECONDS:
            return
        if not recent.counts:
            return
        self._log.write(
            'admission_rejected',
            target=target,
            count=recent.counts.total(),
            kinds=','.join(
                f'{kind.priority}/{kind.reason}:{count}'
                for kind, count in sorted(recent.counts.items())
            ),
            longest_wait=recent.longest_wait,
        )
        recent.counts.clear()
        recent.longest_wait = 0
        recent.logged_at = now
