"""Report demand for slots to the daemon that keeps a target's demands."""

import time
from typing import Final

import curio

from comfreystair.controllers.membership import (
    MembershipController,
    rank_members,
)
from comfreystair.controllers.slots import SlotController
from comfreystair.filters.scheduling import Scheduler
from comfreystair.manifest.index import ManifestHolder
from comfreystair.peers import PeerClients, PeerError
from comfreystair.peers.messages import definitions

_REPORT_SECONDS: Final = 0.25


class SlotLimitCoordinator:
    """Keep the bounds of organisations at targets up to date."""

    def __init__(
        self,
        membership: MembershipController,
        scheduler: Scheduler,
        holder: ManifestHolder,
        peers: PeerClients,
    ) -> None:
        """Take the parts; nothing is sent before :meth:`run`."""
        self._membership = membership
        self._scheduler = scheduler
        self._holder = holder
        self._peers = peers
        self._controllers: dict[tuple[str, str], SlotController] = {}

    async def run(self) -> None:
        """Report demands at an interval until cancelled."""
        while True:
            await curio.sleep(_REPORT_SECONDS)
            for place, queue in self._scheduler.list_queues().items():
                demand = queue.measure_demand(_REPORT_SECONDS)
                if demand:
                    await curio.spawn(
                        self._report, place, queue, demand, daemon=True
                    )
                else:
                    queue.set_limits({}, time.monotonic())

    def handle_request(self, request):
        """Take in a peer's report and return its bounds."""
        place = (request.database, request.target)
        limits = self._find_limits(
            place, request.instance, request.demand or {}
        )
        return definitions.Limits(limits=limits)

    async def _report(
        self, place: tuple[str, str], queue, demand: dict[str, float]
    ) -> None:
        own = self._membership.own
        live = self._membership.list_live(time.monotonic())
        by_name = {contact.name: contact for contact in live}
        keeper = rank_members(f'slots/{place}', by_name or [own.name])[0]
        if keeper == own.name:
            limits = self._find_limits(place, own.name, demand)
        else:
            limits = await self._ask(by_name[keeper].address, place, demand)
        queue.set_limits(limits, time.monotonic())

    async def _ask(
        self, address: str, place: tuple[str, str], demand: dict[str, float]
    ) -> dict[str, float]:
        database, target = place
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

    def _find_limits(
        self,
        place: tuple[str, str],
        instance: str,
        demand: dict[str, float],
    ) -> dict[str, float]:
        controller = self._controllers.get(place)
        if controller is None:
            controller = SlotController(self._find_slots(place))
            self._controllers[place] = controller
        return controller.report(
            instance, demand, self._find_weights(), time.monotonic()
        )

    def _find_slots(self, place: tuple[str, str]) -> int:
        manifest = self._holder.current
        for database in manifest.databases if manifest else ():
            for target in database.targets:
                if (database.name, target.name) == place:
                    return target.slots
        return 1

    def _find_weights(self) -> dict[str, float]:
        manifest = self._holder.current
        if manifest is None:
            return {}
        return {one.name: one.weight for one in manifest.manifest.organisations}
