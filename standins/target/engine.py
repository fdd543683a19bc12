"""The state of one target: its log, its term, its role and its data."""

import json
import pathlib
import sqlite3
import time
from typing import NamedTuple

from standins.target import sql

ROLE_PRIMARY = 'primary'
ROLE_REPLICA = 'replica'
ROLE_FENCED = 'fenced'


class Entry(NamedTuple):
    """One committed transaction in the log.

    :param term: the term of the primary that wrote it.
    :param statements: what to run; empty for the entry of a promotion.
    :param received_at: monotonic seconds.
    """

    term: int
    statements: list[sql.Statement]
    received_at: float


class ReadOnlyError(Exception):
    """The target is not a primary that may write."""


class Engine:
    """Hold the log and the data of one target."""

    def __init__(self, journal: pathlib.Path | None = None) -> None:
        """Start empty, or with what the journal holds."""
        self.role = ROLE_REPLICA
        self.term = 0
        self.promised_term = 0
        self.promised_to = ''
        self.primary_address = ''
        self.heard_at = time.monotonic()
        self.log: list[Entry] = []
        self.applied = 0
        self._journal_path = journal
        self._journal = None
        self.database = self._open()
        if journal is not None:
            self._load(journal)

    @property
    def log_term(self) -> int:
        """Term of the last received entry."""
        return self.log[-1].term if self.log else 0

    @property
    def applied_term(self) -> int:
        """Term of the last applied entry."""
        return self.log[self.applied - 1].term if self.applied else 0

    @property
    def history(self) -> list[tuple[int, int]]:
        """Return pairs of a term and the position after its last entry."""
        ends: dict[int, int] = {}
        for index, entry in enumerate(self.log):
            ends[entry.term] = index + 1
        return sorted(ends.items())

    def check_writable(self) -> None:
        """Refuse unless this is a primary whose term was not passed."""
        if self.role != ROLE_PRIMARY or self.promised_term > self.term:
            raise ReadOnlyError('cannot write in a read-only transaction')

    def preview(self, statements: list[sql.Statement]) -> sql.Rows:
        """Run statements, keep the last answer and undo all."""
        self.database.execute('BEGIN')
        try:
            answers = [sql.execute(self.database, one) for one in statements]
        finally:
            self.database.execute('ROLLBACK')
        return answers[-1]

    def commit(self, statements: list[sql.Statement]) -> sql.Rows:
        """Run statements for good and append them to the log.

        :raises ReadOnlyError: when the target may not write.
        """
        self.check_writable()
        answer = self._run(statements)
        self._append(Entry(self.term, statements, time.monotonic()))
        self.applied = len(self.log)
        return answer

    def fence(self, term: int, candidate: str) -> bool:
        """Promise a term to a candidate, at most one for each term."""
        is_same = (term, candidate) == (self.promised_term, self.promised_to)
        if term <= self.promised_term and not is_same:
            return False
        self._promise(term, candidate)
        if self.term < term:
            self.role = ROLE_FENCED
        return True

    def promote(self, term: int, candidate: str) -> bool:
        """Become primary for a promised term; repeating it is harmless."""
        if (term, candidate) != (self.promised_term, self.promised_to):
            return False
        if self.role == ROLE_PRIMARY and self.term == term:
            return True
        self.apply(len(self.log))
        self.role = ROLE_PRIMARY
        self.term = term
        self._append(Entry(term, [], time.monotonic()))
        self.applied = len(self.log)
        return True

    def follow(self, term: int, address: str) -> bool:
        """Replicate from the primary of a term."""
        if term < self.promised_term or self._is_primary_of(term):
            return False
        if term > self.promised_term:
            self._promise(term, '')
        self.role = ROLE_REPLICA
        self.term = term
        self.primary_address = address
        self.heard_at = time.monotonic()
        return True

    def receive(self, common: int, entries: list[Entry]) -> None:
        """Cut the log at the common position and append what came."""
        if common < len(self.log):
            self._truncate(common)
        for entry in entries:
            self._append(entry)

    def apply(self, position: int) -> None:
        """Apply received entries up to a position."""
        while self.applied < position:
            entry = self.log[self.applied]
            if entry.statements:
                self._run(entry.statements)
            self.applied += 1

    def _is_primary_of(self, term: int) -> bool:
        return self.role == ROLE_PRIMARY and self.term >= term

    def _open(self) -> sqlite3.Connection:
        database = sqlite3.connect(':memory:', isolation_level=None)
        database.create_function('pg_sleep', 1, lambda _seconds: '')
        return database

    def _run(self, statements: list[sql.Statement]) -> sql.Rows:
        self.database.execute('BEGIN')
        try:
            answers = [sql.execute(self.database, one) for one in statements]
        except sqlite3.Error:
            self.database.execute('ROLLBACK')
            raise
        self.database.execute('COMMIT')
        return answers[-1]

    def _truncate(self, position: int) -> None:
        del self.log[position:]
        self._write({'truncate': position})
        if self.applied > position:
            self.database = self._open()
            self.applied = 0
            self.apply(position)

    def _append(self, entry: Entry) -> None:
        self.log.append(entry)
        self._write({'term': entry.term, 'statements': entry.statements})

    def _promise(self, term: int, candidate: str) -> None:
        self.promised_term = term
        self.promised_to = candidate
        self._write({'promise': term, 'to': candidate})

    def _write(self, record: dict[str, object]) -> None:
        if self._journal is not None:
            self._journal.write(json.dumps(record) + '\n')
            self._journal.flush()

    def _load(self, path: pathlib.Path) -> None:
        lines = path.read_text().splitlines() if path.exists() else []
        for line in lines:
            self._replay(json.loads(line))
        self.apply(len(self.log))
        self._journal = path.open('a')

    def _replay(self, record: dict) -> None:
        if 'promise' in record:
            self.promised_term = record['promise']
            self.promised_to = record['to']
        elif 'truncate' in record:
            del self.log[record['truncate'] :]
        else:
            statements = [
                sql.Statement(text, tuple(parameters))
                for text, parameters in record['statements']
            ]
            self.log.append(Entry(record['term'], statements, 0))
