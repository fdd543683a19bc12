"""The chain that each request runs through, one filter a module.

A filter is made by a factory that takes the shared parts and the next handler
and returns a handler. The order stands in the settings.
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
