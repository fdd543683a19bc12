"""A follower that applies the changes has the list of the source."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreystair.controllers.change_tracking import ChangeTracker

LISTS = st.lists(
    st.dictionaries(st.sampled_from('abcd'), st.integers(0, 2)), max_size=12
)


def fetch(
    known: dict[str, int], source: ChangeTracker, since: int, current: dict
) -> dict[str, int]:
    """Return a follower's list after it has fetched the changes.

    :param known: the follower's list before.
    :param current: the list of the source.
    """
    changes = source.find_changes(since)
    kept = {} if changes.is_whole else dict(known)
    for key in changes.removed:
        kept.pop(key, None)
    return {**kept, **{key: current[key] for key in changes.changed}}


class ChangeTrackerTest(unittest.TestCase):
    """Versions of a list and the changes between them."""

    @settings(derandomize=True, database=None)
    @given(LISTS, st.sets(st.integers(0, 11)))
    def test_follower_agrees_whenever_it_fetches(self, lists, fetched) -> None:
        """The follower may have missed any number of versions."""
        source = ChangeTracker()
        known: dict[str, int] = {}
        since = 0
        for number, content in enumerate(lists):
            source.update(content)
            if number in fetched:
                known = fetch(known, source, since, content)
                since = source.version
                self.assertEqual(known, content)

    def test_unchanged_list_has_no_changes(self) -> None:
        """An update with the same content keeps the version."""
        source = ChangeTracker()
        source.update({'a': 1})
        source.update({'a': 1})
        self.assertEqual(source.version, 1)
        self.assertEqual(source.find_changes(1).changed, ())

    def test_unknown_version_gets_the_whole_list(self) -> None:
        """The follower may know the version of another source."""
        source = ChangeTracker()
        source.update({'a': 1, 'b': 1})
        changes = source.find_changes(-1)
        self.assertTrue(changes.is_whole)
        self.assertEqual(set(changes.changed), {'a', 'b'})


if __name__ == '__main__':
    unittest.main()
