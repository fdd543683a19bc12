"""Tags in SQL comments: ``/* comfreystair route=NAME key=KEY */``."""

import re
from typing import Final, NamedTuple

_TAG: Final = re.compile(r'/\*\s*comfreystair\s+([^*]*?)\s*\*/')
_PAIR: Final = re.compile(r'(\w+)=([^\s]+)')


class Tag(NamedTuple):
    """Route and idempotency key that a comment of a statement names.

    :param route: name of a route, empty when none is named.
    :param key: idempotency key, empty when there is none.
    """

    route: str = ''
    key: str = ''


NO_TAG: Final = Tag()


def parse_tag(query: str) -> Tag:
    """Return the first tag in the text of a query, or an empty one."""
    match = _TAG.search(query) if 'comfreystair' in query else None
    if match is None:
        return NO_TAG
    pairs = dict(_PAIR.findall(match.group(1)))
    return Tag(pairs.get('route', ''), pairs.get('key', ''))
