"""Registered targets and the interface of a connection to one."""

from typing import NamedTuple, Protocol

from comfreystair.controllers.positions import Position
from comfreystair.sessions.statements import (
    Answer,
    PreparedStatement,
    Statement,
)


class TargetEntry(NamedTuple):
    """A target as it registered itself.

    :param slots: statements that it runs at the same time.
    :param born: identifies one run of the process under this id; a restart
        changes it.
    :param is_leaving: it is shutting down and accepts no new statements.
    :param claims_primary: it considers itself the primary.
    :param sequence: rises with each entry of one run.
    :param cold_seconds: for which it stays cold from when the entry was
        written.
    """

    ident: str
    group: str
    address: str
    zone: str
    slots: int
    born: int
    is_leaving: bool
    claims_primary: bool
    sequence: int = 0
    cold_seconds: float = 0.0


class TargetReport(NamedTuple):
    """Role, term and log position that a target reported.

    :param received: end of the log that it has received, if known.
    """

    is_primary: bool
    term: int
    received: Position | None


class Connection(Protocol):
    """A connection to a target, as each protocol implements it.

    Every ``seconds`` bounds the wait for the target's answer.
    """

    @property
    def has_input(self) -> bool:
        """Tell whether input waits that belongs to no statement.

        The end of the connection counts as input.
        """

    async def forward(
        self,
        statement: Statement,
        floor: Position | None,
        own_name: str,
        seconds: float,
    ) -> Answer:
        """Run a caller's statement.

        :param floor: log position that the target must have applied.
        :param own_name: name of the prepared statement on this connection,
            empty for none.
        """

    async def begin(
        self, is_read_only: bool, floor: Position | None, seconds: float
    ) -> Answer:
        """Begin a transaction."""

    async def rollback(self, seconds: float) -> Answer:
        """Roll the transaction back."""

    async def set_value(self, name: str, text: str, seconds: float) -> Answer:
        """Set a session value."""

    async def prepare(
        self, name: str, prepared: PreparedStatement, seconds: float
    ) -> Answer:
        """Prepare a statement under a name of this connection."""

    async def reset(self, seconds: float) -> Answer:
        """Drop all session values and prepared statements."""

    async def ask_status(self, seconds: float) -> TargetReport | None:
        """Return the target's status; nothing if it gives none."""

    async def step_down(self, term: int, seconds: float) -> TargetReport | None:
        """Demote a primary of a lower term to a replica.

        Return the target's status; nothing if it gives none.
        """

    async def close(self) -> None:
        """Close the connection."""
