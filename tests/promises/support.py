"""What the promise tests share."""

import pathlib
import tempfile
import time
import unittest
from collections.abc import Callable

import psycopg

from standins.cluster import Cluster, Shape
from standins.workload import Workload

SEED = 20261204
WAIT_SECONDS = 30
ORGANISATIONS = {'blue': (20000.0, 4000.0), 'red': (20000.0, 4000.0)}
SHAPE = Shape(
    name='lima',
    zones=('lima-a', 'lima-b', 'lima-c'),
    databases=('north',),
    daemons=4,
    slots=2,
    connections=35,
    organisations=ORGANISATIONS,
)


class PromiseCase(unittest.TestCase):
    """A deployment behind the fault proxy, for one scenario."""

    shape = SHAPE
    has_proxy = True

    def setUp(self) -> None:
        """Start the deployment."""
        self.cluster = self.start_cluster(self.addCleanup)

    @classmethod
    def start_cluster(cls, add_cleanup: Callable) -> Cluster:
        """Start a deployment that ends with the test."""
        directory = tempfile.TemporaryDirectory()
        add_cleanup(directory.cleanup)
        cluster = Cluster(
            cls.shape, pathlib.Path(directory.name), cls.has_proxy
        )
        add_cleanup(cluster.stop)
        cls.configure(cluster)
        cluster.start()
        return cluster

    @classmethod
    def configure(cls, cluster: Cluster) -> None:
        """Change settings before the start; nothing by default."""

    def connect(
        self, daemon: int = 0, organisation: str = 'blue', **options
    ) -> psycopg.Connection:
        """Connect as an ordinary caller."""
        dsn = self.cluster.find_dsn(
            f'daemon-{daemon}', organisation, self.shape.databases[0]
        )
        options.setdefault('autocommit', True)
        connection = psycopg.connect(dsn, **options)
        self.addCleanup(connection.close)
        return connection

    def wait_for(self, condition: Callable[[], bool], what: str) -> None:
        """Wait until a condition holds, within a bound."""
        deadline = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.05)
        self.fail(f'seed {SEED}: {what} did not come about')

    def start_workload(self, writers: int = 6, readers: int = 3) -> Workload:
        """Start callers at all daemons and let them write a while."""
        load = Workload(self.cluster, SEED)
        daemons = list(self.cluster.daemons)
        database = self.shape.databases[0]
        load.add_writers(writers, database, 'blue', daemons)
        load.add_readers(readers, database, 'red', daemons)
        load.start()
        self.addCleanup(load.stop)
        self.wait_for_writes(load, 50)
        return load

    def wait_for_writes(self, load: Workload, more: int) -> None:
        """Wait until so many more writes were acknowledged."""
        wanted = len(load.list_idents('done')) + more
        self.wait_for(
            lambda: len(load.list_idents('done')) >= wanted,
            f'{wanted} acknowledged writes',
        )

    def check_receipts(self, load: Workload) -> None:
        """Check what callers were told against what there is."""
        load.stop()
        rows = self.connect().execute('SELECT id FROM receipts').fetchall()
        kept = {row[0] for row in rows}
        told = f'seed {SEED}: {load.count_outcomes()}'
        self.assertEqual(load.list_idents('done') - kept, set(), told)
        self.assertEqual(load.list_idents('not run') & kept, set(), told)
        self.assertEqual(load.stale, [], told)


class SharedPromiseCase(PromiseCase):
    """One deployment for all tests of a class; none may break it."""

    @classmethod
    def setUpClass(cls) -> None:
        """Start the deployment once."""
        cls.shared = cls.start_cluster(cls.addClassCleanup)

    def setUp(self) -> None:
        """Take the deployment that is there."""
        self.cluster = self.shared
