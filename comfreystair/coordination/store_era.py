"""The era of the platform's store.

The store counts its eras: a new one begins when it returns from a copy that
lacks its last writes. Revisions and leases mean nothing in another era, as the
store gives them out again.
"""

from comfreystair.clocks import read_clock
from comfreystair.observability.decisions import DecisionLog


class StoreEra:
    """The newest era that this instance has heard of.

    :ivar current: the era, 0 before the first answer and for a store that
        counts none.
    :ivar seen_at: when this instance first heard of it.
    """

    def __init__(self, log: DecisionLog) -> None:
        """Initialise before the first answer.

        :param log: receives an event when a new era begins.
        """
        self.current = 0
        self.seen_at = read_clock()
        self._log = log

    def observe(self, era: int, source: str) -> None:
        """Record the era of an answer.

        :param source: who gave the answer, for the log.
        """
        if era > self.current:
            self._log.write(
                'store_era', era=era, previous=self.current, source=source
            )
            self.current = era
            self.seen_at = read_clock()
