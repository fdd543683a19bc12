"""Select the gateway of a target, skipping gateways that fail."""

import itertools
from collections.abc import Iterator
from typing import Final, NamedTuple

from comfreystair.clocks import read_clock
from comfreystair.controllers.gateways import choose_gateway, count_gateways
from comfreystair.controllers.membership import rank_by_rendezvous_hash
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.gateways.shares import ConnectionShares
from comfreystair.peers import PeerClients
from comfreystair.pooling.targets import TargetEntry

# A gateway that did not answer is not selected for this long. An instance is
# restarted within a second or two.
_UNAVAILABLE_SECONDS: Final = 1.5
# A gateway that can't reach a target is not selected for that target this long.
_TARGET_UNREACHABLE_SECONDS: Final = 2.0
# A gateway that leaves calls unanswered for this long counts as hung. The time
# is several times the duration of a target's slowest statements.
_STALL_SECONDS: Final = 0.4
# With this many instances avoided at once, in addition to the gateways and
# their successors, this instance is probably the one that is cut off. Marking
# more would take longer than they are avoided.
_MAX_OTHERS_AVOIDED: Final = 2


class _Ranking(NamedTuple):
    """The instances of a target's availability zone in order of preference.

    :param source: the instances that it was computed from. It is computed anew
        when another dictionary takes their place.
    """

    source: dict[str, InstanceRecord]
    names: list[str]


class GatewaySelector:
    """Select gateways from the list of instances."""

    def __init__(
        self, state: FleetState, peers: PeerClients, has_shares: bool = True
    ) -> None:
        """Start with every listed instance regarded as available.

        :param state: provides the instances and the connection limits.
        :param peers: tells which instances leave calls unanswered.
        :param has_shares: divide the connections of targets in large zones.
        """
        self._state = state
        self._peers = peers
        self._shares = ConnectionShares(state, has_shares)
        # By target and zone: a target that is registered again may have moved.
        self._rankings: dict[tuple[str, str], _Ranking] = {}
        self._unavailable: dict[str, float] = {}
        self._target_unreachable: dict[tuple[str, str], float] = {}

    def select(self, entry: TargetEntry, organisation: str) -> InstanceRecord:
        """Return the gateway for an organisation's connections to a target.

        :returns: this instance if no gateway is available.
        """
        state = self._state
        available = self._list_available(entry, read_clock())
        count = self._count_gateways(entry)
        name = choose_gateway(organisation, itertools.islice(available, count))
        return state.instances.get(name, state.own)

    def find_connection_limit(self, entry: TargetEntry) -> int:
        """Return how many connections to a target this instance may hold."""
        return self._shares.find_limit(entry, self._rank_instances(entry))

    def has_shares(self, entry: TargetEntry) -> bool:
        """Tell whether a target's connections are divided into shares."""
        ranked = self._rank_instances(entry)
        return self._shares.find_placement(entry, ranked).is_divided

    def is_gateway(self, entry: TargetEntry) -> bool:
        """Tell whether this instance is one of a target's gateways."""
        ranked = self._rank_instances(entry)
        placement = self._shares.find_placement(entry, ranked)
        if placement.is_divided:
            return placement.own_rank < placement.fleet.gateways
        return self._state.own.name in ranked[: self._count_gateways(entry)]

    def mark_unavailable(self, gateway: InstanceRecord) -> None:
        """Exclude an instance from selection, as when it did not answer."""
        self._unavailable[gateway.incarnation] = (
            read_clock() + _UNAVAILABLE_SECONDS
        )

    def mark_target_unreachable(
        self, gateway: InstanceRecord, target: str
    ) -> bool:
        """Exclude an instance from selection for a target it can't reach.

        :returns: whether another gateway recently failed to reach the target.
        """
        now = read_clock()
        excluded = (gateway.incarnation, target)
        is_confirmed = any(
            until > now
            for other, until in self._target_unreachable.items()
            if other[1] == target and other != excluded
        )
        self._target_unreachable[excluded] = now + _TARGET_UNREACHABLE_SECONDS
        return is_confirmed

    def _list_available(self, entry: TargetEntry, now: float) -> Iterator[str]:
        """Yield the available instances of a target's zone by rank.

        With shares, the list ends where so many instances are avoided that
        this one should open connections of its own.
        """
        names = self._rank_instances(entry)
        placement = self._shares.find_placement(entry, names)
        may_avoid = len(names)
        if placement.is_divided:
            names = placement.candidates
            if placement.own_share:
                may_avoid = 2 * placement.fleet.gateways + _MAX_OTHERS_AVOIDED
        for name in names:
            gateway = self._state.instances[name]
            if self._is_available(gateway, entry.ident, now):
                yield name
                continue
            may_avoid -= 1
            if may_avoid == 0:
                return

    def _is_available(
        self, gateway: InstanceRecord, target: str, now: float
    ) -> bool:
        if gateway.name == self._state.own.name:
            return not self._state.is_draining
        if self._unavailable.get(gateway.incarnation, now) > now:
            return False
        if (
            self._target_unreachable.get((gateway.incarnation, target), now)
            > now
        ):
            return False
        return not self._peers.is_stalled(gateway.address, _STALL_SECONDS)

    def _count_gateways(self, entry: TargetEntry) -> int:
        return count_gateways(self._shares.find_fleet_limit(entry))

    def _rank_instances(self, entry: TargetEntry) -> list[str]:
        instances = self._state.instances
        ranking = self._rankings.get((entry.ident, entry.zone))
        if ranking is None or ranking.source is not instances:
            names = [
                instance.name
                for instance in instances.values()
                if instance.zone == entry.zone
            ]
            ranking = _Ranking(
                instances, rank_by_rendezvous_hash(entry.ident, names)
            )
            self._rankings[(entry.ident, entry.zone)] = ranking
        return ranking.names
