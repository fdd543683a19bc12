"""The whole path: an ordinary driver reaches a target and back."""

import pathlib
import tempfile
import threading
import unittest

import curio
import psycopg
from pygwire import messages

from standins import pgclient
from standins.cluster import Cluster, Shape

SHAPE = Shape(
    name='lima',
    zones=('lima-a', 'lima-b', 'lima-c'),
    databases=('north',),
    daemons=2,
    slots=2,
    connections=35,
    organisations={'blue': (2000, 400), 'red': (500, 100)},
)


class PathTest(unittest.TestCase):
    """A driver that knows nothing of the proxy."""

    @classmethod
    def setUpClass(cls) -> None:
        """Start one deployment for all tests."""
        cls.directory = tempfile.TemporaryDirectory()
        cls.cluster = Cluster(SHAPE, pathlib.Path(cls.directory.name))
        cls.addClassCleanup(cls.directory.cleanup)
        cls.addClassCleanup(cls.cluster.stop)
        cls.cluster.start()

    def connect(self, daemon: int = 0, organisation: str = 'blue', **options):
        """Connect through a daemon."""
        dsn = self.cluster.find_dsn(f'daemon-{daemon}', organisation, 'north')
        options.setdefault('autocommit', True)
        connection = psycopg.connect(dsn, **options)
        self.addCleanup(connection.close)
        return connection

    def test_reads_and_writes_with_parameters(self) -> None:
        """Parameters arrive and rows come back."""
        caller = self.connect()
        caller.execute('INSERT INTO permits VALUES (%s, %s, %s)', (1, 'ana', 0))
        found = caller.execute('SELECT * FROM permits WHERE id = %s', (1,))
        self.assertEqual(found.fetchall(), [(1, 'ana', 0)])

    def test_prepared_statement_survives_pooling(self) -> None:
        """A statement that the driver prepares runs on any connection."""
        caller = self.connect()
        for number in range(30):
            found = caller.execute('SELECT %s + 1', (number,)).fetchone()
            self.assertEqual(found, (number + 1,))

    def test_rollback_leaves_nothing(self) -> None:
        """What a transaction did is gone after a rollback."""
        caller = self.connect(autocommit=False)
        caller.execute('INSERT INTO permits VALUES (2, %s, 0)', ('eva',))
        caller.rollback()
        found = caller.execute('SELECT * FROM permits WHERE id = 2')
        self.assertEqual(found.fetchall(), [])
        caller.commit()

    def test_commit_is_read_elsewhere(self) -> None:
        """A new session at another daemon reads what was committed."""
        caller = self.connect(autocommit=False)
        caller.execute('INSERT INTO permits VALUES (3, %s, 0)', ('leo',))
        caller.commit()
        other = self.connect(daemon=1)
        found = other.execute('SELECT holder FROM permits WHERE id = 3')
        self.assertEqual(found.fetchall(), [('leo',)])

    def test_two_cursors_take_turns(self) -> None:
        """Two cursors of one connection keep their own rows."""
        caller = self.connect()
        first = caller.execute('SELECT 1')
        second = caller.execute('SELECT 2')
        self.assertEqual(first.fetchone(), (1,))
        self.assertEqual(second.fetchone(), (2,))

    def test_cancel_ends_a_statement(self) -> None:
        """A cancel request ends what runs."""
        caller = self.connect()
        timer = threading.Timer(0.3, caller.cancel)
        timer.start()
        with self.assertRaises(psycopg.errors.QueryCanceled):
            caller.execute('SELECT pg_sleep(5)')
        timer.join()
        self.assertEqual(caller.execute('SELECT 1').fetchone(), (1,))

    def test_cancel_reaches_another_daemon(self) -> None:
        """The balancer may bring a cancel request to another daemon."""
        error = curio.run(self.cancel_elsewhere)
        self.assertEqual(error.fields['C'], '57014')

    async def cancel_elsewhere(self) -> Exception:
        """Start a statement at one daemon and cancel it through another."""
        here, there = (
            f'127.0.0.1:{self.cluster.daemons[name][0]}'
            for name in ('daemon-0', 'daemon-1')
        )
        caller = await pgclient.connect(
            here,
            {'user': 'blue', 'database': 'north'},
            self.cluster.keys['blue'],
        )
        process_id, secret_key = caller.cancel_key
        request = messages.CancelRequest(
            process_id=process_id, secret_key=secret_key
        )
        running = await curio.spawn(caller.query, 'SELECT pg_sleep(5)')
        await curio.sleep(0.3)
        host, port = there.split(':')
        sock = await curio.open_connection(host, int(port))
        await sock.sendall(request.to_wire())
        with self.assertRaises(curio.TaskError) as caught:
            await running.join()
        return caught.exception.__cause__

    def test_wrong_key_is_refused(self) -> None:
        """A wrong key gets SQLSTATE 28P01."""
        dsn = self.cluster.find_dsn('daemon-0', 'blue', 'north')
        with self.assertRaises(psycopg.OperationalError) as caught:
            psycopg.connect(dsn.replace('key-of', 'not-of'))
        self.assertIn('key not accepted', str(caught.exception))

    def test_target_error_reaches_the_caller(self) -> None:
        """The target's own error arrives, with the trace id added."""
        caller = self.connect()
        with self.assertRaises(psycopg.errors.UndefinedTable) as caught:
            caller.execute('SELECT * FROM nothing_here')
        self.assertIn('comfreystair trace', caught.exception.diag.context)

    def test_unsupported_statements_say_so(self) -> None:
        """COPY and LISTEN get SQLSTATE 0A000 and the session goes on."""
        caller = self.connect()
        for statement in ('LISTEN news', 'COPY permits TO STDOUT'):
            with self.assertRaises(psycopg.errors.FeatureNotSupported):
                caller.execute(statement)
        self.assertEqual(caller.execute('SELECT 1').fetchone(), (1,))

    def test_many_callers_share_few_connections(self) -> None:
        """200 connected callers are served over far fewer connections."""
        callers = [self.connect() for _ in range(200)]
        for number, caller in enumerate(callers):
            found = caller.execute('SELECT %s + 0', (number,)).fetchone()
            self.assertEqual(found, (number,))

    def test_idempotency_key_runs_once(self) -> None:
        """A repeat with the same key returns the first outcome."""
        caller = self.connect()
        caller.execute('INSERT INTO permits VALUES (9, %s, 0)', ('sol',))
        renew = (
            '/* comfreystair route=renew key=r-1 */ '
            'UPDATE permits SET renewals = renewals + 1 WHERE id = 9 '
            'RETURNING renewals'
        )
        self.assertEqual(caller.execute(renew).fetchone(), (1,))
        again = self.connect(daemon=1)
        self.assertEqual(again.execute(renew).fetchone(), (1,))
        found = again.execute('SELECT renewals FROM permits WHERE id = 9')
        self.assertEqual(found.fetchone(), (1,))

    def test_own_settings(self) -> None:
        """The session's own settings are set and shown."""
        caller = self.connect()
        caller.execute("SET comfreystair.route = 'badge'")
        shown = caller.execute('SHOW comfreystair.route').fetchone()
        self.assertEqual(shown, ('badge',))
        with self.assertRaises(psycopg.errors.ReadOnlySqlTransaction):
            caller.execute('DELETE FROM permits WHERE id = 77')


if __name__ == '__main__':
    unittest.main()
