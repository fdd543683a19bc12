"""Pauses that differ between instances, so that they do not act at once."""

import random
from typing import Final

# Part of a pause that it may be shorter or longer by.
_SPREAD: Final = 0.2


def add_jitter(seconds: float) -> float:
    """Return a pause near a length."""
    return seconds * random.uniform(1 - _SPREAD, 1 + _SPREAD)  # noqa: S311
