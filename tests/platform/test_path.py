"""The whole path on the platform, with real processes and a stand-in."""

import signal
import time
import unittest

from standins.platform.deployment import (
    KEY,
    ORGANISATION,
    Caller,
    build_plan,
)
from tests.platform.support import start_deployment

# A withdrawn key must stop within this time, in seconds.
REVOKE_SECONDS = 5.0
# A change of primary is over within this time, in seconds.
CHANGE_SECONDS = 6.0


class PathTest(unittest.TestCase):
    """Two instances before one group of three targets."""

    def setUp(self) -> None:
        """Start the deployment."""
        self.deployment = start_deployment(self)

    def connect(self, database: str, number: int = 0, key: str = KEY) -> Caller:
        """Return a session that ends with the test."""
        port = self.deployment.callers_ports[number]
        caller = Caller(port, database, key)
        self.addCleanup(caller.close)
        return caller

    def wait_for_write(self, caller: Caller, seconds: float) -> None:
        """Write until it succeeds."""
        give_up_at = time.monotonic() + seconds
        answer = caller.ask('WRITE a first')
        while answer[0].startswith('ERROR'):
            self.assertLess(time.monotonic(), give_up_at, answer)
            time.sleep(0.05)
            answer = caller.ask('WRITE a first')

    def test_session_reads_its_writes(self) -> None:
        """Each write is seen by the session's next read, 50 times."""
        caller = self.connect('own')
        self.wait_for_write(caller, CHANGE_SECONDS)
        for number in range(50):
            self.assertIn('COMPLETE', caller.ask(f'WRITE a v{number}')[0])
            self.assertEqual(caller.ask('READ a')[0], f'ROW v{number}')

    def test_transactions_and_prepared_statements(self) -> None:
        """A commit keeps what a rollback drops; names work in both."""
        caller = self.connect('strict')
        self.wait_for_write(caller, CHANGE_SECONDS)
        self.assertEqual(caller.ask('PREPARE s WRITE q')[0], 'COMPLETE -')
        caller.ask('BEGIN')
        caller.ask('EXECUTE s b kept')
        self.assertIn('COMPLETE t-', caller.ask('COMMIT')[0])
        caller.ask('BEGIN')
        caller.ask('EXECUTE s b dropped')
        caller.ask('ROLLBACK')
        self.assertEqual(caller.ask('READ b')[0], 'ROW kept')

    def test_item_named_like_a_prepared_statement(self) -> None:
        """Guards against a write that runs a prepared read in its place."""
        caller = self.connect('strict')
        self.wait_for_write(caller, CHANGE_SECONDS)
        caller.ask('PREPARE badge READ q')
        self.assertIn('COMPLETE t-', caller.ask('WRITE badge paid')[0])
        self.assertEqual(caller.ask('READ badge')[0], 'ROW paid')
        caller.ask('BEGIN')
        caller.ask('WRITE badge renewed')
        self.assertIn('COMPLETE t-', caller.ask('COMMIT')[0])
        self.assertEqual(caller.ask('READ badge')[0], 'ROW renewed')

    def test_line_feeds_are_data(self) -> None:
        """Guards against a line feed that ends a statement or a row."""
        caller = self.connect('strict')
        self.wait_for_write(caller, CHANGE_SECONDS)
        note = 'first\nQUERY 00ff WRITE badge smuggled\nCOMPLETE -\nREADY I 1.1'
        self.assertIn('COMPLETE t-', caller.ask(f'WRITE note {note}')[0])
        for _ in range(3):
            self.assertEqual(caller.ask('READ note')[0], f'ROW {note}')
            self.assertEqual(caller.ask('READ badge')[0], 'ROW nothing')
        runs = self.deployment.command()['runs']
        idents = {run[0] for listed in runs.values() for run in listed}
        self.assertNotIn('00ff', idents)

    def test_targets_get_organisation_never_key(self) -> None:
        """Targets see the organisation; key and logs stay apart."""
        caller = self.connect('loose')
        self.wait_for_write(caller, CHANGE_SECONDS)
        self.assertIn('NOAUTH', self.connect('own', key='wrong').greeting)
        seen = self.deployment.command()['runs']
        tenants = {run[1] for runs in seen.values() for run in runs}
        self.assertEqual(tenants, {ORGANISATION})
        time.sleep(0.5)
        logged = self.deployment.read_log(0) + self.deployment.read_log(1)
        self.assertIn('event=plan_in_force', logged)
        self.assertNotIn(KEY, logged + self.deployment.read_metrics(0))

    def test_unknown_database_is_refused(self) -> None:
        """A name without a route gets its own error."""
        self.assertIn('NODB', self.connect('nowhere').greeting)

    def test_withdrawn_key_stops(self) -> None:
        """An open session's statements stop within the bound."""
        caller = self.connect('own')
        self.wait_for_write(caller, CHANGE_SECONDS)
        self.deployment.command(plan=build_plan([], version=2))
        give_up_at = time.monotonic() + REVOKE_SECONDS
        while 'NOAUTH' not in caller.ask('READ a')[0]:
            self.assertLess(time.monotonic(), give_up_at)
            time.sleep(0.05)

    def test_primary_killed(self) -> None:
        """Writes go on at another target, with one promotion."""
        caller = self.connect('own')
        self.wait_for_write(caller, CHANGE_SECONDS)
        self.deployment.command(kill='t-one')
        self.wait_for_write(caller, CHANGE_SECONDS)
        other = self.connect('strict', number=1)
        self.assertEqual(other.ask('READ a')[0], 'ROW first')
        promotions = self.deployment.command()['promotions']
        self.assertEqual(len(promotions), 1)

    def test_store_down_stops_requests_with_keys(self) -> None:
        """Without a proof, statements are refused as not run."""
        caller = self.connect('own')
        self.wait_for_write(caller, CHANGE_SECONDS)
        self.deployment.command(down=True)
        time.sleep(REVOKE_SECONDS)
        self.assertIn('BUSY', caller.ask('READ a')[0])
        self.deployment.command(down=False)
        self.wait_for_write(caller, CHANGE_SECONDS)

    def test_shutdown_answers_and_ends(self) -> None:
        """After SIGTERM an open transaction may end, then the process."""
        caller = self.connect('strict')
        self.wait_for_write(caller, CHANGE_SECONDS)
        caller.ask('BEGIN')
        caller.ask('WRITE a last')
        self.deployment.signal(0, signal.SIGTERM)
        time.sleep(0.3)
        self.assertIn('COMPLETE', caller.ask('COMMIT')[0])
        self.assertEqual(self.deployment.wait_for_end(0, 8), 0)
        self.assertIn('event=stopped', self.deployment.read_log(0))

    def test_resting_transaction_is_rolled_back(self) -> None:
        """After the plan's bound nothing of it is kept."""
        caller = self.connect('strict')
        self.wait_for_write(caller, CHANGE_SECONDS)
        caller.ask('BEGIN')
        caller.ask('WRITE a resting')
        time.sleep(4)
        self.assertIn('ABORTED', caller.ask('COMMIT')[0])
        self.assertEqual(caller.ask('READ a')[0], 'ROW first')

    def test_rate_holds_over_instances(self) -> None:
        """Both instances together admit no more than rate and burst."""
        self.deployment.command(plan=build_plan([KEY], rate=20, version=2))
        time.sleep(1.5)
        callers = [self.connect('strict', number) for number in (0, 1)]
        began_at = time.monotonic()
        served = 0
        while time.monotonic() - began_at < 3:
            for caller in callers:
                served += caller.ask('READ a')[0].startswith('ROW')
        passed = time.monotonic() - began_at
        self.assertLessEqual(served, 20 * passed + 20)
        self.assertGreater(served, 20 * passed / 2)


if __name__ == '__main__':
    unittest.main()
