"""Log positions, and what a target says of itself."""

from typing import Final, NamedTuple

ROLE_PRIMARY: Final = 'primary'
ROLE_REPLICA: Final = 'replica'


class Position(NamedTuple):
    """A point in the log of a database group; compares by term first.

    :param term: the term of the primary that wrote the entry.
    :param offset: entries up to and including it.
    """

    term: int
    offset: int


ORIGIN: Final = Position(0, 0)


class TargetStatus(NamedTuple):
    """What a target says of itself.

    :param role: ``primary``, ``replica`` or another word for neither.
    :param term: the term in which it has its role.
    :param promised_term: the highest term that it was fenced at.
    :param received: its last received entry.
    :param applied: its last applied entry, which reads see.
    :param heard_seconds: since it last heard from the primary it follows.
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
        """Tell whether it is a primary whose term it knows of no successor."""
        return self.role == ROLE_PRIMARY and self.promised_term <= self.term


class Observation(NamedTuple):
    """A status with the time its request was sent.

    :param asked_at: monotonic seconds; the status is no older than this.
    """

    status: TargetStatus
    asked_at: float


def majority_size(total: int) -> int:
    """Return the least number of targets that is more than half."""
    return total // 2 + 1


def has_reached(applied: Position, floor: Position) -> bool:
    """Tell whether a log applied to a position holds all up to a floor.

    A floor is only ever the position of an acknowledged write or above one.
    The primary of a later term holds every acknowledged write of earlier
    terms, and so does whoever has applied an entry of its.
    """
    if applied.term == floor.term:
        return applied.offset >= floor.offset
    return applied.term > floor.term
