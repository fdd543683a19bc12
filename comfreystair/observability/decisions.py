"""One line of key=value pairs for each decision, on standard output.

Lines go through a bounded buffer; when the reader is slow, lines are dropped
and counted, and no request waits.
"""

import collections
import os
from typing import Final

import curio

from comfreystair.clocks import read_clock

# Lines kept while the reader does not read.
_MOST_LINES: Final = 2000
# How often the buffer is written out, in seconds.
_FLUSH_SECONDS: Final = 0.25
# Lines of one event in a second beyond which they are only counted.
_MOST_A_SECOND: Final = 40
_QUOTED: Final = frozenset(' "=\'\\')
_ESCAPES: Final = str.maketrans({'"': "'", '\\': r'\\'})


class DecisionLog:
    """Write decisions without ever blocking."""

    def __init__(self, instance: str, descriptor: int) -> None:
        """Take the descriptor to write to, which is made non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._instance = instance
        self._lines: collections.deque[bytes] = collections.deque()
        self._left_out: collections.Counter[str] = collections.Counter()
        self._written: collections.Counter[str] = collections.Counter()
        self._second = 0

    @property
    def left_out(self) -> int:
        """Return lines dropped and not reported yet."""
        return self._left_out.total()

    def write(self, event: str, **fields: object) -> None:
        """Add a line, unless too many of its event came this second."""
        now = read_clock()
        if int(now) != self._second:
            self._second = int(now)
            self._written.clear()
            self._report_left_out(now)
        self._written[event] += 1
        is_full = len(self._lines) >= _MOST_LINES
        if is_full or self._written[event] > _MOST_A_SECOND:
            self._left_out[event] += 1
            return
        self._append(now, event, fields)

    def write_message(self, message: str) -> None:
        """Add a line with what a part without this log has to say."""
        self.write('message', text=message.rstrip('\n'))

    async def run(self) -> None:
        """Write the buffer out until cancelled."""
        while True:
            self.flush()
            await curio.sleep(_FLUSH_SECONDS)

    def flush(self) -> None:
        """Write what the reader takes."""
        while self._lines:
            line = self._lines.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                self._lines.clear()
                return
            if written < len(line):
                self._lines.appendleft(line[written:])
                return

    def _report_left_out(self, now: float) -> None:
        if self._left_out and len(self._lines) < _MOST_LINES:
            counts: dict[str, object] = dict(self._left_out)
            self._left_out.clear()
            self._append(now, 'lines_left_out', counts)

    def _append(
        self, now: float, event: str, fields: dict[str, object]
    ) -> None:
        pairs = ' '.join(
            f'{name}={_format(content)}' for name, content in fields.items()
        )
        line = f'at={now:.3f} instance={self._instance} event={event} {pairs}\n'
        self._lines.append(line.encode())


def _format(content: object) -> str:
    if isinstance(content, float):
        return f'{content:.3f}'
    text = str(content)
    if text.isprintable() and text and not _QUOTED.intersection(text):
        return text
    escaped = ''.join(
        character if character.isprintable() else ' ' for character in text
    )
    return f'"{escaped.translate(_ESCAPES)}"'
