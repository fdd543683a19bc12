"""Decide which instances hold the connections of a target.

A target limits the connections of the whole fleet, and each connection belongs
to one organisation. If every instance held connections of its own, an
organisation would seldom find one of its own open, and opening one costs the
target as much as a statement. Therefore a few instances in the target's
availability zone, its gateways, hold all connections, each gateway for a part
of the organisations. The other instances forward their statements to them.
"""

from collections.abc import Iterable
from typing import Final

from comfreystair.controllers.membership import compute_rendezvous_score

# Least connections for each gateway. An open transaction keeps its connection
# between statements, and one organisation may have most of the transactions.
_MIN_CONNECTIONS_PER_GATEWAY: Final = 48
# With more gateways each would have too few connections.
_MAX_GATEWAYS: Final = 4
# Share of a target's connections reserved for status queries and for
# connections left open by instances that have ended.
_RESERVED_SHARE: Final = 0.1
_MIN_RESERVED_CONNECTIONS: Final = 4


def count_gateways(connections: int) -> int:
    """Return how many gateways a target has.

    :param connections: limit of the target over the whole fleet.
    """
    wanted = connections // _MIN_CONNECTIONS_PER_GATEWAY
    return min(max(wanted, 1), _MAX_GATEWAYS)


def choose_gateway(organisation: str, gateways: Iterable[str]) -> str:
    """Return the gateway that holds an organisation's connections.

    :returns: empty when there are no gateways.
    """
    return max(
        gateways,
        key=lambda name: compute_rendezvous_score(organisation, name),
        default='',
    )


def compute_connection_limit(connections: int) -> int:
    """Return how many connections to one target an instance may hold.

    The limit is the same for all instances, gateways or not: an instance that
    takes over from a failed gateway receives statements before it knows of the
    failure.

    :param connections: limit of the target over the whole fleet.
    """
    reserved = max(
        int(connections * _RESERVED_SHARE), _MIN_RESERVED_CONNECTIONS
    )
    return max((connections - reserved) // count_gateways(connections), 1)
