"""This daemon's place among all, for many subjects, kept step by step.

Ranking every daemon for every database each time costs their product. What a
daemon needs is only how many others come before it, and one that comes or
goes changes that by one.
"""

from collections.abc import Iterable

from comfreystair.controllers.membership import hash_member


class RendezvousRanks:
    """Keep this daemon's rank by rendezvous hashing."""

    def __init__(self, own: str) -> None:
        """Start alone and without subjects."""
        self._own = own
        self._names: set[str] = set()
        self._ranks: dict[str, int] = {}
        self._scores: dict[str, tuple[int, str]] = {}

    @property
    def total(self) -> int:
        """Return the number of daemons, this one included."""
        return len(self._names) + 1

    def find_rank(self, subject: str) -> int:
        """Return how many daemons come before this one, 0 for none."""
        if subject not in self._ranks:
            self._scores[subject] = hash_member(subject, self._own)
            self._ranks[subject] = sum(
                self._is_before(subject, name) for name in self._names
            )
        return self._ranks[subject]

    def set_members(self, names: Iterable[str]) -> bool:
        """Take over the daemons there are; tell whether any changed."""
        wanted = set(names) - {self._own}
        added = wanted - self._names
        gone = self._names - wanted
        for subject in self._ranks:
            came = sum(self._is_before(subject, name) for name in added)
            went = sum(self._is_before(subject, name) for name in gone)
            self._ranks[subject] += came - went
        self._names = wanted
        return bool(added or gone)

    def retain_subjects(self, subjects: Iterable[str]) -> None:
        """Forget all other subjects."""
        for gone in self._ranks.keys() - set(subjects):
            self._ranks.pop(gone)
            self._scores.pop(gone)

    def _is_before(self, subject: str, name: str) -> bool:
        return hash_member(subject, name) > self._scores[subject]
