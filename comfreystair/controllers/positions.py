"""Log positions, and the replication status that a target reports."""

from typing import Final, NamedTuple

ROLE_PRIMARY: Final = 'primary'
ROLE_REPLICA: Final = 'replica'


class Position(NamedTuple):
    """A position in the log of a database group, ordered by term, then offset.

    :param term: term of the primary that wrote the entry.
    :param offset: number of log entries up to and including this one.
    """

    term: int
    offset: int


ORIGIN: Final = Position(0, 0)


class TargetStatus(NamedTuple):
    """The replication status that a target reports.

    :param role: ``primary``, ``replica`` or another word for neither.
    :param term: term in which the target has its role.
    :param promised_term: highest term at which the target was fenced.
    :param received: position of the last received log entry.
    :param applied: position of the last applied log entry; reads see all
        entries up to it.
    :param heard_seconds: seconds since the target last received a message
        from the primary that it replicates from.
    :param primary_address: ``host:port`` of that primary.
    """

    role: str
    term: int
    promised_term: int
    received: Position
    applied: Position
    heard_seconds: float = 0
    primary_address: str = ''

    @property
    def is_primary(self) -> bool:
        """Return whether the target is primary and promised no later term."""
        return self.role == ROLE_PRIMARY and self.promised_term <= self.term


class Observation(NamedTuple):
    """A status with the time at which it was requested.

    :param asked_at: monotonic seconds at which the request was sent; the
        status is no older than this.
    """

    status: TargetStatus
    asked_at: float


def majority_size(total: int) -> int:
    """Return the smallest number of targets that is a majority."""
    return total // 2 + 1


def has_reached(applied: Position, floor: Position) -> bool:
    """Return whether a log applied to a position contains all up to a floor.

    A floor is the position of an acknowledged write, or above one. The primary
    of a later term has every acknowledged write of earlier terms, and so has
    every target that has applied one of its entries. Offsets are therefore
    compared within a term only.
    """
    if applied.term == floor.term:
        return applied.offset >= floor.offset
    return applied.term > floor.term
