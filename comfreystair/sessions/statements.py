"""Statements and their answers, as every protocol edge hands them on."""

import enum
from typing import NamedTuple

from comfreystair.controllers.positions import Position


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
    """Why a statement was not answered with success.

    ``in_doubt``, ``failed`` and ``timed_out`` leave open what was kept; the
    others promise the caller that nothing is.
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
    """Where a session stands between two statements."""

    idle = enum.auto()
    in_transaction = enum.auto()
    in_failed_transaction = enum.auto()


class Statement(NamedTuple):
    """One statement of a caller.

    :param ident: the caller's id, forwarded unchanged.
    :param text: the whole text, forwarded unchanged.
    :param name: of the session value or prepared statement, if any.
    :param argument: the value, the shape, or what a prepared one runs with.
    """

    ident: str
    kind: StatementKind
    text: str
    name: str = ''
    argument: str = ''


class PreparedStatement(NamedTuple):
    """A prepared statement of a session or of a target connection."""

    shape: str
    is_writing: bool


class Answer(NamedTuple):
    """The outcome of one statement.

    :param signature: the target's proof that it ran the statement.
    :param failure: absent on success.
    :param position: of the answering log, where the target named one.
    :param is_aborted: the transaction it ran in can only be rolled back.
    """

    rows: tuple[str, ...] = ()
    signature: str = '-'
    failure: Failure | None = None
    detail: str = ''
    position: Position | None = None
    is_aborted: bool = False


NOT_RUN = frozenset(
    (
        Failure.overloaded,
        Failure.unknown_statement,
        Failure.lagging,
        Failure.read_only,
    )
)
DONE = Answer()


def build_failed_answer(failure: Failure, detail: str = '') -> Answer:
    """Return the answer of a statement that failed."""
    return Answer(failure=failure, detail=detail)
