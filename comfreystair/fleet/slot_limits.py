"""Coordinate how many slots of a target each organisation may use.

For each target, rendezvous hashing selects the daemon that allocates its
slots. Every daemon reports its demand to it and receives limits by
organisation. Demand and limits are in slot-seconds per second.
"""

import time
from typing import Final

import curio

from comfreystair.controllers.membership import (
    MembershipController,
    rank_by_rendezvous_hash,
)
from comfreystair.controllers.slot_allocation import SlotAllocator
from comfreystair.filters.scheduling import Scheduler
from comfreystair.manifest.index import ManifestHolder
from comfreystair.peers import PeerClients, PeerError
from comfreystair.peers.messages import definitions

_REPORT_INTERVAL_SECONDS: Final = 0.25


class SlotLimitCoordinator:
    """Keep the slot limits of organisations at targets up to date."""

    def __init__(
        self,
        membership: MembershipController,
        scheduler: Scheduler,
        manifest_holder: ManifestHolder,
        peers: PeerClients,
    ) -> None:
        """Create a coordinator that sends nothing before :meth:`run`.

        :param scheduler: measures the demand and applies the limits.
        :param manifest_holder: current manifest, which sets the slots of
            targets and the weights of organisations.
        """
        self._membership = membership
        self._scheduler = scheduler
        self._manifest_holder = manifest_holder
        self._peers = peers
        self._allocators: dict[tuple[str, str], SlotAllocator] = {}

    async def run(self) -> None:
        """Report demand and apply the limits received, until cancelled.

        A target without demand from this daemon gets no limits here.
        """
        while True:
            await curio.sleep(_REPORT_INTERVAL_SECONDS)
            for target_key, queue in self._scheduler.list_queues().items():
                demand = queue.measure_demand(_REPORT_INTERVAL_SECONDS)
                if demand:
                    await curio.spawn(
                        self._report_demand,
                        target_key,
                        queue,
                        demand,
                        daemon=True,
                    )
                else:
                    queue.set_limits({}, time.monotonic())

    def handle_request(self, request):
        """Record the demand of a peer and return the peer's limits."""
        target_key = (request.database, request.target)
        limits = self._update_limits(
            target_key, request.instance, request.demand or {}
        )
        return definitions.Limits(limits=limits)

    async def _report_demand(
        self, target_key: tuple[str, str], queue, demand: dict[str, float]
    ) -> None:
        own = self._membership.own
        live = self._membership.list_live(time.monotonic())
        by_name = {contact.name: contact for contact in live}
        allocator_name = rank_by_rendezvous_hash(
            f'slots/{target_key}', by_name or [own.name]
        )[0]
        if allocator_name == own.name:
            limits = self._update_limits(target_key, own.name, demand)
        else:
            limits = await self._request_limits(
                by_name[allocator_name].address, target_key, demand
            )
        queue.set_limits(limits, time.monotonic())

    async def _request_limits(
        self,
        address: str,
        target_key: tuple[str, str],
        demand: dict[str, float],
    ) -> dict[str, float]:
        """Request this daemon's limits from the daemon that allocates them.

        There are no limits if it does not answer; requests of this daemon
        still share the target by fair queueing.
        """
        database, target = target_key
        request = definitions.DemandRequest(
            instance=self._membership.own.name,
            database=database,
            target=target,
            demand=demand,
        )
        try:
            answer = await self._peers.call(
                address, 'demand', request, definitions.Limits
            )
        except PeerError:
            return {}
        return answer.limits or {}

    def _update_limits(
        self,
        target_key: tuple[str, str],
        instance: str,
        demand: dict[str, float],
    ) -> dict[str, float]:
        allocator = self._allocators.get(target_key)
        if allocator is None:
            allocator = SlotAllocator(self._get_slot_count(target_key))
            self._allocators[target_key] = allocator
        return allocator.update_demand(
            instance, demand, self._get_weights(), time.monotonic()
        )

    def _get_slot_count(self, target_key: tuple[str, str]) -> int:
        manifest = self._manifest_holder.current
        for database in manifest.databases if manifest else ():
            for target in database.targets:
                if (database.name, target.name) == target_key:
                    return target.slots
        return 1

    def _get_weights(self) -> dict[str, float]:
        manifest = self._manifest_holder.current
        if manifest is None:
            return {}
        return {one.name: one.weight for one in manifest.manifest.organisations}
