"""Encode and decode the structures of ``comfreystair.thrift``."""

import hmac
import pathlib
from typing import Final

import thriftpy2
from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from comfreystair.peers.exceptions import PeerError

_SOURCE: Final = pathlib.Path(__file__).with_name('comfreystair.thrift')

definitions = thriftpy2.load(str(_SOURCE), module_name='comfreystair_thrift')

_LENGTH_BYTES: Final = 4
MAX_MESSAGE_BYTES: Final = 4194304


def encode(structure: object) -> bytes:
    """Encode one structure."""
    return serialize(structure, TBinaryProtocolFactory())


def decode(kind: type, content: bytes):
    """Decode a structure of a kind.

    :raises PeerError: when the bytes are not one.
    """
    try:
        return deserialize(kind(), content, TBinaryProtocolFactory())
    except Exception as error:
        raise PeerError(f'bad message: {error}', 'decode') from error


def frame(content: bytes) -> bytes:
    """Put the length before a message."""
    return len(content).to_bytes(_LENGTH_BYTES) + content


def sign(secret: str, number: int, method: str, body: bytes) -> bytes:
    """Return the authentication code of a call, empty without a secret."""
    if not secret:
        return b''
    text = b'\0'.join((str(number).encode(), method.encode(), body))
    return hmac.digest(secret.encode(), text, 'sha256')


async def read_frame(stream) -> bytes:
    """Read one framed message; empty at the end of the stream.

    :raises PeerError: when it is too long.
    """
    header = await stream.read(_LENGTH_BYTES)
    while 0 < len(header) < _LENGTH_BYTES:
        more = await stream.read(_LENGTH_BYTES - len(header))
        if not more:
            return b''
        header += more
    length = int.from_bytes(header)
    if length > MAX_MESSAGE_BYTES:
        raise PeerError(f'message of {length} bytes', 'read')
    return await stream.read_exactly(length) if length else b''
