"""Fetch and apply new manifests from the store and from other daemons.

The root of a manifest holds its generation and the names of its chunks.
"""

import time
from collections.abc import Awaitable, Callable
from typing import Final

import curio
from loguru import logger

from comfreystair.conf.schema import PlatformSection
from comfreystair.controllers.manifest_generation import (
    ManifestGenerationController,
)
from comfreystair.controllers.membership import (
    MembershipController,
    rank_by_rendezvous_hash,
)
from comfreystair.etcd import PlatformError, Store
from comfreystair.exceptions import ComfreystairError
from comfreystair.manifest.chunks import Root, decode_root, join_chunks
from comfreystair.manifest.codec import decode_manifest
from comfreystair.manifest.index import ManifestIndex
from comfreystair.peers import PeerClients, PeerError
from comfreystair.peers.messages import definitions

ROOT_KEY: Final = 'manifest/root'
CHUNK_PREFIX: Final = 'manifest/chunk/'
_RETRY_SECONDS: Final = 0.2
_WATCHER_CHECK_SECONDS: Final = 0.5

ApplyManifest = Callable[[ManifestIndex], Awaitable[None]]


class ManifestUpdater:
    """Detect new manifests, fetch their chunks, and apply them.

    Only some daemons of each availability zone watch the store; the others
    learn of a new generation from their peers.
    """

    def __init__(
        self,
        controller: ManifestGenerationController,
        membership: MembershipController,
        store: Store,
        peers: PeerClients,
        settings: PlatformSection,
    ) -> None:
        """Create an updater that reads nothing until its loops run.

        The loops are :meth:`watch`, :meth:`poll_root` and
        :meth:`apply_changes`.

        :param membership: which daemons are alive, to elect the watchers.
        :param settings: watchers per zone, and interval of :meth:`poll_root`.
        """
        self._controller = controller
        self._membership = membership
        self._store = store
        self._peers = peers
        self._settings = settings
        self._chunks: dict[str, bytes] = {}
        self._root_sources: list[str] = []
        self._changed = curio.Event()
        self._applied = curio.Event()

    @property
    def applied(self) -> curio.Event:
        """Return the event that wakes its waiters after each new manifest."""
        return self._applied

    def get_chunk(self, name: str) -> bytes | None:
        """Return a chunk of the applied manifest, or None for other names."""
        return self._chunks.get(name)

    async def record_root(self, root: Root, address: str = '') -> None:
        """Record a root that a peer sent or that was read from the store.

        :param address: peer to fetch chunks from, empty for the store.
        """
        if address and address not in self._root_sources:
            self._root_sources.append(address)
        if self._controller.record_root(root):
            logger.info('event=manifest_seen generation={}', root.generation)
            await self._changed.set()

    async def fetch_newer_root(self, generation: int, address: str) -> None:
        """Fetch a peer's root if it is newer than the newest known root.

        :param generation: generation that the peer has applied.
        :param address: address of the peer.
        """
        if generation <= self._controller.newest.generation:
            return
        try:
            found = await self._peers.call(
                address, 'root', definitions.Empty(), definitions.Root
            )
        except PeerError as error:
            logger.debug('event=root_failed error="{}"', error)
            return
        root = Root(
            found.generation or 0,
            tuple(found.chunks or ()),
            found.shipped_by or '',
            found.ident or '',
            tuple(found.history or ()),
        )
        await self.record_root(root, address)

    def build_root_message(self):
        """Return the root of the applied manifest, as a message to a peer."""
        root = self._controller.applied
        return definitions.Root(
            generation=root.generation,
            chunks=list(root.chunks),
            shipped_by=root.shipped_by,
            ident=root.ident,
            history=list(root.history),
        )

    async def watch(self) -> None:
        """Watch the store while this daemon is one of its zone's watchers."""
        while True:
            if not self._is_watcher():
                await curio.sleep(_WATCHER_CHECK_SECONDS)
                continue
            try:
                await self._watch_once()
            except (PlatformError, ComfreystairError) as error:
                logger.debug('event=watch_failed error="{}"', error)
                await curio.sleep(_RETRY_SECONDS)

    async def poll_root(self) -> None:
        """Read the root every ``confirm_seconds`` to confirm the generation.

        Only the watchers of the zone read it.
        """
        while True:
            if self._is_watcher():
                try:
                    await self.read_root()
                except ComfreystairError as error:
                    logger.debug('event=confirm_failed error="{}"', error)
            await curio.sleep(self._settings.confirm_seconds)

    async def read_root(self) -> int:
        """Read the root once and return its store revision, 0 for no root.

        :raises PlatformError: when the store does not answer.
        """
        asked_at = time.monotonic()
        entry = await self._store.read(ROOT_KEY)
        if entry.revision:
            await self._record_stored_root(entry.content, asked_at)
        return entry.revision

    async def apply_changes(self, apply: ApplyManifest) -> None:
        """Fetch and apply each newer manifest until cancelled."""
        while True:
            root = self._controller.pending
            if root is None:
                await self._changed.wait()
                self._changed.clear()
                continue
            try:
                await self._apply_root(root, apply)
            except ComfreystairError as error:
                logger.warning(
                    'event=manifest_fetch_failed generation={} error="{}"',
                    root.generation,
                    error,
                )
                await curio.sleep(_RETRY_SECONDS)

    async def _record_stored_root(self, content: bytes, at: float) -> None:
        """Record a root of the store, and that it was the newest at a time.

        A root that can't come into force is logged.
        """
        root = decode_root(content)
        await self.record_root(root)
        self._controller.confirm(root.version, at)
        if self._controller.is_superseded(root):
            logger.warning(
                'event=manifest_superseded generation={} known={}',
                root.generation,
                self._controller.newest.generation,
            )

    def _is_watcher(self) -> bool:
        """Tell whether this daemon ranks among the watchers of its zone."""
        own = self._membership.own
        live = self._membership.list_live(time.monotonic())
        names = {one.name for one in live if one.zone == own.zone}
        ranked = rank_by_rendezvous_hash('manifest', names | {own.name})
        return own.name in ranked[: self._settings.watchers_per_zone]

    async def _watch_once(self) -> None:
        """Watch the root until this daemon is no longer a watcher."""
        revision = await self.read_root()
        async for entry in self._store.watch(ROOT_KEY, revision + 1):
            await self._record_stored_root(entry.content, time.monotonic())
            if not self._is_watcher():
                return

    async def _apply_root(self, root: Root, apply: ApplyManifest) -> None:
        chunks = {}
        for name in root.chunks:
            chunks[name] = await self._fetch_chunk(name)
        content = join_chunks(root, chunks)
        index = ManifestIndex(root.generation, decode_manifest(content))
        if not self._controller.apply(root):
            return
        self._chunks = chunks
        await apply(index)
        logger.info('event=manifest_applied generation={}', root.generation)
        await self._applied.set()
        self._applied.clear()

    async def _fetch_chunk(self, name: str) -> bytes:
        """Return a chunk of a new manifest.

        It comes from the applied manifest if unchanged, else from the last
        peers that sent a root, else from the store.
        """
        if name in self._chunks:
            return self._chunks[name]
        for address in reversed(self._root_sources[-3:]):
            try:
                chunk = await self._peers.call(
                    address,
                    'chunk',
                    definitions.ChunkRequest(name=name),
                    definitions.Chunk,
                )
            except PeerError:
                continue
            if chunk.content:
                return chunk.content
        entry = await self._store.read(f'{CHUNK_PREFIX}{name}')
        return entry.content
