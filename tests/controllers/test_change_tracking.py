"""A follower that takes over changes has the source's list."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreystair.controllers.change_tracking import ChangeTracker

LISTS = st.lists(
    st.dictionaries(st.sampled_from('abcd'), st.integers(0, 2)), max_size=12
)


def follow(
    known: dict[str, int], source: ChangeTracker, since: int, now: dict
) -> dict[str, int]:
    """Return a follower's list after it asked."""
    changes = source.find_changes(since)
    kept = {} if changes.is_whole else dict(known)
    for key in changes.removed:
        kept.pop(key, None)
    return {**kept, **{key: now[key] for key in changes.changed}}


class ListingTest(unittest.TestCase):
    """Versions of a list."""

    @settings(derandomize=True, database=None)
    @given(LISTS, st.sets(st.integers(0, 11)))
    def test_follower_agrees_whenever_it_asks(self, lists, asked) -> None:
        """However many versions it missed."""
        source = ChangeTracker()
        known: dict[str, int] = {}
        since = 0
        for number, content in enumerate(lists):
            source.update(content)
            if number in asked:
                known = follow(known, source, since, content)
                since = source.version
                self.assertEqual(known, content)

    def test_unchanged_list_has_no_news(self) -> None:
        """An update without a difference keeps the version."""
        source = ChangeTracker()
        source.update({'a': 1})
        source.update({'a': 1})
        self.assertEqual(source.version, 1)
        self.assertEqual(source.find_changes(1).changed, ())

    def test_stranger_gets_everything(self) -> None:
        """One that knows another source's version starts anew."""
        source = ChangeTracker()
        source.update({'a': 1, 'b': 1})
        changes = source.find_changes(-1)
        self.assertTrue(changes.is_whole)
        self.assertEqual(set(changes.changed), {'a', 'b'})


if __name__ == '__main__':
    unittest.main()
