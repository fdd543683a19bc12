"""Random jitter, so that instances do not all act at the same time."""

import random
from typing import Final

# Greatest deviation, as a fraction of the interval.
_JITTER: Final = 0.2


def add_jitter(seconds: float) -> float:
    """Return an interval with a random deviation, both in seconds."""
    return seconds * random.uniform(1 - _JITTER, 1 + _JITTER)  # noqa: S311
