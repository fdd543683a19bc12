"""Contacts: confirmations of primaries by instances of other zones.

While the store does not answer, proofs grow old. An instance may then go on
using a primary for a while, if instances of other availability zones still use
it as well. A zone that is cut off finds none and stops soon, so that a failover
need not wait until its proofs have expired.
"""

import random
from collections.abc import Callable
from typing import Final

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.primary_tracking import (
    PROOF_TTL_SECONDS,
    PrimaryTracker,
)
from comfreystair.controllers.store_position import StorePosition
from comfreystair.coordination.concurrency import run_concurrently
from comfreystair.coordination.jitter import add_jitter
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.peers import PeerClients
from comfreystair.peers.messages import definitions
from comfreystair.tasks import contain_errors

_CHECK_INTERVAL_SECONDS: Final = 0.1
# Another zone is asked when a contact is this old. Proofs are usually younger,
# and several requests fit into the rest of a contact's validity.
_REFRESH_AGE_SECONDS: Final = 1.0
_REQUEST_TIMEOUT_SECONDS: Final = 0.2
# Zones that are asked at a time, in case that one of them is cut off.
_ASKED_ZONES: Final = 2


class ContactExchange:
    """Asks instances of other zones for contacts, and answers them."""

    def __init__(
        self,
        state: FleetState,
        peers: PeerClients,
        is_registered: Callable[[], bool],
    ) -> None:
        """Initialise the exchange of one instance.

        :param state: this instance's view of the fleet.
        :param peers: clients of the other instances.
        :param is_registered: tells whether each failover that starts now, or
            started within the validity of a proof, notifies this instance.
        """
        self._state = state
        self._peers = peers
        self._is_registered = is_registered

    async def run(self) -> None:
        """Keep contacts young until cancelled."""
        while True:
            with contain_errors('contacts'):
                await self.refresh()
            await curio.sleep(add_jitter(_CHECK_INTERVAL_SECONDS))

    async def refresh(self) -> None:
        """Ask other zones about all primaries whose contact grows old."""
        now = read_clock()
        positions = {
            name: group.primary_tracker.record.position
            for name, group in self._state.groups.items()
            if _needs_refresh(group.primary_tracker, now)
        }
        if not positions:
            return
        request = definitions.ContactRequest(
            revisions={name: one.revision for name, one in positions.items()},
            eras={name: one.era for name, one in positions.items()},
        )

        async def ask(instance: InstanceRecord) -> None:
            answer = await self._peers.call(
                instance.address,
                'contact',
                request,
                definitions.ContactReply,
                _REQUEST_TIMEOUT_SECONDS,
            )
            for name in answer.groups or ():
                if name in positions:
                    tracker = self._state.find_group(name).primary_tracker
                    tracker.record_contact(positions[name], now)

        await run_concurrently(ask, self._choose_instances())

    async def handle_request(self, request) -> object:
        """Name the groups whose records are valid here.

        An instance that a failover might not notify confirms none.
        """
        now = read_clock()
        if not self._is_registered():
            return definitions.ContactReply(groups=[])
        groups = self._state.groups
        eras = request.eras or {}
        return definitions.ContactReply(
            groups=[
                name
                for name, revision in (request.revisions or {}).items()
                if name in groups
                and groups[name].primary_tracker.confirms(
                    StorePosition(eras.get(name, 0), revision), now
                )
            ]
        )

    def _choose_instances(self) -> list[InstanceRecord]:
        """Return a random instance of each of some other zones."""
        by_zone: dict[str, list[InstanceRecord]] = {}
        for instance in self._state.instances.values():
            if instance.zone != self._state.own.zone:
                by_zone.setdefault(instance.zone, []).append(instance)
        count = min(_ASKED_ZONES, len(by_zone))
        zones = random.sample(sorted(by_zone), count)
        return [random.choice(by_zone[zone]) for zone in zones]  # noqa: S311


def _needs_refresh(tracker: PrimaryTracker, now: float) -> bool:
    """Tell whether a proof is valid while its contact grows old."""
    return (
        bool(tracker.record.primary)
        and not tracker.record.is_changing
        and tracker.find_proof_age(now) <= PROOF_TTL_SECONDS
        and tracker.find_contact_age(now) > _REFRESH_AGE_SECONDS
    )
