"""Statements and answers, independent of the protocol."""

import enum
from typing import Final, NamedTuple

from comfreystair.controllers.positions import Position

_MILLISECONDS_PER_SECOND: Final = 1000


class StatementKind(enum.Enum):
    """What a statement asks for."""

    begin = enum.auto()
    begin_read = enum.auto()
    commit = enum.auto()
    rollback = enum.auto()
    read = enum.auto()
    write = enum.auto()
    set_value = enum.auto()
    prepare_read = enum.auto()
    prepare_write = enum.auto()
    execute = enum.auto()
    close = enum.auto()
    malformed = enum.auto()


class Failure(enum.Enum):
    """Why a statement failed.

    After ``in_doubt``, ``failed`` and ``timed_out`` the statement's changes may
    or may not have been kept; the others guarantee that none were.
    """

    overloaded = enum.auto()
    aborted = enum.auto()
    lagging = enum.auto()
    read_only = enum.auto()
    wrong_target = enum.auto()
    connection_limit = enum.auto()
    unknown_statement = enum.auto()
    failed = enum.auto()
    timed_out = enum.auto()
    in_doubt = enum.auto()
    unknown_database = enum.auto()
    unauthenticated = enum.auto()
    malformed = enum.auto()


class SessionPhase(enum.Enum):
    """Transaction state of a session between two statements."""

    idle = enum.auto()
    in_transaction = enum.auto()
    in_failed_transaction = enum.auto()


class Statement(NamedTuple):
    """One statement of a caller.

    :param ident: the id that the caller gave it, forwarded unchanged.
    :param text: the whole text, forwarded unchanged.
    :param item: what a read or write is for; no other kind has one.
    :param value_name: name of the session value to set.
    :param prepared_name: name of the prepared statement to prepare, execute or
        close.
    :param argument: the session value, the text to prepare, the data of a
        write, or the arguments of a prepared statement.
    """

    ident: str
    kind: StatementKind
    text: str
    item: str = ''
    value_name: str = ''
    prepared_name: str = ''
    argument: str = ''


class PreparedStatement(NamedTuple):
    """A prepared statement of a session or of a target connection.

    :param shape: the text that is prepared.
    :param is_writing: it may change data.
    """

    shape: str
    is_writing: bool


class Answer(NamedTuple):
    """The answer to one statement.

    :param signature: the target's evidence that it ran the statement.
    :param failure: absent on success.
    :param position: position of the target's log, if the target reported it.
    :param is_aborted: the transaction it ran in can only be rolled back.
    :param is_gateway_failure: the gateway was unreachable or shutting down, so
        that another one may run the statement.
    :param retry_seconds: after which a request that did not run should come
        back, where its detail says so.
    """

    rows: tuple[str, ...] = ()
    signature: str = '-'
    failure: Failure | None = None
    detail: str = ''
    position: Position | None = None
    is_aborted: bool = False
    is_gateway_failure: bool = False
    retry_seconds: float = 0


NOT_RUN_FAILURES = frozenset(
    (
        Failure.overloaded,
        Failure.unknown_statement,
        Failure.lagging,
        Failure.read_only,
    )
)
DONE = Answer()


def build_failed_answer(failure: Failure, detail: str = '') -> Answer:
    """Return the answer to a statement that failed."""
    return Answer(failure=failure, detail=detail)


def build_retry_answer(reason: str, retry_seconds: float) -> Answer:
    """Return the answer to a request that did not run and may come back.

    :param retry_seconds: after which it should.
    """
    milliseconds = int(retry_seconds * _MILLISECONDS_PER_SECOND)
    return Answer(
        failure=Failure.overloaded,
        detail=f'{reason}, retry after {milliseconds} ms',
        retry_seconds=retry_seconds,
    )
