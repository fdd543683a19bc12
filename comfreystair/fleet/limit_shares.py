"""Coordinate how fleet-wide limits are split between daemons.

An epoch assigns each daemon a share of the limits. Daemons fetch a newer
epoch from peers. One daemon, the coordinator, writes the next epoch to the
store when daemons join or leave.
"""

import time
from collections.abc import Callable
from typing import Final

import curio
import msgspec
from loguru import logger

from comfreystair.controllers.limit_shares import Epoch, LimitShareController
from comfreystair.controllers.membership import (
    MembershipController,
    rank_by_rendezvous_hash,
)
from comfreystair.etcd import Store
from comfreystair.exceptions import ComfreystairError
from comfreystair.fleet.gossip import Gossiper
from comfreystair.peers import PeerClients
from comfreystair.peers.messages import definitions

SHARES_KEY: Final = 'shares'
_UPDATE_INTERVAL_SECONDS: Final = 0.25
_REREAD_INTERVAL_SECONDS: Final = 5.0
_STABLE_SECONDS: Final = 1.5
_STABLE_SECONDS_PER_DAEMON: Final = 0.1
_MAX_ISOLATION_SECONDS: Final = 300.0

SetShare = Callable[[float, float], None]


class LimitShareCoordinator:
    """Apply epochs of limit shares, and write new ones as coordinator."""

    def __init__(
        self,
        controller: LimitShareController,
        membership: MembershipController,
        gossiper: Gossiper,
        store: Store,
        peers: PeerClients,
        set_share: SetShare,
    ) -> None:
        """Create a coordinator that reads nothing before :meth:`run`.

        :param set_share: applies a share, 0 to 1, as of a time in monotonic
            seconds; it is called before any other daemon can learn that this
            one has switched epochs.
        """
        self._controller = controller
        self._membership = membership
        self._gossiper = gossiper
        self._store = store
        self._peers = peers
        self._live_incarnations: tuple[str, ...] = ()
        self._stable_since = 0.0
        self._reread_at = 0.0
        self._last_contact_at = time.monotonic()
        self._set_share = set_share

    async def run(self) -> None:
        """Keep this daemon's share up to date until cancelled."""
        while True:
            now = time.monotonic()
            try:
                await self._fetch_newer_epoch()
                await self._coordinate(now)
            except ComfreystairError as error:
                logger.debug('event=shares_failed error="{}"', error)
            self._relinquish_if_isolated(now)
            await curio.sleep(_UPDATE_INTERVAL_SECONDS)

    def handle_request(self, _request=None):
        """Return the newest known epoch, as a message to a peer."""
        epoch = self._controller.epoch
        return definitions.Epoch(
            number=epoch.number,
            units=epoch.units,
            previous=epoch.previous,
            is_settled=epoch.is_settled,
        )

    async def _fetch_newer_epoch(self) -> None:
        """Fetch and apply the epoch of one peer that has a newer one."""
        for address in list(self._gossiper.newer_epoch_peers.values())[:1]:
            received = await self._peers.call(
                address, 'shares', definitions.Empty(), definitions.Epoch
            )
            self._apply_epoch(
                Epoch(
                    received.number or 0,
                    received.units or {},
                    received.previous or {},
                    bool(received.is_settled),
                )
            )
            self._gossiper.newer_epoch_peers.clear()

    async def _coordinate(self, now: float) -> None:
        """Write the next epoch if this daemon is the coordinator.

        The coordinator is the live daemon that ranks first. While no epoch
        is due, it still rereads the store every ``_REREAD_INTERVAL_SECONDS``.
        """
        live = self._membership.list_live(now)
        incarnations = tuple(one.incarnation for one in live)
        if incarnations != self._live_incarnations:
            self._live_incarnations = incarnations
            self._stable_since = now
        epoch = self._controller.epoch
        holders = {*epoch.units, *epoch.previous}
        for terminated in self._membership.find_terminated(holders, now):
            self._gossiper.record_terminated(terminated)
        own = self._membership.own
        ranked = rank_by_rendezvous_hash('shares', [one.name for one in live])
        is_coordinator = ranked[:1] == [own.name]
        if not is_coordinator:
            return
        if (
            self._controller.plan_next_epoch(incarnations) is None
            and now < self._reread_at
        ):
            return
        if now - self._stable_since < self._find_stable_seconds(
            len(incarnations)
        ):
            return
        await self._write_next_epoch(incarnations, now)

    def _find_stable_seconds(self, live_count: int) -> float:
        """Return for how many seconds the set of live daemons must be stable.

        The next epoch is written only after that. An epoch is sent to every
        daemon and names every daemon, so a larger fleet waits longer and
        combines more changes into one epoch. There is no wait while the
        current epoch is unsettled, that is, while some daemon may still use
        the previous one.
        """
        if not self._controller.epoch.is_settled:
            return 0
        is_first = not self._controller.epoch.units
        per_daemon = 0 if is_first else live_count * _STABLE_SECONDS_PER_DAEMON
        return _STABLE_SECONDS + per_daemon

    async def _write_next_epoch(
        self, incarnations: tuple[str, ...], now: float
    ) -> None:
        """Read the newest epoch from the store and write its successor.

        Nothing is written when no successor is due, or when another daemon
        has changed the entry since it was read.
        """
        entry = await self._store.read(SHARES_KEY)
        self._reread_at = now + _REREAD_INTERVAL_SECONDS
        if entry.revision:
            self._apply_epoch(msgspec.json.decode(entry.content, type=Epoch))
        planned = self._controller.plan_next_epoch(incarnations)
        if planned is None:
            return
        is_written = await self._store.swap(
            SHARES_KEY, msgspec.json.encode(planned), entry.revision
        )
        if is_written:
            self._apply_epoch(planned)

    def _apply_epoch(self, epoch: Epoch) -> None:
        """Switch to an epoch if it is newer than the known one."""
        if self._controller.update(epoch):
            self._set_share(self._controller.share, time.monotonic())
            self._membership.set_epoch(epoch.number)
            logger.info(
                'event=shares_changed epoch={} settled={} holders={} share={}',
                epoch.number,
                epoch.is_settled,
                len(epoch.units),
                round(self._controller.share, 4),
            )

    def _relinquish_if_isolated(self, now: float) -> None:
        """Give up the share when no peer has sent anything for too long.

        It is given up for good, before other daemons count this one as
        terminated. A daemon that knows no peers is alone, not isolated.
        """
        heard_at = self._membership.find_last_heard_at()
        is_alone = not self._membership.list_peers()
        self._last_contact_at = (
            now if is_alone else max(self._last_contact_at, heard_at)
        )
        if now - self._last_contact_at > _MAX_ISOLATION_SECONDS:
            self._controller.relinquish()
            self._set_share(0, now)
