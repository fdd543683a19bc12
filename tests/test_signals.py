"""Signals that arrive in series."""

import os
import signal
import unittest

import curio

from comfreystair.signals import SignalReader

SERIES = (signal.SIGHUP, signal.SIGTERM)


class SignalReaderTest(unittest.TestCase):
    """A process that is told to reload and, right after it, to stop."""

    def setUp(self) -> None:
        """Restore the handlers at the end."""
        for number in SERIES:
            handler = signal.getsignal(number)
            self.addCleanup(signal.signal, number, handler)
        self.addCleanup(signal.set_wakeup_fd, -1)

    def test_signal_right_after_another_is_kept(self) -> None:
        """Guards against a stop that is lost, and a process that is killed."""

        async def read() -> list[int]:
            reader = SignalReader(*SERIES)
            for number in SERIES:
                os.kill(os.getpid(), number)
            async with curio.timeout_after(5):
                return [await reader.read() for _ in SERIES]

        self.assertEqual(curio.run(read), list(SERIES))

    def test_signal_between_two_reads_is_kept(self) -> None:
        """Guards against a gap while the first one is handled."""

        async def read() -> list[int]:
            reader = SignalReader(*SERIES)
            found = []
            for number in SERIES:
                os.kill(os.getpid(), number)
                await curio.sleep(0.01)
            async with curio.timeout_after(5):
                found.append(await reader.read())
                found.append(await reader.read())
            return found

        self.assertEqual(curio.run(read), list(SERIES))


if __name__ == '__main__':
    unittest.main()
