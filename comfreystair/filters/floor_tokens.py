"""Floor tokens, which carry a session's read floor to another daemon.

A token is opaque to callers. A forged token can only raise the floor of the
session that presents it.
"""

import base64
import binascii
from typing import Final

from comfreystair.controllers.positions import Position
from comfreystair.filters.request_errors import build_invalid_request_error

_VERSION: Final = 'f1'


def encode_floor_token(database: str, floor: Position) -> str:
    """Return the token for a floor."""
    text = f'{_VERSION}:{database}:{floor.term}:{floor.offset}'
    return base64.urlsafe_b64encode(text.encode()).decode()


def decode_floor_token(database: str, token: str) -> Position:
    """Return the floor that a token holds.

    :raises RequestError: when the token is malformed or of another database.
    """
    try:
        text = base64.urlsafe_b64decode(token.encode()).decode()
        version, name, term, offset = text.split(':')
        floor = Position(int(term), int(offset))
    except (binascii.Error, ValueError) as error:
        raise build_invalid_request_error(
            'the floor token is malformed'
        ) from error
    if (version, name) != (_VERSION, database):
        raise build_invalid_request_error(
            'the floor token belongs to another database'
        )
    return floor
