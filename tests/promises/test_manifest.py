"""An accepted manifest is in force everywhere and never reverts."""

import concurrent.futures
import json
import signal
import unittest

from tests.promises.support import SEED, PromiseCase


class ManifestTest(PromiseCase):
    """Races, lost answers, outages, slow daemons."""

    has_proxy = False

    def list_generations(self) -> list[int]:
        """Return the generation of every daemon that answers."""
        return [state['generation'] for state in self.cluster.list_status()]

    def wait_for_generation(self, generation: int, daemons: int = 4) -> None:
        """Wait until daemons have a generation."""
        self.wait_for(
            lambda: (
                len(self.list_generations()) == daemons
                and set(self.list_generations()) == {generation}
            ),
            f'generation {generation} at {daemons} daemons',
        )

    def build_with_rate(self, rate: float) -> dict:
        """Build a manifest that differs by one rate."""
        manifest = self.cluster.build_manifest()
        manifest['organisations'][0]['rate'] = rate
        return manifest

    def test_racing_operators(self) -> None:
        """Of operators who expect the same generation, one wins."""
        paths = []
        for number in range(4):
            path = self.cluster.directory / f'race-{number}.json'
            path.write_text(json.dumps(self.build_with_rate(100 + number)))
            paths.append(path)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            ran = list(pool.map(self.ship_expecting_first, paths))
        codes = sorted(one.returncode for one in ran)
        self.assertEqual(codes, [0, 3, 3, 3], SEED)
        losers = [one for one in ran if one.returncode]
        for loser in losers:
            self.assertIn('generation 2', loser.stderr)
            self.assertIn('organisations.blue.rate', loser.stdout)
        self.wait_for_generation(2)

    def ship_expecting_first(self, path):
        """Ship a file that shall replace generation 1."""
        return self.cluster.run_command(
            'manifest',
            'ship',
            str(path),
            '--store',
            self.cluster.store,
            '--expect',
            '1',
            '--by',
            path.stem,
        )

    def test_lost_answer_is_resolved(self) -> None:
        """A change whose answer is lost is found by reading back."""
        self.cluster.set_fault('lose_writes')
        ran = self.cluster.ship(self.build_with_rate(77))
        self.cluster.set_fault('up')
        self.assertEqual(ran.returncode, 0, ran.stderr)
        self.assertIn('generation 2', ran.stdout)
        self.wait_for_generation(2)

    def test_store_down_is_told(self) -> None:
        """Shipping while the store is down exits with its own code."""
        self.cluster.set_fault('down')
        ran = self.cluster.ship(self.build_with_rate(78), '--seconds', '0.2')
        self.assertEqual(ran.returncode, 4, ran.stderr)
        self.cluster.set_fault('up')
        self.wait_for_generation(1)

    def test_paused_daemon_catches_up(self) -> None:
        """A daemon that slept through a change has it when it wakes."""
        self.cluster.signal('daemon-2', signal.SIGSTOP)
        self.cluster.ship(self.build_with_rate(79))
        self.wait_for_generation(2, daemons=3)
        self.cluster.signal('daemon-2', signal.SIGCONT)
        self.wait_for_generation(2)

    def test_daemon_started_during_an_outage(self) -> None:
        """A new daemon learns the manifest from its peers."""
        self.cluster.ship(self.build_with_rate(80))
        self.wait_for_generation(2)
        self.cluster.kill('daemon-3')
        self.cluster.set_fault('down')
        self.cluster.restart('daemon-3')
        self.wait_for_peer_seed()
        self.wait_for_generation(2)

    def wait_for_peer_seed(self) -> None:
        """Wait until the others have reached the new process."""
        self.wait_for(lambda: len(self.list_generations()) == 4, 'four daemons')

    def test_wrong_manifest_is_refused(self) -> None:
        """A manifest with errors is not shipped; each is named."""
        manifest = self.cluster.build_manifest()
        manifest['services'][0]['database'] = 'nowhere'
        manifest['organisations'][0]['rate'] = -1
        ran = self.cluster.ship(manifest)
        self.assertEqual(ran.returncode, 1)
        self.assertIn('manifest.E006', ran.stdout)
        self.assertIn('manifest.E011', ran.stdout)
        self.assertEqual(set(self.list_generations()), {1})

    def test_malformed_manifest_is_one_line(self) -> None:
        """What is no manifest at all gets one line and exit 2."""
        ran = self.cluster.ship({'version': 'one'})
        self.assertEqual(ran.returncode, 2)
        self.assertEqual(len(ran.stderr.splitlines()), 1)
        self.assertIn('$.version', ran.stderr)


if __name__ == '__main__':
    unittest.main()
