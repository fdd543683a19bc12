"""No organisation exceeds its rate and burst over all daemons together."""

import signal
import threading
import time
import unittest

import psycopg

from standins.cluster import Shape
from tests.promises.support import SEED, SHAPE, PromiseCase

RATE = 40.0
BURST = 20.0
CALLERS = 12
SECONDS = 5


class RateTest(PromiseCase):
    """Callers ask for many times the rate, unevenly, under faults."""

    shape: Shape = SHAPE._replace(
        organisations={'blue': (RATE, BURST), 'red': (RATE, BURST)}
    )

    def start_flood(self) -> None:
        """Start callers of which half ask the same daemon."""
        self.done: list[tuple[float, float]] = []
        self.refused: list[str] = []
        self.stop = threading.Event()
        self.threads = [
            threading.Thread(target=self.flood, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]
        for thread in self.threads:
            thread.start()

    def flood(self, number: int) -> None:
        """Ask as fast as answers come."""
        daemon = 0 if number % 2 else number % 4
        dsn = self.cluster.find_dsn(f'daemon-{daemon}', 'blue', 'north')
        while not self.stop.is_set():
            try:
                with psycopg.connect(
                    dsn, autocommit=True, connect_timeout=2
                ) as caller:
                    self.ask_often(caller)
            except psycopg.Error:
                time.sleep(0.05)

    def ask_often(self, caller: psycopg.Connection) -> None:
        """Ask on one connection until it breaks."""
        while not self.stop.is_set():
            started = time.monotonic()
            try:
                caller.execute('SELECT 1')
            except psycopg.errors.ConfigurationLimitExceeded as error:
                self.refused.append(error.diag.message_hint or '')
                time.sleep(0.01)
            else:
                self.done.append((started, time.monotonic()))

    def end_flood(self) -> None:
        """Stop the callers and check every window."""
        self.stop.set()
        for thread in self.threads:
            thread.join(timeout=20)
        self.assertGreater(len(self.done), BURST)
        ended = sorted(self.done, key=lambda request: request[1])
        for start, _end in self.done:
            inside = 0
            for other, end in ended:
                if other < start:
                    continue
                inside += 1
                allowed = RATE * (end - start) + BURST
                self.assertLessEqual(
                    inside, allowed + 1, f'seed {SEED}: window {end - start}'
                )

    def test_steady(self) -> None:
        """Without faults the rate is used, and not exceeded."""
        self.start_flood()
        time.sleep(SECONDS)
        self.end_flood()
        self.assertGreater(len(self.done), RATE * SECONDS / 2)
        self.assertIn('Retry after', self.refused[0])

    def test_daemon_killed_and_restarted(self) -> None:
        """A new process does not start with a full bucket."""
        self.start_flood()
        time.sleep(1)
        self.cluster.kill('daemon-0')
        self.cluster.restart('daemon-0')
        time.sleep(SECONDS)
        self.end_flood()

    def test_daemon_paused(self) -> None:
        """A process that slept does not spend what it slept through."""
        self.start_flood()
        for _ in range(3):
            self.cluster.signal('daemon-0', signal.SIGSTOP)
            time.sleep(0.8)
            self.cluster.signal('daemon-0', signal.SIGCONT)
            time.sleep(0.8)
        self.end_flood()

    def test_store_down_and_daemon_replaced(self) -> None:
        """While the store is down shares stay as they are."""
        self.cluster.set_fault('down')
        self.start_flood()
        time.sleep(1)
        self.cluster.kill('daemon-1')
        self.cluster.restart('daemon-1')
        time.sleep(SECONDS)
        self.end_flood()

    def test_zones_apart(self) -> None:
        """Daemons that can't hear each other stay within their shares."""
        self.start_flood()
        near = ['daemon-0', 'daemon-1']
        self.cluster.set_rules(
            *self.cluster.cut(near, ['daemon-2', 'daemon-3', 'store'])
        )
        time.sleep(SECONDS)
        self.cluster.set_rules()
        time.sleep(1)
        self.end_flood()

    def test_messages_late(self) -> None:
        """Loans that come late are not spent."""
        self.cluster.set_rules(
            {'mode': 'delay', 'destination': 'daemon-1', 'ms': 120},
            {'mode': 'delay', 'destination': 'daemon-2', 'ms': 400},
        )
        self.start_flood()
        time.sleep(SECONDS)
        self.end_flood()


if __name__ == '__main__':
    unittest.main()
