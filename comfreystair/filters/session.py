"""What one caller's session carries from request to request.

A ``msgspec.Struct`` because it is a plain mutable record.
"""

from typing import NamedTuple

import msgspec

from comfreystair.controllers.positions import ORIGIN, Position
from comfreystair.targets.connection import TargetConnection
from comfreystair.targets.plans import Prepared
from comfreystair.targets.pool import Pool


class SelectedTarget(NamedTuple):
    """Where a request runs.

    :param term: of the primary when it was chosen, 0 for a replica.
    """

    target: str
    pool: Pool
    term: int

    @property
    def is_primary(self) -> bool:
        """Tell whether the target was chosen as the primary."""
        return self.term > 0


class PinnedTransaction(NamedTuple):
    """The connection that holds a session's open transaction."""

    connection: TargetConnection
    selected_target: SelectedTarget


class SessionState(msgspec.Struct):
    """State of one session.

    :param key_id: empty for a caller without a key, on open routes only.
    :param floor: reads must see all up to here.
    :param floor_since: monotonic seconds; when set, the floor must first be
        raised to cover what was acknowledged before then.
    :param route_name: of the session option.
    :param next_key: idempotency key of the next request.
    :param status: transaction status as the caller knows it.
    :param has_written: the open transaction ran a write.
    :param running_connection: the connection that runs a statement now, for cancel.
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
