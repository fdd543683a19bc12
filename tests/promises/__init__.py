"""Proofs of what must always hold, with real processes under failure.

``python -m unittest tests.promises`` runs them all.
"""

import pathlib
import unittest


def load_tests(
    loader: unittest.TestLoader, _standard, pattern: str | None
) -> unittest.TestSuite:
    """Load every module of the package."""
    top = pathlib.Path(__file__).parent.parent.parent
    return loader.discover(
        str(pathlib.Path(__file__).parent),
        pattern=pattern or 'test_*.py',
        top_level_dir=str(top),
    )
