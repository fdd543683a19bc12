"""How the fleet's limits are split between daemons, in epochs.

An epoch is written once, with compare-and-swap, and stays unsettled until
every holder of the epoch before it has switched or is proved dead. A daemon
that knows an unsettled epoch uses the lesser of its two shares, so the shares
in use never add up to more than one, whoever has learned of what.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

TOTAL_UNITS: Final = 1073741824


class Epoch(NamedTuple):
    """One split of the fleet's limits.

    :param units: of :data:`TOTAL_UNITS`, by incarnation.
    :param previous: the units of the epoch before.
    :param is_settled: nobody uses the epoch before any more.
    """

    number: int
    units: dict[str, int]
    previous: dict[str, int]
    is_settled: bool

    @property
    def version(self) -> tuple[int, bool]:
        """Return what newer knowledge is compared by."""
        return self.number, self.is_settled


NO_EPOCH: Final = Epoch(0, {}, {}, is_settled=True)


class LimitShareController:
    """Know the newest epoch, and work out the next."""

    def __init__(self, incarnation: str) -> None:
        """Start knowing no epoch, and so without a share."""
        self._incarnation = incarnation
        self._epoch = NO_EPOCH
        self._switched: dict[str, int] = {}
        self._dead: set[str] = set()
        self._is_dropped = False

    @property
    def epoch(self) -> Epoch:
        """Return the newest epoch known."""
        return self._epoch

    @property
    def share(self) -> float:
        """Return this daemon's share in use, from 0 to 1."""
        if self._is_dropped:
            return 0
        units = self._epoch.units.get(self._incarnation, 0)
        if not self._epoch.is_settled:
            held = self._epoch.previous.get(self._incarnation, 0)
            units = min(units, held)
        return units / TOTAL_UNITS

    def update(self, epoch: Epoch) -> bool:
        """Take over an epoch if it is newer; tell whether it was."""
        if epoch.version <= self._epoch.version:
            return False
        self._epoch = epoch
        self._switched[self._incarnation] = epoch.number
        return True

    def record_epoch_in_use(self, incarnation: str, number: int) -> None:
        """Take in which epoch another daemon uses."""
        known = self._switched.get(incarnation, 0)
        self._switched[incarnation] = max(known, number)

    def record_terminated(self, incarnation: str) -> None:
        """Take in a proof that a process has ended."""
        self._dead.add(incarnation)

    def relinquish(self) -> None:
        """Give up the share for good, after a long isolation."""
        self._is_dropped = True

    def plan_next_epoch(self, live: Iterable[str]) -> Epoch | None:
        """Return what the coordinator should write next, if anything.

        :param live: incarnations that shall have a share.
        """
        epoch = self._epoch
        if not epoch.is_settled:
            if self._is_ready_to_settle(epoch):
                return epoch._replace(previous={}, is_settled=True)
            return None
        holders = self._find_holders(epoch, live)
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
            holder in self._dead
            or self._switched.get(holder, 0) >= epoch.number
            for holder in epoch.previous
        )

    def _find_holders(self, epoch: Epoch, live: Iterable[str]) -> set[str]:
        """Keep the share of a silent holder until it is proved dead."""
        kept = set(epoch.units) - self._dead
        return kept | (set(live) - self._dead)


def split_units(holders: Iterable[str]) -> dict[str, int]:
    """Split the whole equally; what does not divide is left out."""
    ordered = sorted(holders)
    return {one: TOTAL_UNITS // len(ordered) for one in ordered}
