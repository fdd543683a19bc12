"""Callers that write and read through daemons and check what they are told."""

import collections
import itertools
import random
import threading
import time
from typing import NamedTuple

import psycopg

from standins.cluster import Cluster

NOT_RUN = frozenset(('57P03', '53400', '28000', '42501', '57P01', '53300'))
UNKNOWN = '08007'
WRITE_SHARE = 0.1
BACKLOG_SECONDS = 0.5
BADGE_SQL = (
    '/* comfreystair route=badge */ '
    'SELECT COUNT(*) FROM permits WHERE holder <> %s'
)


class Event(NamedTuple):
    """One request and what became of it.

    :param outcome: ``done``, ``not run``, ``unknown`` or ``failed``.
    """

    kind: str
    organisation: str
    started: float
    ended: float
    outcome: str
    sqlstate: str
    ident: str = ''


class Workload:
    """Threads of callers, each with a connection that it renews."""

    def __init__(self, cluster: Cluster, seed: int) -> None:
        """Start without callers."""
        self._cluster = cluster
        self._seed = seed
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self._numbers = itertools.count(1)
        self.events: list[Event] = []
        self.stale: list[str] = []

    def add_writers(
        self,
        count: int,
        database: str,
        organisation: str,
        daemons: list[str],
        pause: float = 0.005,
    ) -> None:
        """Add callers that write receipts, and read each back elsewhere."""
        self._add_many(
            self._write_often, count, (database, organisation, daemons, pause)
        )

    def add_readers(
        self,
        count: int,
        database: str,
        organisation: str,
        daemons: list[str],
        pause: float = 0.005,
    ) -> None:
        """Add callers that only read."""
        self._add_many(
            self._read_often, count, (database, organisation, daemons, pause)
        )

    def add_mixed(
        self,
        database: str,
        organisation: str,
        daemons: list[str],
        rate: float,
        threads: int = 2,
    ) -> None:
        """Add callers that send at a rate, a tenth of it writes.

        :param rate: requests a second, over all threads of the organisation.
        """
        for index in range(threads):
            chooser = random.Random(
                f'{self._seed}/{database}/{organisation}/{index}'
            )
            self._add(
                self._send_at_rate,
                (chooser, database, organisation, daemons, rate / threads),
            )

    def start(self) -> None:
        """Start all callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop all callers and wait for them."""
        self._stop.set()
        for thread in self._threads:
            thread.join(timeout=30)

    def run_for(self, seconds: float) -> None:
        """Let the callers run for a while."""
        time.sleep(seconds)

    def list_idents(self, outcome: str) -> set[str]:
        """Return the receipts whose writes had an outcome."""
        return {
            event.ident
            for event in self.events
            if event.kind == 'write' and event.outcome == outcome
        }

    def find_gap(
        self, since: float, kind: str = 'write', database: str = ''
    ) -> float:
        """Return seconds from a time to the first request done after it.

        The request must also have been sent after that time.

        :param database: look at its writes only.
        """
        ended = [
            event.ended
            for event in self.events
            if event.kind == kind
            and event.outcome == 'done'
            and event.started >= since
            and event.ident.startswith(database)
        ]
        return min(ended, default=float('inf')) - since

    def find_longest_wait(self, kind: str) -> float:
        """Return the longest time that a request of a kind took."""
        waits = [
            event.ended - event.started
            for event in self.events
            if event.kind == kind
        ]
        return max(waits, default=0)

    def count_outcomes(self) -> dict[str, int]:
        """Return the number of requests by kind and outcome."""
        counted = collections.Counter(
            f'{event.kind} {event.outcome}' for event in self.events
        )
        return dict(sorted(counted.items()))

    def _add_many(self, run, count: int, arguments: tuple) -> None:
        for index in range(count):
            seed = f'{self._seed}/{run.__name__}/{arguments[0]}/{index}'
            self._add(run, (random.Random(seed), *arguments))

    def _add(self, run, arguments: tuple) -> None:
        self._threads.append(
            threading.Thread(target=run, args=arguments, daemon=True)
        )

    def _write_often(
        self,
        chooser: random.Random,
        database: str,
        organisation: str,
        daemons: list[str],
        pause: float,
    ) -> None:
        callers = _Callers(self._cluster, organisation, database)
        while not self._stop.is_set():
            ident = f'{database}-{next(self._numbers)}'
            event = self._request(
                callers.find(chooser.choice(daemons)),
                'write',
                organisation,
                'INSERT INTO receipts VALUES (%s, 1)',
                ident,
            )
            if event.outcome == 'done':
                self._read_back(callers, chooser.choice(daemons), ident)
            self._stop.wait(pause * chooser.random() * 2)
        callers.close()

    def _send_at_rate(
        self,
        chooser: random.Random,
        database: str,
        organisation: str,
        daemons: list[str],
        rate: float,
    ) -> None:
        callers = _Callers(self._cluster, organisation, database)
        due = time.monotonic()
        while not self._stop.is_set():
            due += chooser.expovariate(rate)
            caller = callers.find(chooser.choice(daemons))
            if chooser.random() < WRITE_SHARE:
                ident = f'{database}-{next(self._numbers)}'
                sql = 'INSERT INTO receipts VALUES (%s, 1)'
                self._request(caller, 'write', organisation, sql, ident)
            else:
                sql = BADGE_SQL
                self._request(caller, 'read', organisation, sql, 'nobody')
            due = max(due, time.monotonic() - BACKLOG_SECONDS)
            self._stop.wait(max(due - time.monotonic(), 0))
        callers.close()

    def _read_back(self, callers: '_Callers', daemon: str, ident: str) -> None:
        """Read a receipt through a new session at any daemon."""
        caller = callers.open(daemon)
        rows: list = []
        event = self._request(
            caller,
            'read',
            callers.organisation,
            'SELECT id FROM receipts WHERE id = %s',
            ident,
            rows,
        )
        if event.outcome == 'done' and not rows:
            self.stale.append(ident)
        caller.drop()

    def _read_often(
        self,
        chooser: random.Random,
        database: str,
        organisation: str,
        daemons: list[str],
        pause: float,
    ) -> None:
        callers = _Callers(self._cluster, organisation, database)
        while not self._stop.is_set():
            self._request(
                callers.find(chooser.choice(daemons)),
                'read',
                organisation,
                'SELECT COUNT(*) FROM permits WHERE holder <> %s',
                'nobody',
            )
            self._stop.wait(pause * chooser.random() * 2)
        callers.close()

    def _request(
        self,
        caller: '_Caller',
        kind: str,
        organisation: str,
        sql: str,
        ident: str,
        rows: list | None = None,
    ) -> Event:
        # The time to log in is not the request's.
        caller.connect()
        started = time.monotonic()
        outcome, sqlstate = caller.run(sql, (ident,), rows)
        event = Event(
            kind,
            organisation,
            started,
            time.monotonic(),
            outcome,
            sqlstate,
            ident,
        )
        self.events.append(event)
        return event


