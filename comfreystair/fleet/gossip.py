"""Tell a few other daemons what this one knows, and hear what they know."""

import random
import time
from collections.abc import Callable
from typing import Final, NamedTuple

import curio
from loguru import logger

from comfreystair.conf.schema import PeersSection, PlatformSection
from comfreystair.controllers.generations import GenerationController
from comfreystair.controllers.membership import (
    Contact,
    MembershipController,
    find_instance,
)
from comfreystair.controllers.shares import ShareController
from comfreystair.dialing import Dial
from comfreystair.etcd import PlatformError, list_instances
from comfreystair.fleet.manifest_updater import ManifestUpdater
from comfreystair.peers import PeerClients, PeerError, PeerRefusedError
from comfreystair.peers.messages import definitions
from comfreystair.targets.groups import DatabaseGroup

_MILLISECONDS: Final = 1000
_MAX_AGE_MS: Final = 2000000000
_MAX_MEMBERS: Final = 6
_MAX_DEAD: Final = 16
_MAX_ENTRIES: Final = 8


class GossipState(NamedTuple):
    """What a gossip message is built from and goes into."""

    membership: MembershipController
    generations: GenerationController
    shares: ShareController
    manifest_updater: ManifestUpdater
    groups: dict[str, DatabaseGroup]
    list_surplus: Callable[[float], dict[str, float]]


