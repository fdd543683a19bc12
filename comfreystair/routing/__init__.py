"""Classification of SQL statements, and the tags in their comments."""

from comfreystair.routing.statements import (
    Statement,
    StatementKind,
    classify_statement,
)
from comfreystair.routing.tags import Tag, parse_tag

__all__ = (
    'Statement',
    'StatementKind',
    'Tag',
    'classify_statement',
    'parse_tag',
)
