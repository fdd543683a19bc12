"""Odd entries among those of the targets, with real processes."""

import base64
import time
import unittest

from standins.platform.deployment import TARGETS, Caller
from tests.platform.odd_entries import list_odd_blobs
from tests.platform.support import start_deployment

# A change of primary is over within this time, in seconds.
CHANGE_SECONDS = 6.0
# Entries are read once a second.
NOTICE_SECONDS = 2.5


class OddEntriesTest(unittest.TestCase):
    """All kinds of odd entries at once."""

    def setUp(self) -> None:
        """Start the deployment and write the entries."""
        self.deployment = start_deployment(self)
        self.assertTrue(self.write('before'))
        self.deployment.command(
            put={
                f'servers/odd-{number}': base64.b64encode(blob).decode()
                for number, blob in enumerate(list_odd_blobs())
            }
        )
        time.sleep(NOTICE_SECONDS)

    def write(self, text: str) -> bool:
        """Write until it is acknowledged or the time has passed."""
        give_up_at = time.monotonic() + CHANGE_SECONDS
        while time.monotonic() < give_up_at:
            caller = Caller(self.deployment.callers_ports[0], 'strict')
            line = caller.ask(f'WRITE badge {text}')[0]
            caller.close()
            if line.startswith('COMPLETE'):
                return True
            time.sleep(0.05)
        return False

    def test_primary_is_replaced(self) -> None:
        """Guards against an entry that stops changes of primary."""
        self.deployment.command(kill=TARGETS[0])
        self.assertTrue(self.write('after'))
        promotions = self.deployment.command()['promotions']
        self.assertEqual(len(promotions), 1)
        logged = self.deployment.read_log(0) + self.deployment.read_log(1)
        self.assertIn('event=entry_left_out', logged)
        self.assertNotIn('Task Crash', logged)

    def test_leaving_target_is_noticed(self) -> None:
        """Guards against lists that are not read any more."""
        self.deployment.command(draining=TARGETS[0])
        give_up_at = time.monotonic() + CHANGE_SECONDS
        while self.deployment.command()['primaries'] == [TARGETS[0]]:
            self.assertLess(time.monotonic(), give_up_at)
            time.sleep(0.1)


if __name__ == '__main__':
    unittest.main()
