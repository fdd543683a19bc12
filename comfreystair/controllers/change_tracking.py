"""Number the versions of a list, so that only changes need to be sent."""

from collections.abc import Hashable
from typing import Final, NamedTuple

# Most removed keys that are remembered. A follower whose version is older than
# a forgotten removal gets the whole list.
_MAX_REMOVED_KEYS: Final = 500


class ChangeSet(NamedTuple):
    """The changes of a list since a version.

    :param is_whole: ``changed`` is the whole list; any other item is removed.
    """

    version: int
    is_whole: bool
    changed: tuple[str, ...]
    removed: tuple[str, ...]


class ChangeTracker:
    """Assign a version to each change of a list."""

    def __init__(self) -> None:
        """Start with an empty list at version 0."""
        self._version = 0
        self._content: dict[str, Hashable] = {}
        self._changed: dict[str, int] = {}
        self._removed: dict[str, int] = {}
        self._oldest_version = 0

    @property
    def version(self) -> int:
        """Return the newest version."""
        return self._version

    def update(self, content: dict[str, Hashable]) -> bool:
        """Replace the list; tell whether it has changed.

        :param content: for each key, a value that differs if the item changed.
        """
        known = self._content
        changed = [
            key
            for key, fingerprint in content.items()
            if key not in known or known[key] != fingerprint
        ]
        removed = known.keys() - content.keys()
        if not changed and not removed:
            return False
        self._version += 1
        for key in changed:
            self._changed[key] = self._version
            self._removed.pop(key, None)
        for key in removed:
            self._changed.pop(key)
            self._removed[key] = self._version
        self._content = dict(content)
        self._trim_removed()
        return True

    def find_changes(self, since: int) -> ChangeSet:
        """Return the changes after a version.

        :param since: the whole list is returned if changes after this version
            have been forgotten, or if there is no such version.
        """
        is_whole = since < self._oldest_version or since > self._version
        after = 0 if is_whole else since
        return ChangeSet(
            self._version,
            is_whole,
            tuple(key for key, at in self._changed.items() if at > after),
            tuple(key for key, at in self._removed.items() if at > after),
        )

    def _trim_removed(self) -> None:
        while len(self._removed) > _MAX_REMOVED_KEYS:
            key = next(iter(self._removed))
            self._oldest_version = self._removed.pop(key)
