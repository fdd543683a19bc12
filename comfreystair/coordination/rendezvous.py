"""Who goes first when several instances could act."""

from collections.abc import Iterable

from comfreystair.controllers.membership import hash_member


def find_rank(subject: str, names: Iterable[str], own: str) -> int:
    """Return how many go before one, by rendezvous hashing."""
    weight = hash_member(subject, own)
    return sum(hash_member(subject, name) > weight for name in set(names))
