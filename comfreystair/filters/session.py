"""State that a caller's session keeps from request to request.

It is a ``msgspec.Struct`` because it is a plain mutable record.
"""

from typing import NamedTuple

import msgspec

from comfreystair.controllers.positions import ORIGIN, Position
from comfreystair.targets.connection import TargetConnection
from comfreystair.targets.plans import Prepared
from comfreystair.targets.pool import Pool


class SelectedTarget(NamedTuple):
    """Target that a request runs at.

    :param target: name of the target.
    :param pool: connections to the target.
    :param term: term of the primary when it was selected, 0 for a read.
    """

    target: str
    pool: Pool
    term: int

    @property
    def is_primary(self) -> bool:
        """Tell whether the target was selected as the primary, for a write."""
        return self.term > 0


class PinnedTransaction(NamedTuple):
    """Open transaction of a session and the connection that it runs on."""

    connection: TargetConnection
    selected_target: SelectedTarget


class SessionState(msgspec.Struct):
    """State of one session.

    :param key_id: id of the caller's key; empty for a caller without a key,
        who may use open routes only.
    :param floor: lowest log position that the session's reads must see.
    :param floor_since: monotonic seconds; when set, the floor must be raised
        to all writes acknowledged before then, ahead of the next read.
    :param route_name: route that the session option sets.
    :param next_key: idempotency key for the next request.
    :param statements: prepared statements of the caller, by name.
    :param statement_bytes: size of the prepared statements.
    :param pinned_transaction: open transaction, if any.
    :param status: transaction status that was last reported to the caller.
    :param has_written: whether the open transaction ran a write.
    :param running_connection: connection that runs a statement now; a cancel
        request is sent to its server.
    :param last_trace_id: trace id of the last request.
    """

    database: str
    organisation: str
    key_id: str
    floor: Position = ORIGIN
    floor_since: float | None = None
    route_name: str = ''
    next_key: str = ''
    statements: dict[str, Prepared] = {}
    statement_bytes: int = 0
    pinned_transaction: PinnedTransaction | None = None
    status: bytes = b'I'
    has_written: bool = False
    running_connection: TargetConnection | None = None
    last_trace_id: str = ''
