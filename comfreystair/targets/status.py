"""The platform's commands for database groups, as SQL.

This module is the adapter: another form of the commands changes only it.
"""

from typing import Final

from pygwire import messages

from comfreystair.controllers.positions import Position, TargetStatus

STATUS_SQL: Final = 'SELECT * FROM group_status()'
_MILLISECONDS: Final = 1000.0


def fence_sql(term: int, candidate: str) -> str:
    """Return the command that fences a target."""
    return f"SELECT * FROM group_fence({term}, '{candidate}')"


def promote_sql(term: int, candidate: str) -> str:
    """Return the command that promotes a target."""
    return f"SELECT * FROM group_promote({term}, '{candidate}')"


def follow_sql(term: int, primary_address: str) -> str:
    """Return the command that makes a target follow a primary."""
    return f"SELECT * FROM group_follow({term}, '{primary_address}')"


def query_frame(sql: str) -> bytes:
    """Return a simple query as a frame."""
    return messages.Query(query_string=sql).to_wire()


def decode_status(columns: list[bytes | None]) -> tuple[bool, TargetStatus]:
    """Decode the row that every command answers with.

    :returns: whether the command was granted, and the status after it.
    """
    numbers = [int(column or 0) for column in columns[:8]]
    granted, term, promised = numbers[:3]
    status = TargetStatus(
        role=(columns[8] or b'').decode(),
        term=term,
        promised_term=promised,
        received=Position(numbers[3], numbers[4]),
        applied=Position(numbers[5], numbers[6]),
        heard_seconds=numbers[7] / _MILLISECONDS,
        primary_address=(columns[9] or b'').decode(),
    )
    return bool(granted), status


def decode_row(raw_frame: bytes) -> tuple[bool, TargetStatus]:
    """Decode a status out of a DataRow frame."""
    row = messages.DataRow.decode(memoryview(raw_frame)[5:])
    return decode_status(row.columns)
