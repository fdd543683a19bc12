"""Split of fleet-wide limits between daemons, in numbered epochs.

An epoch is written once, with compare-and-swap. It stays unsettled until every
daemon with a share in the previous epoch has switched to it or is proved to
have terminated. A daemon that knows an unsettled epoch uses the smaller of its
two shares. The shares in use therefore never add up to more than one, whichever
epoch each daemon knows.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

TOTAL_UNITS: Final = 1073741824


class Epoch(NamedTuple):
    """One split of the fleet-wide limits.

    :param number: number of the epoch, increasing.
    :param units: part of :data:`TOTAL_UNITS` by incarnation.
    :param previous: units of the previous epoch, empty once settled.
    :param is_settled: no daemon uses the previous epoch any more.
    """

    number: int
    units: dict[str, int]
    previous: dict[str, int]
    is_settled: bool

    @property
    def version(self) -> tuple[int, bool]:
        """Return the sort key by which epochs are compared for recency."""
        return self.number, self.is_settled


NO_EPOCH: Final = Epoch(0, {}, {}, is_settled=True)


class LimitShareController:
    """Tracks the newest epoch and plans the next one."""

    def __init__(self, incarnation: str) -> None:
        """Begin with no known epoch and therefore without a share.

        :param incarnation: process name of this daemon.
        """
        self._incarnation = incarnation
        self._epoch = NO_EPOCH
        self._epochs_in_use: dict[str, int] = {}
        self._terminated: set[str] = set()
        self._is_relinquished = False

    @property
    def epoch(self) -> Epoch:
        """Return the newest known epoch."""
        return self._epoch

    @property
    def share(self) -> float:
        """Return the share that this daemon may use, from 0 to 1."""
        if self._is_relinquished:
            return 0
        units = self._epoch.units.get(self._incarnation, 0)
        if not self._epoch.is_settled:
            previous_units = self._epoch.previous.get(self._incarnation, 0)
            units = min(units, previous_units)
        return units / TOTAL_UNITS

    def update(self, epoch: Epoch) -> bool:
        """Switch to an epoch if it is newer.

        :returns: whether it was newer.
        """
        if epoch.version <= self._epoch.version:
            return False
        self._epoch = epoch
        self._epochs_in_use[self._incarnation] = epoch.number
        return True

    def record_epoch_in_use(self, incarnation: str, number: int) -> None:
        """Record the number of the epoch that a daemon uses."""
        known = self._epochs_in_use.get(incarnation, 0)
        self._epochs_in_use[incarnation] = max(known, number)

    def record_terminated(self, incarnation: str) -> None:
        """Record that a process is proved to have terminated."""
        self._terminated.add(incarnation)

    def relinquish(self) -> None:
        """Give up the share permanently, after a long isolation."""
        self._is_relinquished = True

    def plan_next_epoch(self, live: Iterable[str]) -> Epoch | None:
        """Return the epoch that the coordinator should write next, if any.

        :param live: incarnations that are to have a share.
        """
        epoch = self._epoch
        if not epoch.is_settled:
            if self._is_ready_to_settle(epoch):
                return epoch._replace(previous={}, is_settled=True)
            return None
        holders = self._compute_holders(epoch, live)
        if holders == set(epoch.units):
            return None
        return Epoch(
            epoch.number + 1,
            split_units(holders),
            epoch.units,
            is_settled=not epoch.units,
        )

    def _is_ready_to_settle(self, epoch: Epoch) -> bool:
        return all(
            holder in self._terminated
            or self._epochs_in_use.get(holder, 0) >= epoch.number
            for holder in epoch.previous
        )

    def _compute_holders(self, epoch: Epoch, live: Iterable[str]) -> set[str]:
        """Return the incarnations that get a share in the next epoch.

        An unresponsive holder keeps its share until it is proved to have
        terminated.
        """
        retained = set(epoch.units) - self._terminated
        return retained | (set(live) - self._terminated)


def split_units(holders: Iterable[str]) -> dict[str, int]:
    """Split :data:`TOTAL_UNITS` equally; the remainder is not assigned."""
    ordered = sorted(holders)
    return {holder: TOTAL_UNITS // len(ordered) for holder in ordered}
