"""Classification of statements."""

import unittest

from comfreystair.routing import Tag, classify_statement, parse_tag

KINDS = (
    ('SELECT 1', 'read'),
    ('SELECT 1 FOR UPDATE', 'write'),
    ("SELECT nextval('a')", 'write'),
    ('WITH a AS (INSERT INTO b VALUES (1) RETURNING c) SELECT c', 'write'),
    ('INSERT INTO a VALUES (1)', 'write'),
    ('not a statement', 'write'),
    ('BEGIN', 'begin'),
    ('BEGIN READ ONLY', 'begin_read'),
    ('COMMIT', 'end'),
    ('ROLLBACK', 'end'),
    ('SAVEPOINT one', 'write'),
    ("SET comfreystair.route = 'x'", 'set'),
    ('SET LOCAL work_mem = 1', 'set'),
    ('SET work_mem = 1', 'refused'),
    ("SELECT set_config('a', 'b', false)", 'refused'),
    ("SELECT group_promote(3, 'me')", 'refused'),
    ('CREATE TEMP TABLE a (b INT)', 'refused'),
    ('COPY a FROM STDIN', 'refused'),
    ("PREPARE TRANSACTION 'x'", 'refused'),
    ('DEALLOCATE ALL', 'deallocate'),
    ('', 'empty'),
)


class StatementTest(unittest.TestCase):
    """Statements are classified by PostgreSQL's grammar."""

    def test_kinds(self) -> None:
        """Each statement has the expected kind."""
        for query, kind in KINDS:
            self.assertEqual(classify_statement(query).kinds, (kind,), query)

    def test_several_statements(self) -> None:
        """A text with several statements has several kinds."""
        statement = classify_statement('BEGIN; SELECT 1; COMMIT')
        self.assertEqual(statement.kinds, ('begin', 'read', 'end'))
        self.assertFalse(statement.is_read)

    def test_tags(self) -> None:
        """A tag in a comment names the route and the idempotency key."""
        tag = parse_tag('/* comfreystair route=badge key=k-1 */ SELECT 1')
        self.assertEqual(tag, Tag('badge', 'k-1'))
        self.assertEqual(parse_tag('/* other */ SELECT 1'), Tag())

    def test_each_kind_of_name_has_its_field(self) -> None:
        """Guards against a statement that is taken for a setting."""
        forms = {
            'DEALLOCATE "comfreystair.route"': ('', 'comfreystair.route'),
            'DEALLOCATE ALL': ('', ''),
            'SHOW comfreystair.route': ('comfreystair.route', ''),
            "SET comfreystair.route = 'a'": ('comfreystair.route', ''),
        }
        for text, names in forms.items():
            read = classify_statement(text)
            found = (read.setting_name, read.prepared_name)
            self.assertEqual(found, names, text)
            self.assertEqual(read.is_proxy_setting, bool(names[0]), text)


if __name__ == '__main__':
    unittest.main()
