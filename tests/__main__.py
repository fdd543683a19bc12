"""Run all tests: ``python -m tests [PREFIX ...]``.

Tests that KNOWN-RED.txt lists may fail; they are printed. The last line is
``N passed, N failed``.
"""

import pathlib
import sys
import time
import unittest

KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'


def read_known_red() -> dict[str, str]:
    """Return the listed tests with their lines."""
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line.startswith('tests.')]
    return {entry.split()[0]: entry for entry in entries}


class Outcome(unittest.TextTestResult):
    """Print each test with the time it took."""

    def startTest(self, test: unittest.TestCase) -> None:
        """Remember when a test starts."""
        self._started = time.monotonic()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:
        """Print the name and time of slow tests."""
        seconds = time.monotonic() - self._started
        if seconds > 1:
            self.stream.write(f'  {test.id()} took {seconds:.1f} s\n')
        super().stopTest(test)


def main(prefixes: list[str]) -> int:
    """Run the tests and return the exit status."""
    loader = unittest.defaultTestLoader
    if prefixes:
        suite = loader.loadTestsFromNames(prefixes)
    else:
        top = str(pathlib.Path(__file__).parent.parent)
        suite = loader.discover('tests', pattern='test_*.py', top_level_dir=top)
    runner = unittest.TextTestRunner(verbosity=1, resultclass=Outcome)
    outcome = runner.run(suite)
    known = read_known_red()
    failures = [*outcome.failures, *outcome.errors]
    red = [test.id() for test, _trace in failures if test.id() in known]
    failed = len(failures) - len(red)
    for ident in red:
        sys.stdout.write(f'known red: {known[ident]}\n')
    passed = outcome.testsRun - len(failures) - len(outcome.skipped)
    sys.stdout.write(f'{passed} passed, {failed} failed\n')
    return 1 if failed or not outcome.testsRun else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
