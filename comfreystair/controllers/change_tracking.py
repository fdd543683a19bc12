"""Lists of items as they change, so that only changes need to be sent."""

from collections.abc import Hashable
from typing import Final, NamedTuple

# Items that went are remembered as such; beyond this many, whoever lacks the
# oldest gets the whole list.
_MOST_GONE: Final = 500


class ChangeSet(NamedTuple):
    """What changed since a version.

    :param is_whole: all other items are gone.
    """

    version: int
    is_whole: bool
    changed: tuple[str, ...]
    removed: tuple[str, ...]


class ChangeTracker:
    """Number the changes of a list."""

    def __init__(self) -> None:
        """Start empty, at version 0."""
        self._version = 0
        self._content: dict[str, Hashable] = {}
        self._changed: dict[str, int] = {}
        self._gone: dict[str, int] = {}
        self._oldest = 0

    @property
    def version(self) -> int:
        """Return the newest version."""
        return self._version

    def update(self, content: dict[str, Hashable]) -> bool:
        """Take in the list as it is now; tell whether it has changed.

        :param content: by key what counts as a change where it differs.
        """
        known = self._content
        news = [
            key
            for key, shown in content.items()
            if key not in known or known[key] != shown
        ]
        lost = known.keys() - content.keys()
        if not news and not lost:
            return False
        self._version += 1
        for key in news:
            self._changed[key] = self._version
            self._gone.pop(key, None)
        for key in lost:
            self._changed.pop(key)
            self._gone[key] = self._version
        self._content = dict(content)
        self._forget()
        return True

    def find_changes(self, since: int) -> ChangeSet:
        """Return what changed after a version."""
        is_whole = since < self._oldest or since > self._version
        first = 0 if is_whole else since
        return ChangeSet(
            self._version,
            is_whole,
            tuple(key for key, at in self._changed.items() if at > first),
            tuple(key for key, at in self._gone.items() if at > first),
        )

    def _forget(self) -> None:
        while len(self._gone) > _MOST_GONE:
            key = next(iter(self._gone))
            self._oldest = self._gone.pop(key)
