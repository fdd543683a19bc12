"""Ranks of instances by rendezvous hashing.

The rank decides which instance acts first when several could.
"""

import heapq
from collections.abc import Iterable

from comfreystair.controllers.membership import compute_rendezvous_score


def find_rank(key: str, names: Iterable[str], own: str) -> int:
    """Return the rank of an instance for a key, 0 for the first.

    :param key: what the instances are ranked for, such as a group's name.
    :param names: names of all instances.
    :param own: name of the instance whose rank is returned.
    """
    score = compute_rendezvous_score(key, own)
    return sum(
        compute_rendezvous_score(key, name) > score for name in set(names)
    )


def list_first(key: str, names: Iterable[str], count: int) -> list[str]:
    """Return the instances with the first ranks for a key, best first.

    :param key: what the instances are ranked for, such as a group's name.
    :param names: names of all instances.
    :param count: how many to return at most.
    """
    return heapq.nlargest(
        count,
        set(names),
        key=lambda name: compute_rendezvous_score(key, name),
    )
