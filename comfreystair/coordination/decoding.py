"""Decode what others have written to the store, item by item.

An item may hold anything: bytes that can't be read, fields of other types,
values that can't be used. Decoders return a value that every part of the
program can use, or raise; an item that raises is left out.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple, TypeVar

from comfreystair.controllers.store_position import StorePosition
from comfreystair.coordination.records import StoredValue
from comfreystair.observability.decisions import DecisionLog
from comfreystair.tasks import describe_error

Decoded = TypeVar('Decoded')
Decode = Callable[[str, StoredValue], Decoded]


class DecodedItems(NamedTuple):
    """Items by key.

    :param values: those that can be used, decoded.
    :param left_out: why the others can't be used.
    """

    values: dict[str, object]
    left_out: dict[str, str]


def decode_items(
    items: Mapping[str, StoredValue], decode: Decode
) -> DecodedItems:
    """Decode each item, whatever the others hold.

    :param decode: is given the key and the value; may raise any error.
    """
    decoded = DecodedItems({}, {})
    for key, stored in items.items():
        try:
            decoded.values[key] = decode(key, stored)
        except Exception as error:
            decoded.left_out[key] = describe_error(error)
    return decoded


class LeftOutLog:
    """Logs each item that is left out once, until it is written again."""

    def __init__(self, log: DecisionLog) -> None:
        """Initialise without items.

        :param log: receives an event for each item.
        """
        self._log = log
        self._logged: dict[str, StorePosition] = {}

    def update(
        self, items: Mapping[str, StoredValue], left_out: Mapping[str, str]
    ) -> None:
        """Log what is left out of a read, and forget what is not any more."""
        for key, reason in left_out.items():
            position = items[key].position
            if self._logged.get(key) != position:
                self._log.write('entry_left_out', key=key, reason=reason)
        self._logged = {key: items[key].position for key in left_out}
