"""Counters and timings, sent to statsd once a second.

docs/ref/metrics.md lists the names.
"""

import collections
from typing import Final

import statsd

_KEPT_TIMINGS: Final = 1000
_MILLISECONDS: Final = 1000


class Metrics:
    """Gather metrics between two sends."""

    def __init__(self, host: str, port: int, prefix: str) -> None:
        """Take the address of statsd; without a host nothing is sent."""
        self._client = (
            statsd.StatsClient(host, port, prefix=prefix) if host else None
        )
        self._counts: collections.Counter[str] = collections.Counter()
        self._totals: collections.Counter[str] = collections.Counter()
        self._timings: list[tuple[str, float]] = []
        self._gauges: dict[str, float] = {}

    @property
    def totals(self) -> dict[str, int]:
        """Return all counts since the start."""
        return dict(self._totals + self._counts)

    def count(self, name: str, number: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] += number

    def time(self, name: str, seconds: float) -> None:
        """Record a duration; beyond a bound between sends it is left out."""
        if len(self._timings) < _KEPT_TIMINGS:
            self._timings.append((name, seconds))

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge."""
        self._gauges[name] = level

    def send(self) -> None:
        """Send what was gathered and start anew."""
        self._totals.update(self._counts)
        if self._client is not None:
            with self._client.pipeline() as pipeline:
                self._fill(pipeline)
        self._counts.clear()
        self._timings.clear()

    def _fill(self, pipeline) -> None:
        for name, number in self._counts.items():
            pipeline.incr(name, number)
        for timed, seconds in self._timings:
            pipeline.timing(timed, seconds * _MILLISECONDS)
        for gauge, level in self._gauges.items():
            pipeline.gauge(gauge, level)
