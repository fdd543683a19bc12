"""Gossip between daemons.

Each round, a daemon exchanges what it knows with a few others: members,
manifest generation, epoch of the limit shares, processes that have
terminated, primaries that the daemon can't reach, and tokens that it can
lend.
"""

import random
import time
from collections.abc import Callable
from typing import Final, NamedTuple

import curio
from loguru import logger

from comfreystair.conf.schema import PeersSection, PlatformSection
from comfreystair.controllers.limit_shares import LimitShareController
from comfreystair.controllers.manifest_generation import (
    ManifestGenerationController,
)
from comfreystair.controllers.membership import (
    Contact,
    MembershipController,
    get_instance_name,
)
from comfreystair.dialing import Dial
from comfreystair.etcd import PlatformError, list_instances
from comfreystair.fleet.manifest_updater import ManifestUpdater
from comfreystair.manifest.chunks import RootVersion
from comfreystair.peers import PeerClients, PeerError, PeerRefusedError
from comfreystair.peers.messages import definitions
from comfreystair.targets.groups import DatabaseGroup

_MILLISECONDS: Final = 1000
_MAX_AGE_MS: Final = 2000000000
_MAX_MEMBERS: Final = 6
_MAX_TERMINATED: Final = 16
_MAX_ENTRIES: Final = 8


class GossipState(NamedTuple):
    """State that gossip messages are built from and update.

    :param groups: database groups by database name.
    :param list_surplus: returns the tokens that can be lent at a time in
        monotonic seconds, by organisation.
    """

    membership: MembershipController
    generations: ManifestGenerationController
    shares: LimitShareController
    manifest_updater: ManifestUpdater
    groups: dict[str, DatabaseGroup]
    list_surplus: Callable[[float], dict[str, float]]


