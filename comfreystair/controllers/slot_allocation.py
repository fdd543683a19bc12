"""Allocation of a target's slots to organisations over all daemons.

One daemon collects the demand that all daemons report for a target and replies
to each with its limits. Safety does not depend on that daemon: without it, each
daemon falls back to fair queueing among its own requests.
"""

from typing import Final, NamedTuple

_REPORT_TTL_SECONDS: Final = 1.0
# Part of the slots that is allocated while limits apply.
_ALLOCATED_RATIO: Final = 0.8
# Limits apply once the demand reaches this part of the slots.
_CONTENTION_RATIO: Final = 0.6
_DEMAND_HEADROOM_RATIO: Final = 1.3
# Lowest limit of an organisation, in slot-seconds per second.
_MIN_LIMIT: Final = 0.005


class DemandReport(NamedTuple):
    """The demand of one daemon at one target.

    :param demand: slot-seconds per second by organisation.
    :param at: monotonic seconds at which the report was received.
    """

    demand: dict[str, float]
    at: float


class SlotAllocator:
    """Computes the limits of one target from the reported demand."""

    def __init__(self, slots: int) -> None:
        """Begin without reports.

        :param slots: number of requests that the target runs at a time.
        """
        self._slots = slots
        self._reports: dict[str, DemandReport] = {}

    def update_demand(
        self,
        instance: str,
        demand: dict[str, float],
        weights: dict[str, float],
        now: float,
    ) -> dict[str, float]:
        """Record the demand of one daemon and return its limits.

        :param instance: name of the instance that the daemon runs on.
        :param demand: slot-seconds per second by organisation.
        :param weights: weights by organisation, 1 for those without entry.
        :returns: slot-seconds per second by organisation, for those whose
            demand exceeds their share; empty while the target has spare slots.
        """
        self._reports[instance] = DemandReport(demand, now)
        self._remove_expired_reports(now)
        totals = self._sum_demands()
        capacity = self._slots * _ALLOCATED_RATIO
        if sum(totals.values()) < self._slots * _CONTENTION_RATIO:
            return {}
        fair = max_min_fair_shares(totals, weights, capacity)
        return {
            name: self._compute_limit(wanted, totals[name], fair[name])
            for name, wanted in demand.items()
            if fair[name] < totals[name]
        }

    def _compute_limit(
        self, wanted: float, total: float, allocated: float
    ) -> float:
        return max(allocated * wanted / total, _MIN_LIMIT)

    def _sum_demands(self) -> dict[str, float]:
        totals: dict[str, float] = {}
        for report in self._reports.values():
            for name, wanted in report.demand.items():
                totals[name] = totals.get(name, 0) + wanted
        return totals

    def _remove_expired_reports(self, now: float) -> None:
        for instance, report in list(self._reports.items()):
            if now - report.at > _REPORT_TTL_SECONDS:
                self._reports.pop(instance)


def max_min_fair_shares(
    demands: dict[str, float], weights: dict[str, float], capacity: float
) -> dict[str, float]:
    """Split a capacity by weighted max-min fairness.

    An organisation whose demand is below its fair share gets its demand plus
    headroom. The rest is split between the others in proportion to weight.

    :returns: part of the capacity by organisation, in its unit.
    """
    shares: dict[str, float] = {}
    remaining = capacity
    ordered_names = sorted(
        demands, key=lambda name: demands[name] / weights.get(name, 1)
    )
    total_weight = sum(weights.get(name, 1) for name in ordered_names)
    for name in ordered_names:
        weight = weights.get(name, 1)
        fair = remaining * weight / total_weight
        wanted = demands[name] * _DEMAND_HEADROOM_RATIO
        allocated = min(wanted, fair)
        shares[name] = max(allocated, 0)
        remaining -= allocated
        total_weight -= weight
    return shares
