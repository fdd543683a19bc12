"""Targets as the fleet knows them."""

from typing import NamedTuple, Protocol

from comfreystair.controllers.positions import Position
from comfreystair.sessions.statements import (
    Answer,
    PreparedStatement,
    Statement,
)


class TargetEntry(NamedTuple):
    """A target as it registered itself.

    :param born: identifies one life of the process under this id.
    :param is_leaving: it takes no new work and ends soon.
    :param claims_primary: it sees itself as the primary.
    """

    ident: str
    group: str
    address: str
    zone: str
    slots: int
    born: int
    is_leaving: bool
    claims_primary: bool


class TargetReport(NamedTuple):
    """What a target answered about itself.

    :param received: the end of the log that it holds.
    """

    is_primary: bool
    term: int
    received: Position | None


class Connection(Protocol):
    """One connection to a target, as a protocol edge offers it."""

    async def forward(
        self,
        statement: Statement,
        floor: Position | None,
        own_name: str,
        seconds: float,
    ) -> Answer:
        """Run a caller's statement."""

    async def begin(
        self, is_read_only: bool, floor: Position | None, seconds: float
    ) -> Answer:
        """Open a transaction."""

    async def rollback(self, seconds: float) -> Answer:
        """End a transaction without its changes."""

    async def set_value(self, name: str, text: str, seconds: float) -> Answer:
        """Set a session value."""

    async def prepare(
        self, name: str, prepared: PreparedStatement, seconds: float
    ) -> Answer:
        """Prepare a statement."""

    async def reset(self, seconds: float) -> Answer:
        """Drop all values and prepared statements."""

    async def ask_status(self, seconds: float) -> TargetReport | None:
        """Return what the target says of itself."""

    async def step_down(self, term: int, seconds: float) -> TargetReport | None:
        """Make a primary of a lower term a replica."""

    async def close(self) -> None:
        """Close the connection."""
