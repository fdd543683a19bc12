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
    parse_failure,
    parse_position,
    parse_statement,
)
from comfreystair.platform.targets import TargetConnection
from comfreystair.sessions.statements import Failure, StatementKind

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
