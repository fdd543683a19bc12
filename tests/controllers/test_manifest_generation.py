"""Manifest generations that a restored store gives out again."""

import unittest

from comfreystair.controllers.manifest_generation import (
    ManifestGenerationController,
)
from comfreystair.manifest.chunks import Root, build_next_root

FIRST = Root(4, (), 'ana', 'first')
LOST = build_next_root(FIRST, (), 'ana', 'lost')
AGAIN = build_next_root(FIRST, (), 'ana', 'again')


class RestoredManifestTest(unittest.TestCase):
    """A daemon whose manifest the store has lost."""

    def setUp(self) -> None:
        """Put a manifest in force, confirmed at second 1."""
        self.controller = ManifestGenerationController()
        self.controller.apply(LOST)
        self.controller.confirm(LOST.version, 1.0)

    # Guards against: a daemon takes its manifest for the newest, because a
    # later one has got the same generation after a restore.
    def test_another_root_of_the_generation_confirms_nothing(self) -> None:
        """The age of the confirmation goes on rising."""
        self.controller.confirm(AGAIN.version, 9.0)
        self.assertEqual(self.controller.find_confirmation_age(9.0), 8.0)

    def test_reused_generation_is_superseded(self) -> None:
        """It never comes into force, which operators are told."""
        self.controller.record_root(AGAIN)
        self.assertIsNone(self.controller.pending)
        self.assertTrue(self.controller.is_superseded(AGAIN))

    def test_known_roots_are_not_superseded(self) -> None:
        """Neither the newest root nor one that it follows."""
        for root in (LOST, FIRST):
            self.assertFalse(self.controller.is_superseded(root))

    def test_generation_above_the_lost_one_comes_into_force(self) -> None:
        """Operators ship above the highest generation that was in force."""
        root = build_next_root(FIRST, (), 'ana', 'above', LOST.generation)
        self.assertFalse(self.controller.is_superseded(root))
        self.assertTrue(self.controller.apply(root))


if __name__ == '__main__':
    unittest.main()
