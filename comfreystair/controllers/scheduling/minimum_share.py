"""Minimum share of each priority, so that none waits without end.

A priority is demanded from the first request that could not start at once, also
if that request was turned away: callers of a priority whose every request is
turned away wait as well.
"""

from typing import Final, NamedTuple

# A priority of which no request came for this long is not demanded any more.
_DEMAND_TTL_SECONDS: Final = 1.0


class Level(NamedTuple):
    """Priority of a request; lower values are served first.

    :param route: priority of the route.
    :param organisation: priority of the organisation, second to the route's.
    """

    route: int
    organisation: int


class _Demand(NamedTuple):
    """Since when a priority is demanded, and when it was last."""

    since: float
    last: float


class MinimumShare:
    """Since when each priority waits for the start of a request."""

    def __init__(self) -> None:
        """Begin without demand."""
        self._demands: dict[Level, _Demand] = {}

    def record_demand(self, level: Level, now: float) -> None:
        """Record that a request could not start at once."""
        demand = self._demands.get(level)
        is_recent = demand and now - demand.last < _DEMAND_TTL_SECONDS
        since = demand.since if is_recent else now
        self._demands[level] = _Demand(since, now)

    def record_start(self, level: Level, now: float, has_waiting: bool) -> None:
        """Record that a request was started.

        :param has_waiting: other requests of the priority wait.
        """
        self._demands.pop(level, None)
        if has_waiting:
            self._demands[level] = _Demand(now, now)

    def find_age(self, level: Level, now: float) -> float:
        """Return for how long a priority has waited, in seconds."""
        demand = self._demands.get(level)
        return now - demand.since if demand else 0