class Gossiper:
    """Exchange knowledge with a few peers at a time, in both directions."""

    def __init__(
        self,
        knowledge: GossipState,
        peers: PeerClients,
        dial: Dial,
        settings: PeersSection,
        platform: PlatformSection,
    ) -> None:
        """Take the parts; nothing is sent before the loops run."""
        self._knowledge = knowledge
        self._peers = peers
        self._dial = dial
        self._settings = settings
        self._platform = platform
        self._random = random.Random(knowledge.membership.own.incarnation)
        self._dead: list[str] = []
        self._surplus: dict[str, dict[str, float]] = {}
        self._behind: dict[str, str] = {}

    @property
    def surplus(self) -> dict[str, dict[str, float]]:
        """Return what peers could lend, by address and organisation."""
        return self._surplus

    @property
    def newer_epoch_peers(self) -> dict[str, str]:
        """Return addresses of peers that know a newer epoch, by name."""
        return self._behind

    async def run(self) -> None:
        """Gossip at the interval of the settings, or at once on news."""
        applied = self._knowledge.manifest_updater.applied
        while True:
            await self._gossip_round()
            async with curio.ignore_after(self._settings.gossip_seconds):
                await applied.wait()

    async def poll_instance_list(self) -> None:
        """Read the platform's list of instances again and again."""
        while True:
            try:
                listed = await list_instances(
                    self._dial,
                    self._platform.instances,
                    self._platform.call_seconds,
                )
            except PlatformError as error:
                logger.debug('event=list_failed error="{}"', error)
            else:
                self._knowledge.membership.see_list(
                    Contact(
                        one.name,
                        one.zone,
                        one.address,
                        '',
                        one.state == 'leaving',
                    )
                    for one in listed
                )
            await curio.sleep(self._platform.list_seconds)

    async def handle(self, message):
        """Take in a peer's message and answer with this daemon's own."""
        await self._take_in(message)
        return self._build()

    async def announce_shutdown(self) -> None:
        """Tell all known peers at once, before leaving."""
        for contact in self._knowledge.membership.list_peers():
            await self._exchange(contact)

    def record_terminated(self, incarnation: str) -> None:
        """Remember a proof that a process ended, and pass it on."""
        if incarnation not in self._dead:
            self._dead.append(incarnation)
            del self._dead[:-_MAX_DEAD]
            self._knowledge.shares.see_dead(incarnation)
            logger.info('event=instance_dead incarnation={}', incarnation)

    async def _gossip_round(self) -> None:
        now = time.monotonic()
        for gone in self._knowledge.membership.forget(now):
            self.record_terminated(gone)
        contacts = self._knowledge.membership.list_peers()
        fanout = min(self._settings.gossip_fanout, len(contacts))
        for contact in self._random.sample(contacts, fanout):
            await curio.spawn(self._exchange, contact, daemon=True)

    async def _exchange(self, contact: Contact) -> None:
        membership = self._knowledge.membership
        try:
            answer = await self._peers.call(
                contact.address, 'gossip', self._build(), definitions.Gossip
            )
        except PeerRefusedError:
            dead = membership.see_refused(contact.name, time.monotonic())
            if dead is not None:
                self.record_terminated(dead)
        except PeerError as error:
            logger.debug(
                'event=gossip_failed peer={} error="{}"', contact.name, error
            )
        else:
            await self._take_in(answer)

    def _build(self):
        now = time.monotonic()
        knowledge = self._knowledge
        epoch = knowledge.shares.epoch
        known = knowledge.membership.list_known(now)
        known = self._random.sample(known, min(len(known), _MAX_MEMBERS))
        surplus = sorted(knowledge.list_surplus(now).items())
        count = min(len(surplus), _MAX_ENTRIES)
        return definitions.Gossip(
            sender=_encode_contact(knowledge.membership.own, 0),
            members=[_encode_contact(contact, age) for contact, age in known],
            manifest=self._build_manifest(now),
            epoch=epoch.number,
            is_settled=epoch.is_settled,
            dead=self._dead,
            views=[
                definitions.View(database=name, is_reached=False)
                for name in self._list_unreached(now)
            ],
            surplus=dict(self._random.sample(surplus, count)),
        )

    def _list_unreached(self, now: float) -> list[str]:
        return [
            name
            for name, group in self._knowledge.groups.items()
            if not group.controller.reaches_primary(now)
        ][:_MAX_ENTRIES]

    def _build_manifest(self, now: float):
        generations = self._knowledge.generations
        root = generations.applied
        age = generations.find_age(now) * _MILLISECONDS
        return definitions.ManifestState(
            generation=root.generation,
            confirmed_age_ms=int(min(age, _MAX_AGE_MS)),
        )

    async def _take_in(self, message) -> None:
        now = time.monotonic()
        knowledge = self._knowledge
        sender = _decode_contact(message.sender)
        shares = knowledge.shares
        proved = knowledge.membership.hear(sender, now)
        for dead in filter(None, (proved, *(message.dead or ()))):
            self.record_terminated(dead)
        shares.see_switched(sender.incarnation, sender.epoch)
        self._take_members(message.members or (), now)
        order = (message.epoch or 0, bool(message.is_settled))
        if order > shares.epoch.order:
            self._behind[sender.name] = sender.address
        else:
            self._behind.pop(sender.name, None)
        self._surplus[sender.address] = message.surplus or {}
        self._take_views(message, sender.name, now)
        await self._take_manifest(message.manifest, sender.address, now)

    def _take_members(self, members, now: float) -> None:
        for encoded in members:
            member = _decode_contact(encoded)
            age = (encoded.age_ms or 0) / _MILLISECONDS
            self._knowledge.membership.hear_of(member, age, now)
            self._knowledge.shares.see_switched(
                member.incarnation, member.epoch
            )

    def _take_views(self, message, name: str, now: float) -> None:
        unreached = {view.database for view in message.views or ()}
        for database, group in self._knowledge.groups.items():
            group.controller.see_view(name, database not in unreached, now)

    async def _take_manifest(self, state, address: str, now: float) -> None:
        if state is None or not state.generation:
            return
        await self._knowledge.manifest_updater.fetch_newer_root(
            state.generation, address
        )
        age = (state.confirmed_age_ms or 0) / _MILLISECONDS
        self._knowledge.generations.confirm(state.generation, now - age)


def _encode_contact(contact: Contact, age: float):
    return definitions.Contact(
        zone=contact.zone,
        address=contact.address,
        incarnation=contact.incarnation,
        is_leaving=contact.is_leaving,
        epoch=contact.epoch,
        age_ms=int(min(age * _MILLISECONDS, _MAX_AGE_MS)),
    )


def _decode_contact(encoded) -> Contact:
    return Contact(
        find_instance(encoded.incarnation or ''),
        encoded.zone or '',
        encoded.address or '',
        encoded.incarnation or '',
        bool(encoded.is_leaving),
        encoded.epoch or 0,
    )
