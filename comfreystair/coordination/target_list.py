"""The list of targets, as it follows the entries in the store.

An entry can return in an older form: in an outdated answer of the store, or
after the store was restored from an older copy. Each target numbers its
entries, so that one run's entries can be ordered wherever they were read.
"""

from typing import Final

from comfreystair.observability.decisions import DecisionLog
from comfreystair.pooling.targets import TargetEntry

# A target is removed after its entry has been missing this long. Entries that
# expired during an outage of the store are back after 2 s.
_REMOVAL_DELAY_SECONDS: Final = 3.0
# A removed target's last entry is remembered this long. It exceeds the age of
# the copies from which the store is restored.
_REMEMBER_SECONDS: Final = 60.0


class TargetList:
    """Listed targets, each with the newest entry of its present run."""

    def __init__(self, log: DecisionLog) -> None:
        """Initialise an empty list.

        :param log: receives an event for each change of the list.
        """
        self._log = log
        self._listed: dict[str, TargetEntry] = {}
        self._missing_since: dict[str, float] = {}
        self._removed: dict[str, tuple[TargetEntry, float]] = {}

    def update(
        self, found: dict[str, TargetEntry], now: float
    ) -> dict[str, TargetEntry]:
        """Apply the entries of a read and return the listed targets.

        A target whose entry is missing is kept for a short time.

        :param found: the entries by id.
        """
        self._forget_removed(now)
        listed: dict[str, TargetEntry] = {}
        for ident, entry in found.items():
            newest = self._choose(entry)
            if newest is not None:
                listed[ident] = newest
                self._missing_since.pop(ident, None)
                self._removed.pop(ident, None)
        for ident in self._listed.keys() - listed.keys():
            since = self._missing_since.setdefault(ident, now)
            if now - since < _REMOVAL_DELAY_SECONDS:
                listed[ident] = self._listed[ident]
            else:
                self._missing_since.pop(ident)
                self._removed[ident] = (self._listed[ident], now)
                self._log.write('target_gone', ident=ident, missing=now - since)
        for ident, entry in listed.items():
            if self._listed.get(ident) != entry:
                self._log.write('target', **entry._asdict())
        self._listed = listed
        return listed

    def _choose(self, entry: TargetEntry) -> TargetEntry | None:
        """Return the newest entry of the run that an entry belongs to.

        :returns: nothing if the target was removed after a newer entry.
        """
        listed = self._listed.get(entry.ident)
        removed, _removed_at = self._removed.get(entry.ident, (None, 0))
        known = listed or removed
        if known is None or not _is_outdated(entry, known):
            return entry
        self._log.write(
            'target_set_aside',
            ident=entry.ident,
            sequence=entry.sequence,
            known_sequence=known.sequence,
        )
        return listed

    def _forget_removed(self, now: float) -> None:
        self._removed = {
            ident: (entry, at)
            for ident, (entry, at) in self._removed.items()
            if now - at < _REMEMBER_SECONDS
        }


def _is_outdated(entry: TargetEntry, newest: TargetEntry) -> bool:
    """Tell whether an entry was written before another one of the same run."""
    return entry.born == newest.born and entry.sequence < newest.sequence
