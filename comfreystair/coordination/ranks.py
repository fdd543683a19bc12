"""Who goes first when several instances could act."""

from collections.abc import Iterable

from comfreystair.controllers.membership import compute_rendezvous_score


def find_rank(subject: str, names: Iterable[str], own: str) -> int:
    """Return how many go before one, by rendezvous hashing."""
    weight = compute_rendezvous_score(subject, own)
    return sum(
        compute_rendezvous_score(subject, name) > weight for name in set(names)
    )
