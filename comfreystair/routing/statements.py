"""Classify SQL statements with the grammar of PostgreSQL.

A write that is classified as a read does no harm: a replica rejects it with
SQLSTATE 25006, which proves that it did not run.
"""

import functools
from typing import Final, Literal, NamedTuple

import pglast
from pglast import ast, enums, visitors

from comfreystair.routing.tags import NO_TAG, Tag, parse_tag

StatementKind = Literal[
    'read',
    'write',
    'begin',
    'begin_read',
    'end',
    'set',
    'show',
    'deallocate',
    'discard',
    'refused',
    'empty',
]

_CACHE_ENTRIES: Final = 4096
_MAX_CACHED_CHARACTERS: Final = 8192
_PROXY_SETTING_PREFIX: Final = 'comfreystair.'
_GROUP_FUNCTION_PREFIX: Final = 'group_'
_SESSION_FUNCTIONS: Final = frozenset(
    (
        'set_config',
        'pg_advisory_lock',
        'pg_advisory_lock_shared',
        'pg_try_advisory_lock',
        'pg_try_advisory_lock_shared',
        'dblink_connect',
    )
)
_CURSOR_OPTION_HOLD: Final = 0x20
_WRITING_FUNCTIONS: Final = frozenset(('nextval', 'setval'))


class Statement(NamedTuple):
    """Classification of the text of a query.

    :param kinds: kind of each statement in the text.
    :param setting_name: name of the setting that SET or SHOW names.
    :param prepared_name: name of the prepared statement that DEALLOCATE names;
        empty for all.
    :param setting: value that SET assigns.
    :param reason: what is not supported, when a kind is ``refused``.
    """

    kinds: tuple[StatementKind, ...]
    tag: Tag = NO_TAG
    setting_name: str = ''
    prepared_name: str = ''
    setting: str = ''
    reason: str = ''

    @property
    def is_read(self) -> bool:
        """Tell whether each statement reads or begins a read-only transaction.

        SHOW and an empty text count as reads.
        """
        return all(kind in _READ_KINDS for kind in self.kinds)

    @property
    def is_proxy_setting(self) -> bool:
        """Tell whether the setting is one of the proxy itself."""
        return self.setting_name.startswith(_PROXY_SETTING_PREFIX)

    @property
    def first_kind(self) -> StatementKind:
        """Return the kind of the first statement."""
        return self.kinds[0] if self.kinds else 'empty'


_READ_KINDS: Final = frozenset(('read', 'show', 'empty', 'begin_read'))
_UNSUPPORTED_STATEMENTS: Final = {  # noqa: WPS407
    ast.CopyStmt: 'COPY',
    ast.ListenStmt: 'LISTEN',
    ast.UnlistenStmt: 'UNLISTEN',
    ast.NotifyStmt: 'NOTIFY',
    ast.PrepareStmt: 'PREPARE as a statement',
    ast.ExecuteStmt: 'EXECUTE as a statement',
    ast.LoadStmt: 'LOAD',
}
_KINDS_BY_TYPE: Final[dict[type, StatementKind]] = {  # noqa: WPS407
    **dict.fromkeys(_UNSUPPORTED_STATEMENTS, 'refused'),
    ast.VariableShowStmt: 'show',
    ast.DeallocateStmt: 'deallocate',
    ast.DiscardStmt: 'discard',
}


def classify_statement(query: str) -> Statement:
    """Classify the text of a query.

    A text that can't be parsed counts as a write. Long texts are not
    cached.
    """
    if len(query) > _MAX_CACHED_CHARACTERS:
        return _classify_query(query)
    return _classify_cached(query)


@functools.lru_cache(maxsize=_CACHE_ENTRIES)
def _classify_cached(query: str) -> Statement:
    return _classify_query(query)


def _classify_query(query: str) -> Statement:
    tag = parse_tag(query)
    try:
        nodes = [raw.stmt for raw in pglast.parse_sql(query)]
    except pglast.Error:
        return Statement(('write',), tag)
    if not nodes:
        return Statement(('empty',), tag)
    kinds = tuple(_classify_with_functions(node) for node in nodes)
    if 'refused' in kinds:
        node = nodes[kinds.index('refused')]
        return Statement(kinds, tag, reason=_get_refusal_reason(node))
    return _add_name_and_setting(Statement(kinds, tag), nodes[0])


def _add_name_and_setting(statement: Statement, node: ast.Node) -> Statement:
    if isinstance(node, ast.VariableSetStmt):
        return statement._replace(
            setting_name=node.name or '', setting=_get_setting(node)
        )
    if isinstance(node, ast.VariableShowStmt):
        return statement._replace(setting_name=node.name or '')
    if isinstance(node, ast.DeallocateStmt):
        return statement._replace(prepared_name=node.name or '')
    return statement


