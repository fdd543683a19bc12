"""Keep the epoch of shares: read it, write the next, fetch it from peers."""

import time
from collections.abc import Callable
from typing import Final

import curio
import msgspec
from loguru import logger

from comfreystair.controllers.membership import (
    MembershipController,
    rank_members,
)
from comfreystair.controllers.shares import Epoch, ShareController
from comfreystair.etcd import Store
from comfreystair.exceptions import ComfreystairError
from comfreystair.fleet.gossip import Gossiper
from comfreystair.peers import PeerClients
from comfreystair.peers.messages import definitions

SHARES_KEY: Final = 'shares'
_ROUND_SECONDS: Final = 0.25
_READ_SECONDS: Final = 5.0
_STABLE_SECONDS: Final = 1.5
_STABLE_SECONDS_A_DAEMON: Final = 0.1
_ISOLATED_SECONDS: Final = 300.0

SetShare = Callable[[float, float], None]


class LimitShareCoordinator:
    """Carry out what the share controller plans."""

    def __init__(
        self,
        controller: ShareController,
        membership: MembershipController,
        gossiper: Gossiper,
        store: Store,
        peers: PeerClients,
        set_share: SetShare,
    ) -> None:
        """Take the parts; nothing is read before :meth:`run`.

        :param set_share: puts a share in use, at a time; it is called before
            anybody can hear that this daemon has switched.
        """
        self._controller = controller
        self._membership = membership
        self._gossiper = gossiper
        self._store = store
        self._peers = peers
        self._live: tuple[str, ...] = ()
        self._stable_since = 0.0
        self._read_at = 0.0
        self._contact_at = time.monotonic()
        self._set_share = set_share

    async def run(self) -> None:
        """Keep the share in use up to date until cancelled."""
        while True:
            now = time.monotonic()
            try:
                await self._catch_up()
                await self._coordinate(now)
            except ComfreystairError as error:
                logger.debug('event=shares_failed error="{}"', error)
            self._check_isolation(now)
            await curio.sleep(_ROUND_SECONDS)

    def handle_request(self, _request=None):
        """Return the newest epoch, for a peer."""
        epoch = self._controller.epoch
        return definitions.Epoch(
            number=epoch.number,
            units=epoch.units,
            previous=epoch.previous,
            is_settled=epoch.is_settled,
        )

    async def _catch_up(self) -> None:
        for address in list(self._gossiper.newer_epoch_peers.values())[:1]:
            learned = await self._peers.call(
                address, 'shares', definitions.Empty(), definitions.Epoch
            )
            self._learn(
                Epoch(
                    learned.number or 0,
                    learned.units or {},
                    learned.previous or {},
                    bool(learned.is_settled),
                )
            )
            self._gossiper.newer_epoch_peers.clear()

    async def _coordinate(self, now: float) -> None:
        live = self._membership.list_live(now)
        names = tuple(one.incarnation for one in live)
        if names != self._live:
            self._live = names
            self._stable_since = now
        epoch = self._controller.epoch
        holders = {*epoch.units, *epoch.previous}
        for replaced in self._membership.find_replaced(holders, now):
            self._gossiper.record_terminated(replaced)
        own = self._membership.own
        ranked = rank_members('shares', [one.name for one in live])
        is_coordinator = ranked[:1] == [own.name]
        if not is_coordinator:
            return
        if self._controller.plan(names) is None and now < self._read_at:
            return
        if now - self._stable_since < self._find_pause(len(names)):
            return
        await self._write(names, now)

    def _find_pause(self, live: int) -> float:
        """Return how long daemons must not have come or gone.

        An epoch goes to every daemon and names every daemon, so large fleets
        gather more changes into one. One that must settle does not wait.
        """
        if not self._controller.epoch.is_settled:
            return 0
        is_first = not self._controller.epoch.units
        per_daemon = 0 if is_first else live * _STABLE_SECONDS_A_DAEMON
        return _STABLE_SECONDS + per_daemon

    async def _write(self, names: tuple[str, ...], now: float) -> None:
        pair = await self._store.read(SHARES_KEY)
        self._read_at = now + _READ_SECONDS
        if pair.revision:
            self._learn(msgspec.json.decode(pair.content, type=Epoch))
        planned = self._controller.plan(names)
        if planned is None:
            return
        is_written = await self._store.swap(
            SHARES_KEY, msgspec.json.encode(planned), pair.revision
        )
        if is_written:
            self._learn(planned)

    def _learn(self, epoch: Epoch) -> None:
        if self._controller.learn(epoch):
            self._set_share(self._controller.share, time.monotonic())
            self._membership.switch(epoch.number)
            logger.info(
                'event=shares_changed epoch={} settled={} holders={} share={}',
                epoch.number,
                epoch.is_settled,
                len(epoch.units),
                round(self._controller.share, 4),
            )

    def _check_isolation(self, now: float) -> None:
        heard_at = self._membership.find_heard_at()
        alone = not self._membership.list_peers()
        self._contact_at = now if alone else max(self._contact_at, heard_at)
        if now - self._contact_at > _ISOLATED_SECONDS:
            self._controller.drop()
            self._set_share(0, now)
