"""Chunks: put together again, and few of them change."""

import unittest

import msgspec

from comfreystair.manifest import (
    ChunkError,
    Manifest,
    Root,
    decode_manifest,
    encode_manifest,
    join_chunks,
    split_manifest,
)
from comfreystair.manifest.chunks import build_next_root


def build_manifest(databases: int, rate: float = 10) -> Manifest:
    """Build a manifest; only the first organisation has the rate."""
    return decode_manifest(
        msgspec.json.encode(
            {
                'version': 1,
                'deployment': 'large',
                'databases': [
                    {
                        'name': f'db-{number:05}',
                        'targets': [
                            {
                                'name': f'db-{number:05}-{index}',
                                'address': f'10.0.{index}.{number % 250}:5432',
                                'zone': f'z{index}',
                                'slots': 2,
                                'connections': 35,
                            }
                            for index in range(3)
                        ],
                    }
                    for number in range(databases)
                ],
                'organisations': [
                    {
                        'name': f'org-{number:05}',
                        'rate': rate if number == 0 else 10,
                        'burst': 5,
                    }
                    for number in range(databases)
                ],
                'services': [
                    {
                        'name': f'service-{number:05}',
                        'database': f'db-{number:05}',
                        'organisations': [f'org-{number:05}'],
                    }
                    for number in range(databases)
                ],
            }
        )
    )


class ChunksTest(unittest.TestCase):
    """Any manifest survives, and a small change stays small."""

    def test_joined_again(self) -> None:
        """Chunks put together give the same manifest."""
        for databases in (0, 1, 3, 200):
            manifest = build_manifest(databases)
            chunks = split_manifest(encode_manifest(manifest))
            joined = join_chunks(Root(1, tuple(chunks)), chunks)
            self.assertEqual(decode_manifest(joined), manifest)

    def test_one_change_changes_one_chunk(self) -> None:
        """One organisation's new rate changes one chunk of many."""
        before = split_manifest(encode_manifest(build_manifest(500)))
        after = split_manifest(encode_manifest(build_manifest(500, rate=11)))
        self.assertGreater(len(before), 8)
        self.assertEqual(len(after.keys() - before.keys()), 1)

    def test_missing_chunk_is_an_error(self) -> None:
        """A chunk that is not there is named."""
        chunks = split_manifest(encode_manifest(build_manifest(2)))
        root = Root(1, (*chunks, 'absent'))
        with self.assertRaises(ChunkError) as caught:
            join_chunks(root, chunks)
        self.assertIn('absent', str(caught.exception))

    def test_damaged_chunk_is_an_error(self) -> None:
        """A chunk that does not match its hash is not used."""
        chunks = split_manifest(encode_manifest(build_manifest(2)))
        name = next(iter(chunks))
        chunks[name] = chunks[name][:-1]
        with self.assertRaises(ChunkError):
            join_chunks(Root(1, tuple(chunks)), chunks)

    def test_root_remembers_attempts(self) -> None:
        """An attempt that was followed by others is still found."""
        root = Root(0, ())
        for ident in ('one', 'two', 'three'):
            root = build_next_root(root, (), 'ana', ident)
        self.assertEqual(root.generation, 3)
        self.assertTrue(root.has_shipped('one'))
        self.assertFalse(root.has_shipped('four'))


if __name__ == '__main__':
    unittest.main()
