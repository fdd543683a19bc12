"""Ship a manifest to the platform's store, and read the one there."""

import secrets
from typing import Final, NamedTuple

import curio
from result import Err, Ok, Result

from comfreystair.fleet.manifest_updater import CHUNK_PREFIX, ROOT_KEY
from comfreystair.manifest import (
    ChunkError,
    Manifest,
    ManifestError,
    Root,
    decode_manifest,
    encode_manifest,
    join_chunks,
    split_manifest,
)
from comfreystair.manifest.chunks import (
    build_next_root,
    decode_root,
    encode_root,
)
from comfreystair.etcd import PlatformError, Store

_ATTEMPTS: Final = 5
_RETRY_SECONDS: Final = 0.3
_INLINE_BYTES: Final = 524288
_IDENT_BYTES: Final = 8


class Shipped(NamedTuple):
    """A manifest that is in the store.

    :param root: the root that names it.
    :param revision: of the root key.
    """

    root: Root
    revision: int
    manifest: Manifest | None


class Conflict(NamedTuple):
    """Another manifest was shipped in between."""

    current: Shipped


async def read_shipped(store: Store) -> Shipped:
    """Read the manifest in the store; generation 0 when there is none.

    :raises PlatformError: when the store does not answer.
    :raises ChunkError: when what it holds is damaged.
    """
    pair = await store.read(ROOT_KEY)
    if not pair.revision:
        return Shipped(Root(0, ()), 0, None)
    root = decode_root(pair.content)
    chunks = {}
    for name in root.chunks:
        chunk = await store.read(f'{CHUNK_PREFIX}{name}')
        chunks[name] = chunk.content
    try:
        manifest = decode_manifest(join_chunks(root, chunks))
    except ManifestError as error:
        raise ChunkError(str(error), 'read') from error
    return Shipped(root, pair.revision, manifest)


async def ship_manifest(
    store: Store,
    manifest: Manifest,
    expected: int | None,
    shipped_by: str,
    above: int = 0,
) -> Result[Root, Conflict]:
    """Put a manifest in the place of the one that is expected there.

    An answer that was lost is resolved by reading back: a root keeps the
    idents of the attempts that came before it.

    :param expected: generation to replace, by default the one found there.
    :param above: generation that the new one must exceed as well.
    :raises PlatformError: when the store can't be asked any more; the outcome
        is then unknown.
    """
    current = await read_shipped(store)
    if expected is not None and current.root.generation != expected:
        return Err(Conflict(current))
    chunks = split_manifest(encode_manifest(manifest))
    ident = secrets.token_hex(_IDENT_BYTES)
    root = build_next_root(current.root, chunks, shipped_by, ident, above)
    beside = {f'{CHUNK_PREFIX}{name}': piece for name, piece in chunks.items()}
    if sum(len(piece) for piece in beside.values()) > _INLINE_BYTES:
        await _write_chunks(store, beside)
        beside = {}
    for _ in range(_ATTEMPTS):
        try:
            is_written = await store.swap(
                ROOT_KEY, encode_root(root), current.revision, beside
            )
        except PlatformError:
            await curio.sleep(_RETRY_SECONDS)
            is_written = False
        found = await _read_patiently(store)
        if is_written or found.root.has_shipped(ident):
            return Ok(root)
        if found.revision != current.revision:
            return Err(Conflict(found))
    raise PlatformError('the store did not take the manifest', 'ship')


async def _write_chunks(store: Store, chunks: dict[str, bytes]) -> None:
    for key, piece in chunks.items():
        pair = await store.read(key)
        if pair.content != piece:
            await store.swap(key, piece, pair.revision)


async def _read_patiently(store: Store) -> Shipped:
    for _ in range(_ATTEMPTS):
        try:
            return await read_shipped(store)
        except PlatformError:
            await curio.sleep(_RETRY_SECONDS)
    return await read_shipped(store)
