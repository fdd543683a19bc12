"""Counters and a latency histogram in the common text exposition."""

import bisect
import collections
from typing import Final

# Upper bounds of the histogram, in seconds.
_BOUNDS: Final = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)


class Histogram:
    """Durations by upper bound, with their sum."""

    def __init__(self) -> None:
        """Start at zero."""
        self._buckets = [0 for _ in (*_BOUNDS, None)]
        self._seconds = 0.0

    def add(self, seconds: float) -> None:
        """Count one duration."""
        self._buckets[bisect.bisect_left(_BOUNDS, seconds)] += 1
        self._seconds += seconds

    def list_lines(self, name: str, labels: str = '') -> list[str]:
        """Return the lines of the text exposition.

        :param labels: that all lines have, such as ``kind="read"``.
        """
        lines: list[str] = []
        prefix = f'{labels},' if labels else ''
        suffix = f'{{{labels}}}' if labels else ''
        total = 0
        for bound, count in zip((*_BOUNDS, '+Inf'), self._buckets, strict=True):
            total += count
            lines.append(f'{name}_bucket{{{prefix}le="{bound}"}} {total}')
        lines.append(f'{name}_sum{suffix} {self._seconds:.6f}')
        lines.append(f'{name}_count{suffix} {total}')
        return lines


class Counters:
    """Statements by kind and outcome."""

    def __init__(self) -> None:
        """Start at zero."""
        self._counts: collections.Counter[str] = collections.Counter()
        self._times = Histogram()
        self._held_back: collections.Counter[str] = collections.Counter()

    def count(self, outcome: str) -> None:
        """Count one statement."""
        self._counts[outcome] += 1

    def count_held_back(self, outcome: str) -> None:
        """Count one request that got no token of a cold target at once."""
        self._held_back[outcome] += 1

    def time(self, seconds: float) -> None:
        """Count one success in the histogram."""
        self._times.add(seconds)

    def format(self, gauges: dict[str, float]) -> str:
        """Return the text exposition."""
        lines = [
            f'comfreystair_statements_total{{outcome="{name}"}} {count}'
            for name, count in sorted(self._counts.items())
        ]
        lines.extend(
            f'comfreystair_cold_held_back_total{{outcome="{name}"}} {count}'
            for name, count in sorted(self._held_back.items())
        )
        lines.extend(self._times.list_lines('comfreystair_statement_seconds'))
        lines.extend(
            f'comfreystair_{name} {level:.6g}' for name, level in gauges.items()
        )
        return '\n'.join((*lines, ''))
