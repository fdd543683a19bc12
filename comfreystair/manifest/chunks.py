"""Split a manifest into values that the platform's store can hold.

The root names the chunks by the hash of their content, so a chunk never
changes once written and a root never points at a half-written manifest.
"""

import zlib
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

import msgspec
import xxhash

from comfreystair.manifest.exceptions import ChunkError

CHUNK_BYTES: Final = 524288
_KEPT_IDENTS: Final = 32


class Root(NamedTuple):
    """What the root key of the store holds.

    :param generation: goes up by one with each manifest shipped.
    :param chunks: hashes of the chunks, in order.
    :param shipped_by: who shipped it.
    :param ident: unique for each attempt to ship.
    :param history: idents of the generations before, newest first.
    """

    generation: int
    chunks: tuple[str, ...]
    shipped_by: str = ''
    ident: str = ''
    history: tuple[str, ...] = ()

    def has_shipped(self, ident: str) -> bool:
        """Tell whether an attempt became this generation or one before."""
        return ident == self.ident or ident in self.history


def build_next_root(
    current: Root, chunks: Iterable[str], shipped_by: str, ident: str
) -> Root:
    """Build the root that follows another."""
    history = tuple(filter(None, (current.ident, *current.history)))
    return Root(
        current.generation + 1,
        tuple(chunks),
        shipped_by,
        ident,
        history[:_KEPT_IDENTS],
    )


def split_manifest(content: bytes) -> dict[str, bytes]:
    """Compress a manifest and return its chunks by hash, in order."""
    packed = zlib.compress(content)
    pieces = [
        packed[start : start + CHUNK_BYTES]
        for start in range(0, len(packed), CHUNK_BYTES)
    ]
    return {hash_chunk(piece): piece for piece in pieces}


def join_chunks(root: Root, chunks: Mapping[str, bytes]) -> bytes:
    """Put a manifest together again.

    :raises ChunkError: when a chunk is missing or damaged.
    """
    pieces = []
    for name in root.chunks:
        piece = chunks.get(name)
        if piece is None or hash_chunk(piece) != name:
            raise ChunkError(f'chunk {name} is missing or damaged', 'join')
        pieces.append(piece)
    try:
        return zlib.decompress(b''.join(pieces))
    except zlib.error as error:
        raise ChunkError(str(error), 'join') from error


def hash_chunk(piece: bytes) -> str:
    """Return the name of a chunk."""
    return xxhash.xxh3_128_hexdigest(piece)


def encode_root(root: Root) -> bytes:
    """Encode the root for the store."""
    return msgspec.json.encode(root)


def decode_root(content: bytes) -> Root:
    """Decode a root.

    :raises ChunkError: when it is not a root.
    """
    try:
        return msgspec.json.decode(content, type=Root)
    except msgspec.DecodeError as error:
        raise ChunkError(str(error), 'root') from error
