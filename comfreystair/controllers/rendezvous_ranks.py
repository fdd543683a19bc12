"""Rendezvous-hashing ranks of one daemon, updated incrementally.

Ranking all daemons for all databases costs the product of their numbers. A
daemon only needs the number of daemons that rank before it, and a daemon that
joins or leaves changes that number by at most one.
"""

from collections.abc import Iterable

from comfreystair.controllers.membership import compute_rendezvous_score


class RendezvousRanks:
    """Rank of this daemon among all daemons, for each subject."""

    def __init__(self, own: str) -> None:
        """Start without other daemons and without subjects.

        :param own: name of this daemon.
        """
        self._own = own
        self._members: set[str] = set()
        self._ranks: dict[str, int] = {}
        self._own_hashes: dict[str, tuple[int, str]] = {}

    @property
    def total(self) -> int:
        """Return the number of daemons, this one included."""
        return len(self._members) + 1

    def find_rank(self, subject: str) -> int:
        """Return how many daemons rank before this one, 0 if it is first.

        :param subject: what the daemons are ranked for, such as a database.
        """
        if subject not in self._ranks:
            self._own_hashes[subject] = compute_rendezvous_score(
                subject, self._own
            )
            self._ranks[subject] = sum(
                self._is_before(subject, member) for member in self._members
            )
        return self._ranks[subject]

    def set_members(self, names: Iterable[str]) -> bool:
        """Replace the list of daemons; tell whether it changed.

        :param names: of all daemons, with or without this one.
        """
        members = set(names) - {self._own}
        joined = members - self._members
        left = self._members - members
        for subject in self._ranks:
            added = sum(self._is_before(subject, name) for name in joined)
            removed = sum(self._is_before(subject, name) for name in left)
            self._ranks[subject] += added - removed
        self._members = members
        return bool(joined or left)

    def retain_subjects(self, subjects: Iterable[str]) -> None:
        """Discard the ranks of all subjects but these."""
        for subject in self._ranks.keys() - set(subjects):
            self._ranks.pop(subject)
            self._own_hashes.pop(subject)

    def _is_before(self, subject: str, name: str) -> bool:
        return (
            compute_rendezvous_score(subject, name) > self._own_hashes[subject]
        )
