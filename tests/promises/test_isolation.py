"""Transactions of different callers never mix; answers reach their caller."""

import concurrent.futures
import random
import signal
import time
import unittest

import psycopg

from tests.promises.support import SEED, PromiseCase


class IsolationTest(PromiseCase):
    """Many callers over few connections, with faults in between."""

    def test_open_transactions_do_not_mix(self) -> None:
        """What one caller has not committed no other sees or commits."""
        writer = self.connect(autocommit=False)
        writer.execute("INSERT INTO receipts VALUES ('open', 1)")
        for daemon in range(4):
            other = self.connect(daemon, organisation='red')
            found = other.execute("SELECT id FROM receipts WHERE id = 'open'")
            self.assertEqual(found.fetchall(), [], SEED)
        writer.rollback()

    def test_caller_that_vanishes_leaves_nothing(self) -> None:
        """A caller's death ends its transaction and frees its connection."""
        for number in range(10):
            writer = self.connect(autocommit=False)
            writer.execute(
                'INSERT INTO receipts VALUES (%s, 1)', (f'gone-{number}',)
            )
            writer.pgconn.finish()
        reader = self.connect()
        found = reader.execute("SELECT id FROM receipts WHERE id LIKE 'gone%'")
        self.assertEqual(found.fetchall(), [], SEED)
        reader.execute("INSERT INTO receipts VALUES ('after', 1)")

    def test_daemon_dies_inside_a_transaction(self) -> None:
        """A daemon's death rolls back what was open there."""
        writer = self.connect(daemon=3, autocommit=False)
        writer.execute("INSERT INTO receipts VALUES ('dying', 1)")
        self.cluster.kill('daemon-3')
        with self.assertRaises(psycopg.OperationalError):
            writer.execute('SELECT 1')
        reader = self.connect(daemon=0)
        found = reader.execute("SELECT id FROM receipts WHERE id = 'dying'")
        self.assertEqual(found.fetchall(), [], SEED)
        reader.execute("INSERT INTO receipts VALUES ('dying', 2)")

    def test_answers_reach_their_own_caller(self) -> None:
        """Every answer is the one to the caller's own question."""
        with concurrent.futures.ThreadPoolExecutor(24) as pool:
            list(pool.map(self.ask_own_questions, range(24)))

    def ask_own_questions(self, number: int) -> None:
        """Ask for numbers that nobody else asks for, cancelling some."""
        chooser = random.Random(f'{SEED}/{number}')
        caller = self.connect(daemon=number % 4)
        for turn in range(25):
            question = number * 1000 + turn
            seconds = chooser.choice((0, 0, 0.02))
            if chooser.random() < 0.15:
                self.ask_and_cancel(caller, question)
            found = caller.execute(
                f'SELECT %s + 0, pg_sleep({seconds})', (question,)
            )
            self.assertEqual(found.fetchone()[0], question, SEED)

    def ask_and_cancel(self, caller: psycopg.Connection, number: int) -> None:
        """Send a slow question and cancel it, sometimes too late."""
        caller.pgconn.send_query(f'SELECT {number}, pg_sleep(0.05)'.encode())
        time.sleep(0.03)
        caller.cancel()
        answers = iter(caller.pgconn.get_result, None)
        self.assertGreater(len(list(answers)), 0)

    def test_late_answer_reaches_nobody(self) -> None:
        """A connection whose statement timed out is given to nobody."""
        self.cluster.signal('north-1', signal.SIGSTOP)
        self.cluster.signal('north-2', signal.SIGSTOP)
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            asked = [
                pool.submit(self.ask_while_frozen, number)
                for number in range(8)
            ]
            time.sleep(1)
            self.cluster.signal('north-1', signal.SIGCONT)
            self.cluster.signal('north-2', signal.SIGCONT)
            for one in asked:
                one.result(timeout=30)

    def ask_while_frozen(self, number: int) -> None:
        """Ask until an answer comes, and check that it is the right one."""
        caller = self.connect(daemon=number % 4)
        for turn in range(20):
            question = number * 100 + turn
            try:
                found = caller.execute('SELECT %s + 0', (question,))
            except psycopg.Error:
                continue
            self.assertEqual(found.fetchone(), (question,), SEED)

    def test_session_state_does_not_leak(self) -> None:
        """What would outlive a transaction on a connection is refused."""
        caller = self.connect()
        for statement in (
            "SET search_path = 'other'",
            "SELECT set_config('search_path', 'other', false)",
            'CREATE TEMP TABLE mine (one INTEGER)',
            'PREPARE mine AS SELECT 1',
            "SELECT * FROM group_fence(9, 'me')",
        ):
            with self.assertRaises(psycopg.errors.FeatureNotSupported):
                caller.execute(statement)
        self.assertEqual(caller.execute('SELECT 1').fetchone(), (1,))


if __name__ == '__main__':
    unittest.main()
