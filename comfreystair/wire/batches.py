"""Gather a caller's messages into batches that are answered as a whole."""

from typing import Final, NamedTuple

from comfreystair.wire.frames import Frame

_BATCHED: Final = frozenset((b'P', b'B', b'D', b'E', b'C', b'S'))


class Batch(NamedTuple):
    """One simple query, or extended messages up to Sync.

    :param query: text of a simple query, empty for extended messages.
    """

    frames: tuple[Frame, ...]
    query: str = ''

    @property
    def is_extended(self) -> bool:
        """Tell whether it uses the extended protocol."""
        return self.frames[0].kind != b'Q'


class BatchReader:
    """Collect frames until a batch is whole."""

    def __init__(self) -> None:
        """Start with nothing collected."""
        self._frames: list[Frame] = []

    @property
    def is_empty(self) -> bool:
        """Tell whether no batch is begun."""
        return not self._frames

    def add(self, frame: Frame) -> Batch | None:
        """Add a frame and return the batch that it completes."""
        if frame.kind == b'Q':
            query = frame.payload[:-1].decode(errors='replace')
            return Batch((frame,), query)
        self._frames.append(frame)
        if frame.kind != b'S':
            return None
        batch = Batch(tuple(self._frames))
        self._frames = []
        return batch


def is_batched(frame: Frame) -> bool:
    """Tell whether a frame may be part of a batch."""
    return frame.kind == b'Q' or frame.kind in _BATCHED
