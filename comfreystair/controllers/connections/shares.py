"""Divide a target's connections among all instances of the fleet.

An instance that can't reach the gateways of a target stands in for them and
opens connections of its own. Nothing tells it how many others do the same.
Therefore every instance has a fixed share, which follows from the list of
instances alone, and the sum of all shares is below the target's limit.

Ranks count from 0. The gateways come first, then their successors, the next
instances of the target's availability zone, then all others of all zones.
"""

from typing import Final, NamedTuple

from comfreystair.controllers.gateways import (
    compute_connection_limit,
    count_gateways,
)

# Shares apply where the instances of a zone outnumber the gateways of a target
# by this factor. With fewer, the bound on what they open together is not worth
# the wait for a handover of shares at each change of the list.
_MIN_INSTANCES_PER_GATEWAY: Final = 8
# Connections that a gateway keeps, if the limit allows it. With 40, about a
# tenth of the statements of 43 organisations open one.
_GATEWAY_CONNECTIONS: Final = 41
# What exceeds that is left to the instances that are not gateways, between one
# part in 14 and one in 3 of all connections. More would cost gateways much of
# their reuse for the sake of rare partitions.
_MIN_STAND_IN_PARTS: Final = 14
_MAX_STAND_IN_PARTS: Final = 3
# One part in this many of that goes to the successors of the gateways, which
# take over all of their statements; the rest to all other instances.
_SUCCESSOR_PARTS: Final = 2
# Connections that a successor has, if there are as many: a target runs two to
# five statements at a time.
_SUCCESSOR_CONNECTIONS: Final = 4


class TargetFleet(NamedTuple):
    """The instances that may hold connections to a target.

    :param connections: limit of the target over the whole fleet, 0 if unknown.
    :param gateways: number of the target's gateways.
    :param zone_instances: number of instances in the target's zone.
    :param fleet_instances: number of instances in all zones.
    """

    connections: int
    gateways: int
    zone_instances: int
    fleet_instances: int


def is_divided(fleet: TargetFleet) -> bool:
    """Tell whether the connections of a target are divided into shares.

    If not, each instance has the limit of a gateway.
    """
    return (
        fleet.connections > 0
        and fleet.zone_instances >= _MIN_INSTANCES_PER_GATEWAY * fleet.gateways
    )


def compute_connection_share(fleet: TargetFleet, rank: int) -> int:
    """Return how many connections the instance of a rank may hold.

    The sum over all ranks is below the limit of the target, or equal to it if
    the target allows a single connection. Shares don't increase with the rank,
    and the last ones may be 0.
    """
    gateways = fleet.gateways
    if rank >= fleet.fleet_instances:
        return 0
    total = _compute_total(fleet.connections)
    stand_in_total = _compute_stand_in_total(total, gateways)
    gateway_share = (total - stand_in_total) // gateways
    if rank < gateways:
        return gateway_share
    successor_share = max(
        stand_in_total // _SUCCESSOR_PARTS // gateways,
        min(stand_in_total // gateways, _SUCCESSOR_CONNECTIONS),
    )
    others = rank - 2 * gateways
    if others < 0:
        return successor_share
    rest = total - gateways * (gateway_share + successor_share)
    share, extra = divmod(rest, max(fleet.fleet_instances - 2 * gateways, 1))
    return min(share + (others < extra), successor_share)


def compute_joining_share(fleet: TargetFleet) -> int:
    """Return how many connections an instance may hold beyond the shares.

    An instance whose share has increased holds so many while its predecessor
    may not have closed its connections. They are part of the reserve.
    """
    return max(fleet.connections - _compute_total(fleet.connections) - 1, 0)


def _compute_total(connections: int) -> int:
    """Return how many connections all instances together may hold."""
    total = compute_connection_limit(connections) * count_gateways(connections)
    return max(min(total, connections - 1), 1)


def _compute_stand_in_total(total: int, gateways: int) -> int:
    """Return how many connections all instances but the gateways may hold.

    At least one for each successor of a gateway, if any are left.
    """
    least = max(
        total // _MIN_STAND_IN_PARTS, min(gateways, max(total - gateways, 0))
    )
    left = total - gateways * _GATEWAY_CONNECTIONS
    return max(min(left, total // _MAX_STAND_IN_PARTS), least)
