"""Chain of filters that handles each request, with one module per filter.

The factory of a filter takes the filter context and the next handler of the
chain and returns a handler. The settings give the order of the filters.
"""

from comfreystair.filters.chain import build_chain
from comfreystair.filters.context import FilterContext
from comfreystair.filters.exceptions import RequestError
from comfreystair.filters.request import Handler, Request
from comfreystair.filters.session import SessionState

__all__ = (
    'Handler',
    'FilterContext',
    'RequestError',
    'Request',
    'SessionState',
    'build_chain',
)
