"""Decide which regions a request may reach.

Routes and organisations can each list regions. An empty list restricts nothing.
"""

from collections.abc import Iterable, Mapping


def combine_regions(
    lists: Iterable[frozenset[str]],
) -> frozenset[str] | None:
    """Return the regions that all lists allow; ``None`` for any region.

    The result is empty if the lists have no region in common.
    """
    allowed: frozenset[str] | None = None
    for regions in lists:
        if regions:
            allowed = regions if allowed is None else allowed & regions
    return allowed


def is_allowed(
    zone: str, allowed: frozenset[str] | None, zone_regions: Mapping[str, str]
) -> bool:
    """Tell whether an availability zone is in an allowed region.

    :param allowed: as returned by :func:`combine_regions`.
    :param zone_regions: the region of each zone. A zone that is missing
        belongs to no region.
    """
    return allowed is None or zone_regions.get(zone) in allowed