def _get_setting(node: ast.VariableSetStmt) -> str:
    if not node.args:
        return ''
    constant = getattr(node.args[0], 'val', None)
    for field in ('sval', 'ival', 'fval'):
        if getattr(constant, field, None) is not None:
            return str(getattr(constant, field))
    return ''


class _FunctionNames(visitors.Visitor):
    """Visitor that collects the names of called functions, in lower case."""

    def __init__(self) -> None:
        super().__init__()
        self.names: set[str] = set()

    def visit_FuncCall(self, _ancestors, node: ast.FuncCall) -> None:
        self.names.add(node.funcname[-1].sval.lower())


def _classify_with_functions(node: ast.Node) -> StatementKind:
    """Classify a statement with regard to the functions that it calls."""
    collected = _FunctionNames()
    collected(node)
    if any(_is_unsupported_function(name) for name in collected.names):
        return 'refused'
    kind = _classify_by_type(node)
    if kind == 'read' and collected.names & _WRITING_FUNCTIONS:
        return 'write'
    return kind


def _is_unsupported_function(name: str) -> bool:
    return name in _SESSION_FUNCTIONS or name.startswith(_GROUP_FUNCTION_PREFIX)


def _classify_by_type(node: ast.Node) -> StatementKind:
    kind = _KINDS_BY_TYPE.get(type(node))
    if kind is not None:
        return kind
    if isinstance(node, ast.SelectStmt):
        return 'read' if _is_read_only_select(node) else 'write'
    if isinstance(node, ast.TransactionStmt):
        return _classify_transaction(node)
    if isinstance(node, ast.VariableSetStmt):
        return _classify_set(node)
    if isinstance(node, ast.ExplainStmt):
        return _classify_by_type(node.query)
    return 'refused' if _creates_session_object(node) else 'write'


def _creates_session_object(node: ast.Node) -> bool:
    """Tell whether a statement creates a temporary table or held cursor.

    They belong to a connection and outlive the transaction.
    """
    if isinstance(node, ast.DeclareCursorStmt):
        return bool(node.options & _CURSOR_OPTION_HOLD)
    relation = getattr(node, 'relation', None) or getattr(node, 'view', None)
    if isinstance(node, ast.CreateTableAsStmt):
        relation = node.into.rel
    creates = isinstance(
        node, ast.CreateStmt | ast.CreateTableAsStmt | ast.ViewStmt
    )
    return creates and getattr(relation, 'relpersistence', 'p') == 't'


def _is_read_only_select(node: ast.SelectStmt) -> bool:
    """Tell whether a SELECT neither locks rows nor writes any."""
    if node.lockingClause or node.intoClause:
        return False
    if node.withClause is None:
        return True
    queries = [table.ctequery for table in node.withClause.ctes]
    return all(isinstance(query, ast.SelectStmt) for query in queries)


def _classify_transaction(node: ast.TransactionStmt) -> StatementKind:
    kinds = enums.TransactionStmtKind
    if node.kind in {kinds.TRANS_STMT_BEGIN, kinds.TRANS_STMT_START}:
        options = [option.defname for option in node.options or ()]
        is_read = (
            'transaction_read_only' in options
            and _is_read_only_transaction(node)
        )
        return 'begin_read' if is_read else 'begin'
    if node.kind in {kinds.TRANS_STMT_COMMIT, kinds.TRANS_STMT_ROLLBACK}:
        return 'end'
    if node.kind in {
        kinds.TRANS_STMT_SAVEPOINT,
        kinds.TRANS_STMT_RELEASE,
        kinds.TRANS_STMT_ROLLBACK_TO,
    }:
        return 'write'
    return 'refused'


def _is_read_only_transaction(node: ast.TransactionStmt) -> bool:
    for option in node.options:
        if option.defname == 'transaction_read_only':
            constant = getattr(option.arg, 'val', None)
            return bool(getattr(constant, 'ival', 0))
    return False


def _classify_set(node: ast.VariableSetStmt) -> StatementKind:
    """Accept settings of the proxy and of the current transaction only."""
    name = node.name or ''
    if node.is_local or name.startswith(_PROXY_SETTING_PREFIX):
        return 'set'
    if name in {'TRANSACTION', 'transaction_isolation'}:
        return 'set'
    return 'refused'


def _get_refusal_reason(node: ast.Node) -> str:
    if isinstance(node, ast.VariableSetStmt):
        return 'SET for a whole session'
    if isinstance(node, ast.TransactionStmt):
        return 'two-phase commit'
    return _UNSUPPORTED_STATEMENTS.get(
        type(node), 'state that outlives a transaction'
    )
