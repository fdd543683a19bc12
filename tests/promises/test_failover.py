"""A primary fails: nothing acknowledged is lost, what is told is true."""

import concurrent.futures
import signal
import time
import unittest

import psycopg

from tests.promises.support import SEED, WAIT_SECONDS, PromiseCase


class FailoverTest(PromiseCase):
    """One fault each, with callers writing and reading meanwhile."""

    def find_primary(self) -> str | None:
        """Return the primary that most daemons see."""
        seen = [
            state['databases']['north']['primary']
            for state in self.cluster.list_status()
        ]
        return max(seen, key=seen.count) if seen else None

    def wait_for_change(self) -> None:
        """Wait until another target than the first is primary."""
        self.wait_for(
            lambda: self.find_primary() in {'north-1', 'north-2'},
            'a change of primary',
        )

    def test_killed(self) -> None:
        """The primary is killed."""
        load = self.start_workload()
        self.cluster.kill('north-0')
        self.wait_for_change()
        self.wait_for_writes(load, 50)
        self.check_receipts(load)

    def test_killed_while_the_store_is_down(self) -> None:
        """The platform's store is down throughout."""
        load = self.start_workload()
        self.cluster.set_fault('down')
        self.cluster.kill('north-0')
        self.wait_for_change()
        self.wait_for_writes(load, 50)
        self.check_receipts(load)

    def test_frozen_and_resumed(self) -> None:
        """The primary stops, is replaced, and resumes as if nothing were."""
        load = self.start_workload()
        self.cluster.signal('north-0', signal.SIGSTOP)
        self.wait_for_change()
        self.wait_for_writes(load, 50)
        self.cluster.signal('north-0', signal.SIGCONT)
        self.wait_for_writes(load, 100)
        self.check_receipts(load)

    def test_cut_off_from_all_but_one_daemon(self) -> None:
        """One daemon still reaches the primary that the others replace."""
        load = self.start_workload()
        others = [name for name in self.cluster.daemons if name != 'daemon-0']
        self.cluster.set_rules(
            *self.cluster.cut(['north-0'], ['north-1', 'north-2', *others])
        )
        self.wait_for_change()
        self.wait_for_writes(load, 50)
        self.cluster.set_rules()
        self.wait_for_writes(load, 100)
        self.check_receipts(load)

    def test_second_failure_during_the_first(self) -> None:
        """The successor stops too; service resumes when it does."""
        load = self.start_workload()
        self.cluster.kill('north-0')
        self.cluster.signal('north-2', signal.SIGSTOP)
        load.run_for(2)
        self.cluster.signal('north-2', signal.SIGCONT)
        self.wait_for_change()
        self.wait_for_writes(load, 50)
        self.check_receipts(load)

    def test_promotion_answer_lost(self) -> None:
        """The first two orders to promote take effect unheard."""
        load = self.start_workload()
        self.cluster.set_rules(
            {'mode': 'lose', 'match': 'group_promote', 'times': 2}
        )
        self.cluster.kill('north-0')
        self.wait_for_change()
        self.wait_for_writes(load, 50)
        self.check_receipts(load)

    def test_promoter_paused_between_steps(self) -> None:
        """An order to promote arrives seconds late, twice."""
        load = self.start_workload()
        self.cluster.set_rules(
            {'mode': 'hold', 'match': 'group_promote', 'ms': 3000, 'times': 2}
        )
        self.cluster.kill('north-0')
        self.wait_for_change()
        self.wait_for_writes(load, 50)
        load.run_for(3)
        self.check_receipts(load)

    def test_idempotency_keys_across_the_change(self) -> None:
        """Renewals that are repeated until done count once each."""
        self.connect().execute("INSERT INTO permits VALUES (1, 'ana', 0)")
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            renewed = [pool.submit(self.renew, key) for key in range(60)]
            self.wait_for(
                lambda: sum(one.done() for one in renewed) > 5, 'renewals'
            )
            self.cluster.kill('north-0')
            for one in renewed:
                one.result(timeout=60)
        found = self.connect().execute('SELECT renewals FROM permits')
        self.assertEqual(found.fetchone(), (60,), SEED)

    def renew(self, key: int) -> None:
        """Repeat one renewal with its key until it is acknowledged."""
        statement = (
            f'/* comfreystair route=renew key=renewal-{key} */ '
            'UPDATE permits SET renewals = renewals + 1 WHERE id = 1'
        )
        deadline = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < deadline:
            try:
                with self.connect(key % 4) as caller:
                    caller.execute(statement)
            except psycopg.Error:
                time.sleep(0.05)
            else:
                return
        self.fail(f'seed {SEED}: renewal {key} was never acknowledged')

    def test_promoters_apart(self) -> None:
        """Daemons that can't hear each other both try to promote."""
        load = self.start_workload()
        near = ['daemon-0', 'daemon-1']
        far = ['daemon-2', 'daemon-3']
        self.cluster.set_rules(*self.cluster.cut(near, far))
        self.cluster.kill('north-0')
        self.wait_for_change()
        self.wait_for_writes(load, 50)
        self.check_receipts(load)


if __name__ == '__main__':
    unittest.main()
