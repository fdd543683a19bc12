"""Know the gateways of each target, and leave alone those that fail."""

from typing import Final, NamedTuple

from comfreystair.clocks import read_clock
from comfreystair.controllers.gateways import (
    choose_gateway,
    count_gateways,
    find_limit,
)
from comfreystair.controllers.membership import rank_members
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.peers import PeerClients
from comfreystair.pooling.targets import TargetEntry

# A gateway that did not answer is left alone this long, in seconds: an
# instance is started again within a second or two.
_AVOID_SECONDS: Final = 1.5
# The same where it only can't reach one target, in seconds.
_CUT_SECONDS: Final = 2.0
# Calls unanswered for this long mean that a gateway hangs, in seconds: several
# times what a target's slowest statements take.
_STALL_SECONDS: Final = 0.4


class _Ranking(NamedTuple):
    """The instances of a zone in the order in which they are gateways.

    :param source: the list of instances that it was made of.
    """

    source: dict[str, InstanceRecord]
    names: list[str]


class GatewayBook:
    """Choose gateways from the list of instances."""

    def __init__(self, state: FleetState, peers: PeerClients) -> None:
        """Start without experience."""
        self._state = state
        self._peers = peers
        self._rankings: dict[str, _Ranking] = {}
        self._away: dict[str, float] = {}
        self._cut: dict[tuple[str, str], float] = {}

    def find(self, entry: TargetEntry, organisation: str) -> InstanceRecord:
        """Return who has an organisation's connections to a target.

        This instance itself where no gateway is known to answer.
        """
        state = self._state
        now = read_clock()
        count = self._count(entry)
        chosen: list[str] = []
        for name in self._rank(entry):
            if len(chosen) == count:
                break
            if self._is_usable(state.instances[name], entry.ident, now):
                chosen.append(name)
        name = choose_gateway(organisation, chosen)
        return state.instances.get(name, state.own)

    def find_limit(self, entry: TargetEntry) -> int:
        """Return the connections to a target that this instance may hold."""
        return find_limit(self._find_connections(entry))

    def is_gateway(self, entry: TargetEntry) -> bool:
        """Tell whether this instance is one of a target's gateways."""
        first = self._rank(entry)[: self._count(entry)]
        return self._state.own.name in first

    def avoid(self, gateway: InstanceRecord) -> None:
        """Leave an instance alone that did not answer."""
        self._away[gateway.incarnation] = read_clock() + _AVOID_SECONDS

    def avoid_for(self, gateway: InstanceRecord, target: str) -> bool:
        """Leave an instance alone that can't reach a target.

        :returns: whether another gateway could not reach it either.
        """
        now = read_clock()
        own = (gateway.incarnation, target)
        is_known = any(
            until > now
            for place, until in self._cut.items()
            if place[1] == target and place != own
        )
        self._cut[own] = now + _CUT_SECONDS
        return is_known

    def _is_usable(
        self, gateway: InstanceRecord, target: str, now: float
    ) -> bool:
        if gateway.name == self._state.own.name:
            return not self._state.is_draining
        if self._away.get(gateway.incarnation, now) > now:
            return False
        if self._cut.get((gateway.incarnation, target), now) > now:
            return False
        return not self._peers.is_stalled(gateway.address, _STALL_SECONDS)

    def _count(self, entry: TargetEntry) -> int:
        return count_gateways(self._find_connections(entry))

    def _find_connections(self, entry: TargetEntry) -> int:
        """Return the limit of a target over the whole fleet."""
        plan = self._state.plan
        return plan.connections.get(entry.group, 0) if plan else 0

    def _rank(self, entry: TargetEntry) -> list[str]:
        instances = self._state.instances
        known = self._rankings.get(entry.ident)
        if known is None or known.source is not instances:
            names = [
                one.name for one in instances.values() if one.zone == entry.zone
            ]
            known = _Ranking(instances, rank_members(entry.ident, names))
            self._rankings[entry.ident] = known
        return known.names
