"""More callers than the descriptors of an instance allow."""

import time
import unittest

from standins.platform.deployment import Caller
from tests.platform.support import start_deployment

# Seven tenths of the 60 that are not kept for files.
DESCRIPTORS = 260
MOST_CALLERS = 42
CALLERS = 60


class DescriptorsTest(unittest.TestCase):
    """All callers of a lost instance come to one."""

    def setUp(self) -> None:
        """Start instances with few descriptors."""
        self.deployment = start_deployment(self, {'descriptors': DESCRIPTORS})
        self.callers: list[Caller] = []
        self.addCleanup(self.close_all)

    def close_all(self) -> None:
        """Close all sessions."""
        while self.callers:
            self.callers.pop().close()

    def connect(self) -> str:
        """Open a session that stays, and return the greeting."""
        self.callers.append(Caller(self.deployment.callers_ports[0], 'loose'))
        return self.callers[-1].greeting

    def test_callers_beyond_the_limit_are_told_to_come_back(self) -> None:
        """Guards against an instance that stops taking callers for good."""
        greetings = [self.connect() for _ in range(CALLERS)]
        served = [one for one in greetings if one.startswith('READY')]
        refused = [one for one in greetings if one not in served]
        self.assertEqual(len(served), MOST_CALLERS)
        for one in refused:
            self.assertRegex(one, 'ERROR BUSY .*not run, retry after .* ms')
        self.close_all()
        give_up_at = time.monotonic() + 3
        while not self.connect().startswith('READY'):
            self.assertLess(time.monotonic(), give_up_at)
            time.sleep(0.1)


if __name__ == '__main__':
    unittest.main()
