"""The line codec at both edges, with well-formed and arbitrary input."""

import unittest

import curio
from curio import socket
from hypothesis import given, settings
from hypothesis import strategies as st

from comfreystair.controllers.positions import Position
from comfreystair.platform.exceptions import MalformedError
from comfreystair.platform.lines import (
    MAX_LINE_BYTES,
    LineReader,
    format_failure,
    format_message,
    parse_failure,
    parse_position,
    parse_statement,
)
from comfreystair.platform.targets import TargetConnection
from comfreystair.pooling.exceptions import TargetLostError
from comfreystair.sessions.statements import (
    Answer,
    Failure,
    Statement,
    StatementKind,
)

EXAMPLES = 5000


class StatementTest(unittest.TestCase):
    """Callers' statements."""

    def test_kinds(self) -> None:
        """Each form of the protocol has its kind."""
        forms = {
            'BEGIN': StatementKind.begin,
            'BEGIN READ': StatementKind.begin_read,
            'COMMIT': StatementKind.commit,
            'READ 1a4': StatementKind.read,
            'WRITE 1a4 data with blanks': StatementKind.write,
            'SET a b c': StatementKind.set_value,
            'PREPARE s READ q': StatementKind.prepare_read,
            'PREPARE s WRITE q': StatementKind.prepare_write,
            'EXECUTE s 1a4 x': StatementKind.execute,
            'CLOSE s': StatementKind.close,
            'AFTER 1.2 READ a': StatementKind.malformed,
            'PREPARE s READ': StatementKind.malformed,
            'DROP a': StatementKind.malformed,
            'READ': StatementKind.malformed,
        }
        for text, kind in forms.items():
            self.assertEqual(parse_statement('1', text).kind, kind, text)

    def test_parts(self) -> None:
        """Names and arguments are split, the text stays whole."""
        statement = parse_statement('7', 'PREPARE s1 WRITE q 2')
        self.assertEqual(
            (statement.prepared_name, statement.argument), ('s1', 'q 2')
        )
        self.assertEqual(statement.text, 'PREPARE s1 WRITE q 2')

    def test_each_kind_of_name_has_its_field(self) -> None:
        """Guards against a name that is looked up among those of another kind.

        Fields: the item, the session value, the prepared statement.
        """
        forms = {
            'READ a': ('a', '', ''),
            'WRITE a b': ('a', '', ''),
            'SET a b': ('', 'a', ''),
            'PREPARE a READ q': ('', '', 'a'),
            'PREPARE a WRITE q': ('', '', 'a'),
            'EXECUTE a b': ('', '', 'a'),
            'CLOSE a': ('', '', 'a'),
            'BEGIN': ('', '', ''),
            'COMMIT': ('', '', ''),
            'DROP a': ('', '', ''),
        }
        for text, names in forms.items():
            read = parse_statement('1', text)
            found = (read.item, read.value_name, read.prepared_name)
            self.assertEqual(found, names, text)

    def test_failures_go_both_ways(self) -> None:
        """Every failure has a code of its own."""
        for failure in Failure:
            self.assertEqual(parse_failure(format_failure(failure)), failure)
        self.assertEqual(parse_failure('UNHEARD'), Failure.failed)

    def test_positions(self) -> None:
        """A dash is none, anything else must be two numbers."""
        self.assertEqual(parse_position('3.1207'), Position(3, 1207))
        self.assertIsNone(parse_position('-'))
        for text in ('', '3', '3.', '.1', 'a.b', '-1.2'):
            self.assertRaises(MalformedError, parse_position, text)


class FuzzTest(unittest.TestCase):
    """Arbitrary input is answered or refused, never a surprise."""

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(st.text(max_size=60))
    def test_any_statement(self, text: str) -> None:
        """Every text has a kind."""
        self.assertIn(parse_statement('1', text).kind, StatementKind)

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(st.lists(st.binary(max_size=40), max_size=4))
    def test_any_answer(self, chunks: list[bytes]) -> None:
        """A target's bytes give an answer or one kind of error."""
        curio.run(self._read_answer, b'\r\n'.join(chunks) + b'\r\n')

    async def _read_answer(self, wire: bytes) -> None:
        ours, theirs = socket.socketpair()
        async with ours:
            async with theirs:
                await theirs.sendall(wire)
            try:
                await TargetConnection(ours, 'fuzz').read_answer()
            except MalformedError:
                return


