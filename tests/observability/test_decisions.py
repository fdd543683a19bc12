"""Decision lines are bounded, and a reader that stops delays nobody."""

import io
import os
import unittest

from comfreystair.management.decision_lines import read_lines
from comfreystair.observability.decisions import DecisionLog

LINES = 20000


class DecisionLogTest(unittest.TestCase):
    """A log into a pipe."""

    def setUp(self) -> None:
        """Open a pipe that nobody reads yet."""
        self.reading, writing = os.pipe()
        self.addCleanup(os.close, self.reading)
        self.addCleanup(os.close, writing)
        self.log = DecisionLog('entry', writing)

    def test_reader_that_stops_blocks_nobody(self) -> None:
        """Lines beyond the buffer and the pipe are counted, none is waited for.

        A write that blocked would never return here.
        """
        for number in range(LINES):
            self.log.write(f'event-{number}', text='x' * 100)
            if not number % 100:
                self.log.flush()
        self.assertGreater(self.log.left_out, 0)

    def test_one_event_is_bounded_a_second(self) -> None:
        """What is left out of a storm is counted, other events still come."""
        for _ in range(LINES):
            self.log.write('storm')
        self.log.write('other')
        self.log.flush()
        written = os.read(self.reading, LINES).decode()
        self.assertLess(written.count('event=storm'), LINES / 100)
        self.assertIn('event=other', written)
        self.assertGreater(self.log.left_out, 0)

    def test_any_content_stays_in_its_field(self) -> None:
        """Guards against ids with line feeds or quotes that forge a line."""
        idents = ('7\nat=1 instance=x event=served id=8', "it's", 'a\\', 'a\r')
        for ident in idents:
            self.log.write('not_served', id=ident, phase='idle')
        self.log.flush()
        written = os.read(self.reading, LINES).decode()
        self.assertEqual(written.count('\n'), len(idents))
        lines = read_lines([io.StringIO(written, newline=None)])
        self.assertEqual(
            [(one.event, one.fields['phase']) for one in lines],
            [('not_served', 'idle')] * len(idents),
        )

    def test_lines_are_whole_when_the_reader_comes_back(self) -> None:
        """A line that was written in part is continued."""
        for number in range(1500):
            self.log.write(f'event-{number}', text='x' * 100)
        self.log.flush()
        content = os.read(self.reading, 1 << 20)
        self.log.flush()
        content += os.read(self.reading, 1 << 20)
        for line in content.decode().splitlines()[:-1]:
            self.assertTrue(line.startswith('at='), line)


if __name__ == '__main__':
    unittest.main()