class _Callers:
    """The connections of one caller, one for each daemon."""

    def __init__(
        self, cluster: Cluster, organisation: str, database: str
    ) -> None:
        self.organisation = organisation
        self._cluster = cluster
        self._database = database
        self._open: dict[str, _Caller] = {}

    def find(self, daemon: str) -> '_Caller':
        """Return the connection to a daemon."""
        if daemon not in self._open:
            self._open[daemon] = self.open(daemon)
        return self._open[daemon]

    def open(self, daemon: str) -> '_Caller':
        """Return a new connection to a daemon."""
        return _Caller(
            self._cluster.find_dsn(daemon, self.organisation, self._database)
        )

    def close(self) -> None:
        """Close all connections."""
        for caller in self._open.values():
            caller.drop()


class _Caller:
    """One connection, opened when first used."""

    def __init__(self, dsn: str) -> None:
        self._dsn = dsn
        self._connection: psycopg.Connection | None = None

    def connect(self) -> None:
        """Open the connection, unless it is open or can't be."""
        if self._connection is not None:
            return
        try:
            self._connection = psycopg.connect(
                self._dsn, autocommit=True, connect_timeout=5
            )
        except psycopg.Error:
            self._connection = None

    def run(
        self, sql: str, parameters: tuple, rows: list | None
    ) -> tuple[str, str]:
        """Run a statement and return its outcome and SQLSTATE."""
        if self._connection is None:
            time.sleep(0.05)
            return 'not run', 'connect'
        try:
            cursor = self._connection.execute(sql, parameters)
        except psycopg.Error as error:
            return self._judge(error)
        if rows is not None:
            rows.extend(cursor.fetchall())
        return 'done', ''

    def drop(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _judge(self, error: psycopg.Error) -> tuple[str, str]:
        sqlstate = error.sqlstate or ''
        if self._connection is not None and self._connection.closed:
            self._connection = None
        if sqlstate in NOT_RUN:
            return 'not run', sqlstate
        if sqlstate == UNKNOWN or not sqlstate:
            return 'unknown', sqlstate or 'lost'
        return 'failed', sqlstate
