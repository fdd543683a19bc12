"""Which instances hold the connections of a target.

A target bounds the connections of the whole fleet, and each belongs to one
organisation. Were every instance to hold its own, a connection would seldom be
there for the organisation that needs it, and a new one costs the target as
much as a statement. So a few instances of the target's availability zone, its
gateways, hold all of them, each for its part of the organisations; the others
hand them their statements.
"""

from collections.abc import Iterable
from typing import Final

from comfreystair.controllers.membership import hash_member

# Connections that a gateway should have, at least: open transactions hold one
# each through their pauses, and one organisation may have most of them.
_LEAST_CONNECTIONS: Final = 48
# Gateways of a target at most: more would spread its connections too thinly.
_MOST_GATEWAYS: Final = 4
# Part of a target's connections that is kept for questions about its status
# and for leftovers of instances that are gone.
_RESERVE_SHARE: Final = 0.1
_LEAST_RESERVE: Final = 4


def count_gateways(connections: int) -> int:
    """Return how many gateways a target has.

    :param connections: limit of the target over the whole fleet.
    """
    wanted = connections // _LEAST_CONNECTIONS
    return min(max(wanted, 1), _MOST_GATEWAYS)


def choose_gateway(organisation: str, gateways: Iterable[str]) -> str:
    """Return the gateway that has an organisation's connections.

    :returns: empty when there are no gateways.
    """
    return max(
        gateways,
        key=lambda name: hash_member(organisation, name),
        default='',
    )


def compute_connection_limit(connections: int) -> int:
    """Return the connections to one target that an instance may hold.

    It is the same for all: whoever stands in for a gateway that is lost does
    so before it can know.

    :param connections: limit of the target over the whole fleet.
    """
    reserve = max(int(connections * _RESERVE_SHARE), _LEAST_RESERVE)
    return max((connections - reserve) // count_gateways(connections), 1)
