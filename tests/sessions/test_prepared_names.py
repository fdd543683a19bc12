"""Names of items, session values and prepared statements.

Each kind has names of its own. An item named like one of the session's
prepared statements used to run that statement in place of the read or write.
"""

import unittest

from comfreystair.manifest.serving import Consistency, ServingRoute
from comfreystair.platform.lines import parse_statement
from comfreystair.pooling.local_execution import StatementRequest
from comfreystair.sessions.attempts import is_writing
from comfreystair.sessions.execution import build_request
from comfreystair.sessions.session import Session
from comfreystair.sessions.statements import PreparedStatement

NAME = 'badge'
ROUTE = ServingRoute(
    'strict', 'permits', Consistency.primary, 1.5, 0.6, 0.2, 1, False
)
PREPARED_READ = PreparedStatement('q2c', is_writing=False)
PREPARED_WRITE = PreparedStatement('q7f', is_writing=True)


class PreparedNamesTest(unittest.TestCase):
    """A session with a prepared statement whose name is used elsewhere."""

    def build(self, text: str, prepared: PreparedStatement) -> StatementRequest:
        """Return the request that a statement of the session becomes."""
        session = Session('strict', 'key')
        session.prepared[NAME] = prepared
        return build_request(session, ROUTE, 'org', parse_statement('1', text))

    def test_item_does_not_select_a_prepared_statement(self) -> None:
        """Guards against a read or write that runs a prepared statement."""
        for text in (f'READ {NAME}', f'WRITE {NAME} paid'):
            for prepared in (PREPARED_READ, PREPARED_WRITE):
                self.assertIsNone(self.build(text, prepared).prepared, text)

    def test_item_does_not_change_the_mode(self) -> None:
        """Guards against a write that is retried like a read."""
        written = self.build(f'WRITE {NAME} paid', PREPARED_READ)
        self.assertTrue(is_writing(written))
        read = self.build(f'READ {NAME}', PREPARED_WRITE)
        self.assertFalse(is_writing(read))

    def test_no_other_kind_selects_a_prepared_statement(self) -> None:
        """Guards against the same for ends of transactions and values."""
        texts = (
            'BEGIN',
            'BEGIN READ',
            'COMMIT',
            'ROLLBACK',
            f'SET {NAME} x',
            f'PREPARE {NAME} READ q',
            f'CLOSE {NAME}',
        )
        for text in texts:
            self.assertIsNone(self.build(text, PREPARED_WRITE).prepared, text)

    def test_execute_selects_its_prepared_statement(self) -> None:
        """An execution still finds the statement by its name."""
        request = self.build(f'EXECUTE {NAME} 1a4', PREPARED_READ)
        self.assertEqual(request.prepared, PREPARED_READ)
        self.assertEqual(request.statement.argument, '1a4')


if __name__ == '__main__':
    unittest.main()