class FramingTest(unittest.TestCase):
    """Only CR LF ends a line, at callers and at targets."""

    @settings(max_examples=EXAMPLES // 10, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.text('ab \r\n', min_size=1, max_size=12).filter(
                lambda text: '\r\n' not in f'{text}\r'
            ),
            max_size=4,
        ),
        st.integers(1, 5),
    )
    def test_any_line_is_read_as_it_was_sent(
        self, lines: list[str], size: int
    ) -> None:
        """Guards against lines that end or lose bytes at a lone CR or LF.

        They arrive in pieces, so that an end may be split.
        """
        wire = b''.join(format_message(line) for line in lines)
        chunks = [wire[at : at + size] for at in range(0, len(wire), size)]
        read = curio.run(self._read_lines, chunks, len(lines))
        self.assertEqual(read, lines)

    def test_field_that_ends_a_message_is_refused(self) -> None:
        """Guards against names of other writers that smuggle a message."""
        for fields in (('QUERY', '1', 'a\r\nQUERY 2 b'), ('QUERY', '1 2', 'a')):
            with self.assertRaises(MalformedError):
                format_message(*fields)
        message = format_message('QUERY', '1', 'WRITE a b\nc')
        self.assertEqual(message, b'QUERY 1 WRITE a b\nc\r\n')

    async def _read_lines(self, chunks: list[bytes], count: int) -> list[str]:
        reader = LineReader(FakeSocket(chunks))
        return [await reader.read() for _ in range(count)]


class FakeSocket:
    """A socket that hands out chunks, and then ends."""

    def __init__(self, chunks: list[bytes]) -> None:
        """Initialise with what will be received."""
        self._chunks = list(chunks)

    async def recv(self, _most: int) -> bytes:
        """Return the next chunk."""
        return self._chunks.pop(0) if self._chunks else b''


class TargetAnswerTest(unittest.TestCase):
    """Answers of a target that holds texts of several lines."""

    def ask(self, wire: bytes, count: int = 1) -> tuple[list[Answer], bool]:
        """Read an item from a target that sends some bytes at once.

        :returns: the answers, and whether input is left on the connection.
        """
        return curio.run(self._ask, wire, count)

    def test_row_of_several_lines_is_one_row(self) -> None:
        """Guards against a row that is taken for the end of its answer."""
        row = 'Dear clerk,\nCOMPLETE -\nREADY I 1.1\nROW Rosa'
        wire = f'ROW {row}\r\nCOMPLETE s\r\nREADY I 1.2\r\n'.encode()
        answers, has_input = self.ask(wire)
        self.assertEqual((answers[0].rows, answers[0].signature), ((row,), 's'))
        self.assertFalse(has_input)

    def test_input_after_an_answer_shows(self) -> None:
        """Guards against a connection that is reused with an answer unread."""
        wire = b'COMPLETE s\r\nREADY I 1.2\r\nCOMPLETE t\r\nREADY I 1.2\r\n'
        answers, has_input = self.ask(wire)
        self.assertEqual(answers[0].signature, 's')
        self.assertTrue(has_input)

    def test_input_after_an_answer_is_no_answer(self) -> None:
        """Guards against the same inside a transaction."""
        wire = b'COMPLETE s\r\nREADY T 1.2\r\nCOMPLETE t\r\nREADY T 1.2\r\n'
        with self.assertRaises(TargetLostError):
            self.ask(wire, count=2)

    async def _ask(self, wire: bytes, count: int) -> tuple[list[Answer], bool]:
        ours, theirs = socket.socketpair()
        read = Statement('1', StatementKind.read, 'READ a')
        async with ours, theirs:
            await theirs.sendall(wire)
            connection = TargetConnection(ours, 'stand-in')
            answers = [
                await connection.forward(read, None, '', 1.0)
                for _ in range(count)
            ]
            return answers, connection.has_input


class BoundTest(unittest.TestCase):
    """A line without an end does not fill the memory."""

    def test_line_over_the_bound(self) -> None:
        """It is refused soon after the bound."""
        with self.assertRaises(MalformedError):
            curio.run(self._read_long)

    async def _read_long(self) -> None:
        ours, theirs = socket.socketpair()

        async def flood() -> None:
            async with theirs:
                await theirs.sendall(b'x' * (MAX_LINE_BYTES * 2))

        task = await curio.spawn(flood, daemon=True)
        try:
            async with ours:
                await LineReader(ours).read()
        finally:
            await task.cancel()


if __name__ == '__main__':
    unittest.main()
