"""Evacuation of zones, with real processes and a stand-in."""

import base64
import pathlib
import tempfile
import time
import unittest

from standins.platform.deployment import TARGETS, Caller, Deployment

BOUND_SECONDS = 5.0
# A change of primary is over within this time, in seconds.
CHANGE_SECONDS = 6.0
ZONES = {
    't-two': 'lima-b',
    't-three': 'lima-c',
    'entry-1': 'lima-b',
    'entry-2': 'lima-c',
}
EMPTY = base64.b64encode(b'{}').decode()


class EvacuationTest(unittest.TestCase):
    """Three zones, each with an instance and a target."""

    def setUp(self) -> None:
        """Start the deployment and write once."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.deployment = Deployment(
            pathlib.Path(directory.name),
            3,
            zones=ZONES,
            bounds={'evacuation_ms': int(BOUND_SECONDS * 1000)},
        )
        self.addCleanup(self.deployment.stop)
        self.deployment.start()
        self.callers = [
            Caller(port, database)
            for port in self.deployment.callers_ports
            for database in ('strict', 'loose')
        ]
        for caller in self.callers:
            self.addCleanup(caller.close)
        self.write('before')

    def write(self, text: str) -> None:
        """Write through an instance until it succeeds."""
        give_up_at = time.monotonic() + 2 * CHANGE_SECONDS
        while not self.callers[0].ask(f'WRITE a {text}')[0].startswith('COM'):
            self.assertLess(time.monotonic(), give_up_at)
            time.sleep(0.05)

    def use(self, seconds: float) -> dict[str, int]:
        """Read and write everywhere; return the runs at each target."""
        before = self.deployment.command()['runs']
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for caller in self.callers:
                caller.ask('READ a')
                caller.ask('WRITE b x')
        after = self.deployment.command()['runs']
        return {one: len(after[one]) - len(before[one]) for one in TARGETS}

    def find_primary(self) -> str:
        """Return the present primary."""
        return self.deployment.command()['primaries'][0]

    def evacuate(self, *zones: str) -> None:
        """Evacuate zones and pass the bound under load."""
        keys = {f'op/evacuate/{zone}': EMPTY for zone in zones}
        self.deployment.command(put=keys)
        self.use(BOUND_SECONDS)

    def test_zone_of_the_primary_is_left_and_used_again(self) -> None:
        """Guards against runs after the bound, and against lost commits."""
        zone = self.deployment.find_zone(self.find_primary())
        self.write('kept')
        self.evacuate(zone)
        runs = self.use(1.0)
        emptied = [
            one for one in TARGETS if self.deployment.find_zone(one) == zone
        ]
        self.assertEqual([runs[one] for one in emptied], [0])
        self.assertNotIn(self.find_primary(), emptied)
        self.assertEqual(self.callers[0].ask('READ a')[0], 'ROW kept')
        self.assertGreater(sum(runs.values()), 0)
        self.deployment.command(remove=[f'op/evacuate/{zone}'])
        time.sleep(BOUND_SECONDS / 2)
        self.assertGreater(self.use(1.0)[emptied[0]], 0)

    def test_all_zones_reject_at_once(self) -> None:
        """Guards against callers that wait where nobody may serve them."""
        self.evacuate('lima-a', 'lima-b', 'lima-c')
        began_at = time.monotonic()
        for caller in self.callers:
            answer = caller.ask('WRITE b x')[0]
            self.assertIn('not run, retry after', answer)
        self.assertLess(time.monotonic() - began_at, 1.0)
        self.assertEqual(set(self.use(0.5).values()), {0})


if __name__ == '__main__':
    unittest.main()
