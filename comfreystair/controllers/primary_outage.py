"""How long a group without a usable primary will probably stay without one.

A request that can't wait that long is rejected at once, and told when to come
back.
"""

from typing import Final, NamedTuple

from comfreystair.controllers.primary_failover import FAILURE_DETECTION_SECONDS

# Duration of a failover in which every instance confirms at once: mostly the
# promotion itself.
_FAILOVER_SECONDS: Final = 0.9
# Duration of a failover that waits for the contacts of a silent zone.
_LONG_FAILOVER_SECONDS: Final = 3.0
# Estimate for a failover that takes longer than that.
_OVERDUE_SECONDS: Final = 0.3
# Estimate while no failover can start, as the store does not answer.
_NO_STORE_SECONDS: Final = 0.5
# Estimate while no target may lead, as all are in evacuated zones. Operators
# end an evacuation after minutes rather than seconds.
_NO_SUCCESSOR_SECONDS: Final = 5.0


class PrimaryOutage(NamedTuple):
    """What an instance knows of an outage, with times on its clock.

    :param unreachable_since: since when requests to the primary have failed,
        absent if it answered the last one.
    :param has_failed_probe: it gave no status when it was queried directly.
    :param changing_since: since when a failover is known to run, absent if
        none is.
    :param is_store_reached: proofs can be refreshed, and a failover can start.
    :param is_evacuated: the primary's availability zone is evacuated.
    :param has_successor: another target may lead the group.
    """

    unreachable_since: float | None
    has_failed_probe: bool
    changing_since: float | None
    is_store_reached: bool
    is_evacuated: bool = False
    has_successor: bool = True


def estimate_outage(outage: PrimaryOutage, now: float) -> float:
    """Return the seconds until a primary is probably available again.

    :returns: 0 when it may be available at any moment.
    """
    if not outage.is_store_reached:
        return _NO_STORE_SECONDS
    if outage.changing_since is not None:
        return _estimate_failover(now - outage.changing_since)
    if outage.is_evacuated:
        return (
            _FAILOVER_SECONDS if outage.has_successor else _NO_SUCCESSOR_SECONDS
        )
    if outage.unreachable_since is None or not outage.has_failed_probe:
        return 0
    starts_at = outage.unreachable_since + FAILURE_DETECTION_SECONDS
    return max(starts_at - now, 0) + _FAILOVER_SECONDS


def _estimate_failover(elapsed: float) -> float:
    """Return the remaining time of a failover that began some seconds ago."""
    for duration in (_FAILOVER_SECONDS, _LONG_FAILOVER_SECONDS):
        if elapsed < duration:
            return duration - elapsed
    return _OVERDUE_SECONDS
