"""This instance's shares of the targets' connections."""

import sys
from typing import NamedTuple

from comfreystair.clocks import read_clock
from comfreystair.controllers.connections.handover import ShareHandover
from comfreystair.controllers.connections.shares import (
    TargetFleet,
    compute_connection_share,
    compute_joining_share,
    is_divided,
)
from comfreystair.controllers.gateways import (
    compute_connection_limit,
    count_gateways,
)
from comfreystair.controllers.membership import rank_by_rendezvous_hash
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.pooling.targets import TargetEntry


class Placement(NamedTuple):
    """The instances that hold connections to a target, and the own share.

    :param is_divided: the target's connections are divided into shares;
        otherwise the other fields have no meaning.
    :param own_share: connections that this instance may hold.
    :param own_rank: rank of this instance, see
        :mod:`~comfreystair.controllers.connections.shares`.
    :param candidates: the instances of the target's zone that have a share, by
        rank. This instance is left out unless it is one of the gateways or
        their successors: others are asked before it opens connections.
    """

    fleet: TargetFleet
    is_divided: bool
    own_share: int = 0
    own_rank: int = 0
    candidates: tuple[str, ...] = ()


class _CachedPlacement(NamedTuple):
    """A placement with what it was computed from.

    It is computed anew when another dictionary of instances takes the place of
    ``source``.
    """

    source: dict[str, InstanceRecord]
    connections: int
    is_draining: bool
    placement: Placement


class ConnectionShares:
    """Shares of the targets' connections, with pending increases."""

    def __init__(self, state: FleetState, is_enabled: bool) -> None:
        """Start without shares in effect.

        :param state: provides the instances and the connection limits.
        :param is_enabled: otherwise no target's connections are divided.
        """
        self._state = state
        self._is_enabled = is_enabled
        self._placements: dict[str, _CachedPlacement] = {}
        self._handovers: dict[str, ShareHandover] = {}

    def find_fleet_limit(self, entry: TargetEntry) -> int:
        """Return the connection limit of a target over the whole fleet."""
        plan = self._state.plan
        return plan.connections.get(entry.group, 0) if plan else 0

    def find_placement(
        self, entry: TargetEntry, ranked: list[str]
    ) -> Placement:
        """Return which instances hold connections to a target.

        :param ranked: all instances of the target's zone by rank.
        """
        state = self._state
        known = self._placements.get(entry.ident)
        key = (state.instances, self.find_fleet_limit(entry), state.is_draining)
        if known is None or known.source is not key[0] or known[1:3] != key[1:]:
            placement = self._build_placement(entry.ident, ranked, key[1])
            known = _CachedPlacement(*key, placement)
            self._placements[entry.ident] = known
        return known.placement

    def find_limit(self, entry: TargetEntry, ranked: list[str]) -> int:
        """Return how many connections to a target may be held at present.

        :param ranked: all instances of the target's zone by rank.
        """
        placement = self.find_placement(entry, ranked)
        if not placement.is_divided:
            self._handovers.pop(entry.ident, None)
            return compute_connection_limit(placement.fleet.connections)
        handover = self._handovers.setdefault(entry.ident, ShareHandover())
        return handover.update(
            placement.own_share,
            compute_joining_share(placement.fleet),
            read_clock(),
        )

    def _build_placement(
        self, ident: str, ranked: list[str], connections: int
    ) -> Placement:
        """Compute a placement from the list of instances."""
        state = self._state
        gateways = count_gateways(connections)
        listed = TargetFleet(
            connections, gateways, len(ranked), len(state.instances)
        )
        if self._is_enabled and is_divided(listed):
            return _divide(state, ident, ranked, listed)
        return Placement(listed, is_divided=False)


def _divide(
    state: FleetState, ident: str, ranked: list[str], listed: TargetFleet
) -> Placement:
    """Compute the placement for divided connections.

    Instances that are shutting down have no share: they accept no statements
    from others, and their connections end within the handover.

    :param listed: the fleet with these instances.
    """
    connections, gateways = listed.connections, listed.gateways
    staying = _list_staying(state)
    zone = [name for name in ranked if name in staying]
    fleet = TargetFleet(connections, gateways, len(zone), len(staying))
    order = _rank_fleet(ident, zone[: 2 * gateways], staying)
    rank = sys.maxsize
    if state.own.name in staying:
        rank = order.index(state.own.name)
    return Placement(
        fleet,
        is_divided=True,
        own_share=compute_connection_share(fleet, rank),
        own_rank=rank,
        candidates=tuple(
            name
            for index, name in enumerate(order)
            if name in zone
            and compute_connection_share(fleet, index)
            and (index < 2 * gateways or index != rank)
        ),
    )


def _rank_fleet(ident: str, first: list[str], staying: set[str]) -> list[str]:
    """Return the instances of all zones by rank.

    :param first: the gateways and their successors.
    """
    others = staying.difference(first)
    return [*first, *rank_by_rendezvous_hash(ident, others)]


def _list_staying(state: FleetState) -> set[str]:
    """Return the names of the instances that are not shutting down."""
    staying = {
        name for name, one in state.instances.items() if not one.is_leaving
    }
    if state.is_draining:
        staying.discard(state.own.name)
    return staying
