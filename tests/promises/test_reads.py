"""Every session reads its writes, wherever it roams."""

import time
import unittest

import psycopg

from standins.cluster import Shape
from tests.promises.support import (
    SEED,
    SHAPE,
    PromiseCase,
    SharedPromiseCase,
)

LAG_MS = 400.0


class RoamingTest(SharedPromiseCase):
    """Replicas apply late; sessions move between daemons."""

    has_proxy = False
    shape: Shape = SHAPE._replace(lag_ms=LAG_MS)

    def write(self, ident: str) -> str:
        """Write a receipt and return the floor token."""
        caller = self.connect()
        caller.execute('INSERT INTO receipts VALUES (%s, 1)', (ident,))
        token = caller.info.parameter_status('comfreystair.floor')
        self.assertTrue(token)
        return str(token)

    def count(self, caller: psycopg.Connection, ident: str) -> int:
        """Count receipts of an ident."""
        found = caller.execute(
            'SELECT COUNT(*) FROM receipts WHERE id = %s', (ident,)
        )
        return found.fetchone()[0]

    def count_reads(self) -> tuple[int, int]:
        """Return reads served by replicas and by primaries so far."""
        counts = [state['counts'] for state in self.cluster.list_status()]
        return (
            sum(one.get('reads.replica', 0) for one in counts),
            sum(one.get('reads.primary', 0) for one in counts),
        )

    def test_without_a_token(self) -> None:
        """A new session at another daemon sees what was written before."""
        for number in range(20):
            self.write(f'plain-{number}')
            other = self.connect(daemon=number % 4)
            self.assertEqual(self.count(other, f'plain-{number}'), 1, SEED)
            other.close()

    def test_with_a_token(self) -> None:
        """A token raises the floor of the session that brings it."""
        for number in range(20):
            token = self.write(f'token-{number}')
            other = self.connect(
                daemon=number % 4, options=f'-c comfreystair.floor={token}'
            )
            self.assertEqual(self.count(other, f'token-{number}'), 1, SEED)
            other.close()

    def test_open_session_takes_a_token(self) -> None:
        """A session that is already open can be told of a write."""
        reader = self.connect(daemon=2)
        self.count(reader, 'none')
        for number in range(10):
            token = self.write(f'open-{number}')
            setting = token if number % 2 else 'now'
            reader.execute(f"SET comfreystair.floor = '{setting}'")
            self.assertEqual(self.count(reader, f'open-{number}'), 1, SEED)

    def test_stated_age_keeps_the_floor(self) -> None:
        """A read of a stated age still sees the session's own write."""
        caller = self.connect(daemon=1)
        for number in range(10):
            caller.execute(
                'INSERT INTO receipts VALUES (%s, 1)', (f'aged-{number}',)
            )
            found = caller.execute(
                '/* comfreystair route=badge */ SELECT COUNT(*) '
                'FROM receipts WHERE id = %s',
                (f'aged-{number}',),
            )
            self.assertEqual(found.fetchone(), (1,), SEED)

    def test_stated_age_is_served_by_replicas(self) -> None:
        """A read that accepts two seconds is served by late replicas."""
        self.write('aged')
        time.sleep(2 * LAG_MS / 1000)
        reader = self.connect(daemon=3)
        self.count(reader, 'aged')
        before = self.count_reads()
        for _ in range(50):
            reader.execute(
                '/* comfreystair route=badge */ SELECT COUNT(*) FROM receipts'
            )
        after = self.count_reads()
        self.assertGreaterEqual(after[0] - before[0], 50)

    def test_damaged_token_is_refused(self) -> None:
        """A token of another database, or none, gets an error."""
        with self.assertRaises(psycopg.OperationalError):
            self.connect(options='-c comfreystair.floor=bm90aGluZw==')

    def test_transaction_reads_its_writes(self) -> None:
        """Reads inside a transaction see what it wrote."""
        caller = self.connect(autocommit=False)
        caller.execute("INSERT INTO receipts VALUES ('inside', 1)")
        self.assertEqual(self.count(caller, 'inside'), 1)
        caller.commit()
        self.assertEqual(self.count(caller, 'inside'), 1)
        caller.commit()


class LateReplicasTest(PromiseCase):
    """Replicas far behind: writes go on, reads stay right."""

    has_proxy = False
    shape: Shape = SHAPE._replace(lag_ms=3000.0)

    def test_workload_with_replicas_seconds_behind(self) -> None:
        """Receipts are read back at once through any daemon."""
        load = self.start_workload(writers=3, readers=2)
        self.wait_for_writes(load, 100)
        self.check_receipts(load)


if __name__ == '__main__':
    unittest.main()
