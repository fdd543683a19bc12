"""Positions in the platform's store."""

from typing import Final, NamedTuple

# Bits of a fencing token below the era: room for 10^12 revisions in each.
_REVISION_BITS: Final = 40


class StorePosition(NamedTuple):
    """A revision of the store, with the era in which it was given out.

    Positions are ordered by era, then by revision. After the store has
    returned from an older copy it gives revisions out again, in a new era. A
    revision of an earlier era therefore neither identifies a value nor tells
    which of two values is newer.

    :param era: 0 for a store that counts none.
    :param revision: 0 for a key that does not exist.
    """

    era: int = 0
    revision: int = 0

    @property
    def is_set(self) -> bool:
        """Tell whether this is the position of an existing key."""
        return bool(self.revision)

    @property
    def fencing_token(self) -> int:
        """Return a number that keeps the order of positions."""
        return self.era << _REVISION_BITS | self.revision


ABSENT: Final = StorePosition()
