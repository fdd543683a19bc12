"""Changes of primary with synchronous replication, with real processes."""

import time
import unittest

from standins.platform.deployment import (
    KEY,
    TARGETS,
    Caller,
    Deployment,
    build_plan,
)
from tests.platform.support import start_deployment

# A change of primary is over within this time, in seconds.
CHANGE_SECONDS = 6.0
# Entries and plans are read once a second.
NOTICE_SECONDS = 2.5
PRIMARY, SECOND, THIRD = TARGETS


class SyncReplicasTest(unittest.TestCase):
    """One group of three targets, of which one replica acknowledges."""

    def setUp(self) -> None:
        """Start the deployment and write what must not be lost."""
        self.deployment: Deployment = start_deployment(self)
        plan = build_plan([KEY], version=2, sync_replicas=1)
        self.deployment.command(plan=plan)
        time.sleep(NOTICE_SECONDS)

    def write(self, text: str, seconds: float = CHANGE_SECONDS) -> bool:
        """Write until it is acknowledged or the time has passed."""
        give_up_at = time.monotonic() + seconds
        while time.monotonic() < give_up_at:
            if self.ask(f'WRITE badge {text}').startswith('COMPLETE'):
                return True
            time.sleep(0.1)
        return False

    def ask(self, text: str) -> str:
        """Return the first line of an answer, on a session of its own."""
        caller = Caller(self.deployment.callers_ports[0], 'strict')
        try:
            return caller.ask(text)[0]
        finally:
            caller.close()

    def read_after_change(self, seconds: float = CHANGE_SECONDS) -> str:
        """Return the row as the next primary has it, empty without one."""
        give_up_at = time.monotonic() + seconds
        while time.monotonic() < give_up_at:
            line = self.ask('READ badge')
            if line.startswith('ROW'):
                return line
            time.sleep(0.1)
        return ''

    def test_draining_replica_holds_what_a_deaf_one_lacks(self) -> None:
        """Guards against the promotion of a deaf replica."""
        self.assertTrue(self.write('old'))
        self.deployment.command(draining=SECOND)
        self.deployment.command(deaf=THIRD)
        time.sleep(NOTICE_SECONDS)
        self.assertTrue(self.write('paid'))
        self.deployment.command(kill=PRIMARY)
        self.assertEqual(self.read_after_change(), 'ROW paid')

    def test_busy_replica_is_waited_for(self) -> None:
        """Guards against a promotion by the first round of reports."""
        self.deployment.command(deaf=THIRD)
        self.assertTrue(self.write('paid'))
        self.deployment.command(busy=SECOND)
        self.deployment.command(kill=PRIMARY)
        self.assertEqual(self.read_after_change(4), '')
        self.deployment.command(busy=SECOND, is_over=True)
        self.assertEqual(self.read_after_change(), 'ROW paid')

    def test_crashed_replica_may_hold_what_a_deaf_one_lacks(self) -> None:
        """Guards against a promotion without a proof; all is well later."""
        self.deployment.command(deaf=THIRD)
        self.assertTrue(self.write('paid'))
        self.deployment.command(kill=SECOND)
        self.deployment.command(kill=PRIMARY)
        self.assertEqual(self.read_after_change(), '')
        self.deployment.command(revive=SECOND)
        self.assertEqual(self.read_after_change(2 * CHANGE_SECONDS), 'ROW paid')

    def test_primary_comes_back_with_its_log(self) -> None:
        """Its log proves which target holds everything: itself."""
        self.deployment.command(deaf=THIRD)
        self.assertTrue(self.write('paid'))
        self.deployment.command(kill=SECOND)
        self.deployment.command(kill=PRIMARY)
        self.assertEqual(self.read_after_change(3), '')
        self.deployment.command(revive=PRIMARY)
        self.assertEqual(self.read_after_change(2 * CHANGE_SECONDS), 'ROW paid')

    def test_replica_lost_long_before_is_not_needed(self) -> None:
        """Guards against a group that waits for a replica that is gone."""
        self.deployment.command(kill=SECOND)
        give_up_at = time.monotonic() + 2 * CHANGE_SECONDS
        while not self.have_settled():
            self.assertLess(time.monotonic(), give_up_at)
            self.write('paid')
            time.sleep(0.2)
        self.assertTrue(self.write('renewed'))
        self.deployment.command(kill=PRIMARY)
        self.assertEqual(self.read_after_change(), 'ROW renewed')

    def have_settled(self) -> bool:
        """Tell whether both instances know that the loss is harmless."""
        logs = (self.deployment.read_log(number) for number in (0, 1))
        return all('event=losses_settled' in one for one in logs)


if __name__ == '__main__':
    unittest.main()
