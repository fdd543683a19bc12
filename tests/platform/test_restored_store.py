"""The store returns from an older copy, with real processes."""

import time
import unittest

from standins.platform.deployment import KEY, Caller, build_plan
from tests.platform.support import start_deployment

# A version must be in force within this time, in seconds.
CONFIGURATION_SECONDS = 3.0
# An instance refuses requests with keys when its plan is not confirmed for
# this long, in seconds.
UNCONFIRMED_SECONDS = 4.7
# Service is whole again this long after the store's return, in seconds.
RECOVERY_SECONDS = 4.0


class RestoredStoreTest(unittest.TestCase):
    """Two instances before one group, whose store loses its last writes."""

    def setUp(self) -> None:
        """Start the deployment and have two versions that will be lost."""
        self.deployment = start_deployment(self)
        self.wait_for_write(RECOVERY_SECONDS)
        self.deployment.command(save=True)
        for version in (2, 3):
            self.deployment.command(plan=build_plan([KEY], version=version))
            time.sleep(CONFIGURATION_SECONDS / 2)

    def can_write(self, number: int, database: str) -> bool:
        """Tell whether a new session's write is done at an instance."""
        port = self.deployment.callers_ports[number]
        caller = Caller(port, database)
        try:
            if caller.greeting.startswith('ERROR'):
                return False
            return 'COMPLETE' in caller.ask('WRITE a first')[0]
        finally:
            caller.close()

    def wait_for_write(self, seconds: float, database: str = 'own') -> None:
        """Write at both instances until it succeeds."""
        give_up_at = time.monotonic() + seconds
        for number in (0, 1):
            while not self.can_write(number, database):
                self.assertLess(time.monotonic(), give_up_at, number)
                time.sleep(0.05)

    # Guards against: every request is rejected until the next change, because
    # the newest version has a lower revision in the restored store.
    def test_plan_at_lower_revision_is_confirmed(self) -> None:
        """Requests are served long after the return."""
        self.deployment.command(restore=True)
        time.sleep(UNCONFIRMED_SECONDS + RECOVERY_SECONDS)
        self.wait_for_write(RECOVERY_SECONDS)

    # Guards against: a version is never in force, because it has the revision
    # that the version before it had until the store lost its last writes.
    def test_version_at_reused_revision_is_in_force(self) -> None:
        """The route of a version after the return is served in time."""
        lost_revision = self.deployment.command()['revision']
        self.deployment.command(restore=True)
        plan = build_plan([KEY], version=4)
        plan['Routes'].append({**plan['Routes'][0], 'Host': 'added'})
        reused = self.deployment.command(plan=plan)['revision']
        self.assertLessEqual(reused, lost_revision)
        self.wait_for_write(CONFIGURATION_SECONDS, 'added')


if __name__ == '__main__':
    unittest.main()
