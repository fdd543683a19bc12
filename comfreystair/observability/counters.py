"""Counters and a latency histogram in the common text exposition."""

import bisect
import collections
from typing import Final

# Upper bounds of the histogram, in seconds.
_BOUNDS: Final = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)


class Counters:
    """Statements by kind and outcome."""

    def __init__(self) -> None:
        """Start at zero."""
        self._counts: collections.Counter[str] = collections.Counter()
        self._held_back: collections.Counter[str] = collections.Counter()
        self._buckets = [0 for _ in (*_BOUNDS, None)]
        self._seconds = 0.0

    def count(self, outcome: str) -> None:
        """Count one statement."""
        self._counts[outcome] += 1

    def count_held_back(self, outcome: str) -> None:
        """Count one request that got no token of a cold target at once."""
        self._held_back[outcome] += 1

    def time(self, seconds: float) -> None:
        """Count one success in the histogram."""
        self._buckets[bisect.bisect_left(_BOUNDS, seconds)] += 1
        self._seconds += seconds

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
        total = 0
        for bound, count in zip((*_BOUNDS, '+Inf'), self._buckets, strict=True):
            total += count
            lines.append(
                f'comfreystair_statement_seconds_bucket{{le="{bound}"}} {total}'
            )
        lines.extend(
            (
                f'comfreystair_statement_seconds_sum {self._seconds:.6f}',
                f'comfreystair_statement_seconds_count {total}',
            )
        )
        lines.extend(
            f'comfreystair_{name} {level:.6g}' for name, level in gauges.items()
        )
        return '\n'.join((*lines, ''))
