"""Share a target's slots between organisations over all daemons.

One daemon keeps the demands that all daemons report for a target and answers
each with its bounds. Nothing depends on that daemon for safety: without it,
each daemon falls back to fair queueing among its own requests.
"""

from typing import Final, NamedTuple

_REPORT_SECONDS: Final = 1.0
_FILL_RATIO: Final = 0.8
_BUSY_RATIO: Final = 0.6
_HEADROOM: Final = 1.3
_MIN_SHARE: Final = 0.005


class DemandReport(NamedTuple):
    """The demands of one daemon at one target.

    :param demand: slot-seconds a second by organisation.
    """

    demand: dict[str, float]
    at: float


class SlotAllocator:
    """Work out bounds for one target from the reported demands."""

    def __init__(self, slots: int) -> None:
        """Start without reports."""
        self._slots = slots
        self._reports: dict[str, DemandReport] = {}

    def update_demand(
        self,
        instance: str,
        demand: dict[str, float],
        weights: dict[str, float],
        now: float,
    ) -> dict[str, float]:
        """Take in one daemon's demand and return its bounds.

        :param weights: by organisation, 1 for those not named.
        :returns: slot-seconds a second by organisation; none are bound while
            the target has slots to spare.
        """
        self._reports[instance] = DemandReport(demand, now)
        self._forget(now)
        totals = self._sum_demands()
        capacity = self._slots * _FILL_RATIO
        if sum(totals.values()) < self._slots * _BUSY_RATIO:
            return {}
        fair = max_min_fair_shares(totals, weights, capacity)
        return {
            name: self._find_bound(wanted, totals[name], fair[name])
            for name, wanted in demand.items()
            if fair[name] < totals[name]
        }

    def _find_bound(self, wanted: float, total: float, allowed: float) -> float:
        return max(allowed * wanted / total, _MIN_SHARE)

    def _sum_demands(self) -> dict[str, float]:
        totals: dict[str, float] = {}
        for report in self._reports.values():
            for name, wanted in report.demand.items():
                totals[name] = totals.get(name, 0) + wanted
        return totals

    def _forget(self, now: float) -> None:
        for instance, report in list(self._reports.items()):
            if now - report.at > _REPORT_SECONDS:
                self._reports.pop(instance)


def max_min_fair_shares(
    demands: dict[str, float], weights: dict[str, float], capacity: float
) -> dict[str, float]:
    """Share a capacity by weighted max-min fairness.

    Whoever wants less than its share gets all it wants, with headroom, and
    the rest is shared by weight among the others.
    """
    shares: dict[str, float] = {}
    left = capacity
    open_names = sorted(
        demands, key=lambda name: demands[name] / weights.get(name, 1)
    )
    total_weight = sum(weights.get(name, 1) for name in open_names)
    for name in open_names:
        weight = weights.get(name, 1)
        fair = left * weight / total_weight
        wanted = demands[name] * _HEADROOM
        given = min(wanted, fair)
        shares[name] = max(given, 0)
        left -= given
        total_weight -= weight
    return shares
