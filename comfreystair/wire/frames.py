"""Split a byte stream into frames without decoding their content.

A proxy forwards most frames as they are. Decoding and encoding each message
with the codec costs many times what splitting does, so the codec is used only
for the few messages whose content matters.
"""

import struct
from typing import Final, NamedTuple

from comfreystair.wire.exceptions import FrameError

_HEADER: Final = struct.Struct('!cI')
_HEADER_BYTES: Final = 5
_LENGTH_BYTES: Final = 4
_PLAIN: Final = frozenset(
    (b'T', b'D', b'C', b'1', b'2', b'3', b'n', b't', b'Z')
)


class Frame(NamedTuple):
    """One message as received.

    :param kind: its one-byte identifier.
    :param raw: the whole frame, header included.
    """

    kind: bytes
    raw: bytes

    @property
    def payload(self) -> bytes:
        """Return the frame without its header."""
        return self.raw[_HEADER_BYTES:]


class FrameBuffer:
    """Collect received bytes and hand out whole frames."""

    def __init__(self, max_frame_bytes: int) -> None:
        """Start empty.

        :param max_frame_bytes: a longer frame raises :class:`FrameError`.
        """
        self._max_frame_bytes = max_frame_bytes
        self._buffer = b''
        self._offset = 0

    @property
    def has_partial(self) -> bool:
        """Tell whether bytes of an unfinished frame are held."""
        return len(self._buffer) > self._offset

    def feed(self, chunk: bytes) -> None:
        """Append received bytes."""
        if self._offset == len(self._buffer):
            self._buffer = chunk
        else:
            self._buffer = self._buffer[self._offset :] + chunk
        self._offset = 0

    def next_frame(self) -> Frame | None:
        """Return the next whole frame, or nothing until more bytes come.

        :raises FrameError: when the length is impossible or too large.
        """
        start = self._offset
        available = len(self._buffer) - start
        if available < _HEADER_BYTES:
            return None
        kind, length = _HEADER.unpack_from(self._buffer, start)
        if not _LENGTH_BYTES <= length < self._max_frame_bytes:
            raise FrameError(f'frame of {length} bytes', step='read')
        if available <= length:
            return None
        self._offset = start + 1 + length
        return Frame(kind, self._buffer[start : self._offset])

    def take_plain_answer(self) -> bytes | None:
        """Return everything up to ReadyForQuery in one piece.

        Nothing is taken unless the whole answer is there and holds only
        frames that need no attention.
        """
        start = self._offset
        offset = start
        buffer = self._buffer
        end = len(buffer) - _HEADER_BYTES
        while offset <= end:
            kind, length = _HEADER.unpack_from(buffer, offset)
            if kind not in _PLAIN:
                return None
            offset += 1 + length
            if kind == b'Z' and offset <= len(buffer):
                self._offset = offset
                return buffer[start:offset]
        return None