class Gossiper:
    """Exchange state with a few peers in each round, in both directions."""

    def __init__(
        self,
        state: GossipState,
        peers: PeerClients,
        dial: Dial,
        settings: PeersSection,
        platform: PlatformSection,
    ) -> None:
        """Create a gossiper that sends nothing until its loops run.

        The loops are :meth:`run` and :meth:`poll_instance_list`.

        :param dial: opens connections to the platform's list of instances.
        :param settings: interval, and number of peers in each round.
        :param platform: address of the list, interval and timeout of reads.
        """
        self._state = state
        self._peers = peers
        self._dial = dial
        self._settings = settings
        self._platform = platform
        self._random = random.Random(state.membership.own.incarnation)
        self._terminated: list[str] = []
        self._surplus: dict[str, dict[str, float]] = {}
        self._newer_epoch_peers: dict[str, str] = {}

    @property
    def surplus(self) -> dict[str, dict[str, float]]:
        """Return tokens that peers could lend, by address and organisation."""
        return self._surplus

    @property
    def newer_epoch_peers(self) -> dict[str, str]:
        """Return addresses of peers with a newer epoch, by instance name."""
        return self._newer_epoch_peers

    async def run(self) -> None:
        """Gossip every ``gossip_seconds`` until cancelled.

        A newly applied manifest starts the next round immediately.
        """
        applied = self._state.manifest_updater.applied
        while True:
            await self._gossip_round()
            async with curio.ignore_after(self._settings.gossip_seconds):
                await applied.wait()

    async def poll_instance_list(self) -> None:
        """Read the platform's list of instances every ``list_seconds``."""
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
                self._state.membership.update_listed(
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
        """Apply a peer's message and return this daemon's own."""
        await self._apply_message(message)
        return self._build_message()

    async def announce_shutdown(self) -> None:
        """Gossip with all known peers immediately, before a shutdown."""
        for contact in self._state.membership.list_peers():
            await self._exchange(contact)

    def record_terminated(self, incarnation: str) -> None:
        """Record that a process provably terminated, and pass that on.

        Messages to peers name the last ``_MAX_TERMINATED`` such processes.

        :param incarnation: identifies the process, as an instance has a new
            incarnation after each start.
        """
        if incarnation not in self._terminated:
            self._terminated.append(incarnation)
            del self._terminated[:-_MAX_TERMINATED]
            self._state.shares.record_terminated(incarnation)
            logger.info('event=instance_dead incarnation={}', incarnation)

    async def _gossip_round(self) -> None:
        """Remove expired members and gossip with a random sample of peers.

        An expired member counts as terminated: it was silent for so long that
        it has given up its own share of the limits.
        """
        now = time.monotonic()
        for expired in self._state.membership.remove_expired(now):
            self.record_terminated(expired)
        contacts = self._state.membership.list_peers()
        fanout = min(self._settings.gossip_fanout, len(contacts))
        for contact in self._random.sample(contacts, fanout):
            await curio.spawn(self._exchange, contact, daemon=True)

    async def _exchange(self, contact: Contact) -> None:
        """Send this daemon's message to a peer and apply the reply.

        A refused connection may prove that the peer's process terminated.
        """
        membership = self._state.membership
        try:
            answer = await self._peers.call(
                contact.address,
                'gossip',
                self._build_message(),
                definitions.Gossip,
            )
        except PeerRefusedError:
            terminated = membership.record_connection_refused(
                contact.name, time.monotonic()
            )
            if terminated is not None:
                self.record_terminated(terminated)
        except PeerError as error:
            logger.debug(
                'event=gossip_failed peer={} error="{}"', contact.name, error
            )
        else:
            await self._apply_message(answer)

    def _build_message(self):
        now = time.monotonic()
        state = self._state
        epoch = state.shares.epoch
        known = state.membership.list_heard(now)
        known = self._random.sample(known, min(len(known), _MAX_MEMBERS))
        surplus = sorted(state.list_surplus(now).items())
        count = min(len(surplus), _MAX_ENTRIES)
        return definitions.Gossip(
            sender=_encode_contact(state.membership.own, 0),
            members=[_encode_contact(contact, age) for contact, age in known],
            manifest=self._build_manifest_state(now),
            epoch=epoch.number,
            is_settled=epoch.is_settled,
            dead=self._terminated,
            views=[
                definitions.View(database=name, is_reached=False)
                for name in self._list_unreachable_primaries(now)
            ],
            surplus=dict(self._random.sample(surplus, count)),
        )

    def _list_unreachable_primaries(self, now: float) -> list[str]:
        return [
            name
            for name, group in self._state.groups.items()
            if not group.controller.reaches_primary(now)
        ][:_MAX_ENTRIES]

    def _build_manifest_state(self, now: float):
        generations = self._state.generations
        root = generations.applied
        age = generations.find_confirmation_age(now) * _MILLISECONDS
        return definitions.ManifestState(
            generation=root.generation,
            confirmed_age_ms=int(min(age, _MAX_AGE_MS)),
            ident_hash=root.version.ident_hash,
        )

    async def _apply_message(self, message) -> None:
        """Apply what a peer knows to the state of this daemon.

        The message holds only the number of the peer's epoch and whether it
        is settled. A peer with a newer epoch is recorded, so that the epoch
        can be fetched from it.
        """
        now = time.monotonic()
        state = self._state
        sender = _decode_contact(message.sender)
        shares = state.shares
        terminated_sender = state.membership.record_message(sender, now)
        for terminated in filter(
            None, (terminated_sender, *(message.dead or ()))
        ):
            self.record_terminated(terminated)
        shares.record_epoch_in_use(sender.incarnation, sender.epoch)
        self._apply_members(message.members or (), now)
        version = (message.epoch or 0, bool(message.is_settled))
        if version > shares.epoch.version:
            self._newer_epoch_peers[sender.name] = sender.address
        else:
            self._newer_epoch_peers.pop(sender.name, None)
        self._surplus[sender.address] = message.surplus or {}
        self._record_reachability(message, sender.name, now)
        await self._apply_manifest_state(message.manifest, sender.address, now)

    def _apply_members(self, members, now: float) -> None:
        for encoded in members:
            member = _decode_contact(encoded)
            age = (encoded.age_ms or 0) / _MILLISECONDS
            self._state.membership.record_gossip(member, age, now)
            self._state.shares.record_epoch_in_use(
                member.incarnation, member.epoch
            )

    def _record_reachability(self, message, name: str, now: float) -> None:
        """Record which primaries a peer can reach.

        Its message lists only those that it can't reach.
        """
        unreachable = {view.database for view in message.views or ()}
        for database, group in self._state.groups.items():
            group.controller.record_peer_view(
                name, database not in unreachable, now
            )

    async def _apply_manifest_state(
        self, state, address: str, now: float
    ) -> None:
        if state is None or not state.generation:
            return
        await self._state.manifest_updater.fetch_newer_root(
            state.generation, address
        )
        age = (state.confirmed_age_ms or 0) / _MILLISECONDS
        version = RootVersion(state.generation, state.ident_hash or 0)
        self._state.generations.confirm(version, now - age)


def _encode_contact(contact: Contact, age: float):
    """Return a contact as part of a message.

    :param age: seconds since the instance was last heard from.
    """
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
        get_instance_name(encoded.incarnation or ''),
        encoded.zone or '',
        encoded.address or '',
        encoded.incarnation or '',
        bool(encoded.is_leaving),
        encoded.epoch or 0,
    )
