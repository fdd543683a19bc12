"""Frames: any cut of the stream gives the same frames; nonsense an error."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from pygwire import messages

from comfreystair.wire import FrameBuffer, FrameError

LIMIT = 1000
SENT = tuple(
    messages.Query(query_string='x' * length).to_wire()
    for length in (0, 1, 40, 300)
)


class FrameBufferTest(unittest.TestCase):
    """The splitter against the codec's own encoding."""

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        st.lists(st.sampled_from(SENT), max_size=12),
        st.lists(st.integers(1, 60), min_size=1, max_size=20),
    )
    def test_any_cut(self, sent: list[bytes], cuts: list[int]) -> None:
        """The frames do not depend on how the bytes arrive."""
        stream = b''.join(sent)
        buffer = FrameBuffer(LIMIT)
        found = []
        offset = 0
        turn = 0
        while offset < len(stream):
            length = cuts[turn % len(cuts)]
            buffer.feed(stream[offset : offset + length])
            offset += length
            turn += 1
            frame = buffer.next_frame()
            while frame is not None:
                found.append(frame.raw)
                frame = buffer.next_frame()
        self.assertEqual(found, sent)
        self.assertFalse(buffer.has_partial)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.binary(max_size=400))
    def test_any_bytes(self, stream: bytes) -> None:
        """Whatever arrives, it is frames, too little, or an error."""
        buffer = FrameBuffer(LIMIT)
        buffer.feed(stream)
        taken = 0
        try:
            frame = buffer.next_frame()
            while frame is not None:
                taken += len(frame.raw)
                frame = buffer.next_frame()
        except FrameError:
            return
        self.assertLessEqual(taken, len(stream))

    def test_plain_answer_in_one_piece(self) -> None:
        """An answer is taken whole, or not at all."""
        done = messages.CommandComplete(tag='SELECT 0').to_wire()
        ready = messages.ReadyForQuery().to_wire()
        buffer = FrameBuffer(LIMIT)
        buffer.feed(done + ready[:-1])
        self.assertIsNone(buffer.take_plain_answer())
        buffer.feed(ready[-1:])
        self.assertEqual(buffer.take_plain_answer(), done + ready)


if __name__ == '__main__':
    unittest.main()
