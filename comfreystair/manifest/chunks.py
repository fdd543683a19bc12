"""Split a manifest into values that the platform's store can hold.

The root names the chunks by the hash of their content, so a chunk never
changes once written and a root never points at a half-written manifest.
Small chunks keep what a change costs in step with the change, not with the
manifest.
"""

import zlib
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

import msgspec
import xxhash

from comfreystair.manifest.exceptions import ChunkError
from comfreystair.tasks import describe_error

_SECTIONS: Final = ('databases', 'organisations', 'services')
_BUCKET_BYTES: Final = 16384
_MAX_BUCKETS: Final = 1024
_KEPT_IDENTS: Final = 32
# Thrift's 32-bit integers have a sign.
_IDENT_HASH_MASK: Final = 0x7FFFFFFF


class RootVersion(NamedTuple):
    """Which root it is.

    :param ident_hash: 31 bits of the hash of its ident.
    """

    generation: int
    ident_hash: int


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

    @property
    def version(self) -> RootVersion:
        """Return the generation with a hash of the ident.

        Generations are given out again when the store has lost some.
        """
        digest = xxhash.xxh32_intdigest(self.ident.encode())
        return RootVersion(self.generation, digest & _IDENT_HASH_MASK)

    def has_shipped(self, ident: str) -> bool:
        """Tell whether an attempt became this generation or one before."""
        return ident == self.ident or ident in self.history


def build_next_root(
    current: Root,
    chunks: Iterable[str],
    shipped_by: str,
    ident: str,
    above: int = 0,
) -> Root:
    """Build the root that follows another.

    :param above: highest generation that was in force, if the store has lost
        it.
    """
    history = tuple(filter(None, (current.ident, *current.history)))
    return Root(
        max(current.generation, above) + 1,
        tuple(chunks),
        shipped_by,
        ident,
        history[:_KEPT_IDENTS],
    )


def split_manifest(content: bytes) -> dict[str, bytes]:
    """Split a manifest into compressed chunks by hash, in order.

    Entries are put into buckets by their names, so that a change of one entry
    changes one chunk, and the others are neither written nor fetched again.
    """
    document = msgspec.json.decode(content)
    sections = {
        name: document.pop(name) for name in _SECTIONS if name in document
    }
    count = _count_buckets(len(content))
    buckets: list[dict[str, list]] = [{} for _ in range(count)]
    for name, entries in sections.items():
        for entry in entries:
            bucket = buckets[_find_bucket(entry, count)]
            bucket.setdefault(name, []).append(entry)
    pieces = [_pack(part) for part in (document, *filter(None, buckets))]
    return {hash_chunk(piece): piece for piece in pieces}


def join_chunks(root: Root, chunks: Mapping[str, bytes]) -> bytes:
    """Put a manifest together again; entries are in the order of names.

    :raises ChunkError: when a chunk is missing or damaged.
    """
    document: dict = {name: [] for name in _SECTIONS}
    for name in root.chunks:
        piece = chunks.get(name)
        if piece is None or hash_chunk(piece) != name:
            raise ChunkError(f'chunk {name} is missing or damaged', 'join')
        for section, part in _unpack(piece).items():
            if section in _SECTIONS:
                document[section].extend(part)
            else:
                document[section] = part
    for section in _SECTIONS:
        document[section].sort(key=_find_name)
    return msgspec.json.encode(document)


def _count_buckets(length: int) -> int:
    wanted = length // _BUCKET_BYTES
    return max(1, min(1 << wanted.bit_length(), _MAX_BUCKETS))


def _find_bucket(entry: dict, count: int) -> int:
    return xxhash.xxh3_64_intdigest(_find_name(entry).encode()) % count


def _find_name(entry: dict) -> str:
    return str(entry.get('name', ''))


def _pack(part: dict) -> bytes:
    return zlib.compress(msgspec.json.encode(part, order='sorted'))


def _unpack(piece: bytes) -> dict:
    try:
        return msgspec.json.decode(zlib.decompress(piece))
    except Exception as error:
        raise ChunkError(describe_error(error), 'join') from error


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
    except Exception as error:
        raise ChunkError(describe_error(error), 'root') from error
