"""The era of the platform's store.

A new era begins each time the store returns from a copy that lacks its last
writes. What was read, written or leased in an earlier era need not be in the
store any more.
"""

from collections.abc import Callable

from comfreystair.clocks import read_clock
from comfreystair.coordination.exceptions import StoreRestoredError

OnNewEra = Callable[[int, int, str], None]


class StoreEra:
    """The newest era that this instance has heard of.

    :ivar current: the era, 0 before the first answer and for a store that
        counts none.
    :ivar restored_at: when this instance saw the last change of era, minus
        infinity if it has seen none.
    """

    def __init__(self) -> None:
        """Initialise before the first answer."""
        self.current = 0
        self.restored_at = float('-inf')
        self._listeners: list[OnNewEra] = []

    def add_listener(self, listener: OnNewEra) -> None:
        """Have a function called when a new era begins.

        :param listener: is given the era, the previous one and who told.
        """
        self._listeners.append(listener)

    def observe(self, era: int, source: str) -> None:
        """Record the era in which an answer was given.

        :param source: who gave the answer.
        :raises StoreRestoredError: when the answer is of an earlier era, and
            so outdated.
        """
        if era < self.current:
            raise StoreRestoredError(
                f'answer of era {era}, the store is in {self.current}', source
            )
        if era == self.current:
            return
        previous = self.current
        self.current = era
        if previous:
            self.restored_at = read_clock()
        for listener in self._listeners:
            listener(era, previous, source)
