"""Build the chain in the order of the settings."""

from collections.abc import Callable, Iterable
from typing import Final

from comfreystair.filters import (
    acknowledge,
    admit,
    authenticate,
    authorise,
    execute,
    place,
    route,
    schedule,
    trace,
)
from comfreystair.filters.context import FilterContext
from comfreystair.filters.request import Handler, Request
from comfreystair.targets.connection import Answer

Factory = Callable[[FilterContext, Handler], Handler]

FACTORIES: Final[dict[str, Factory]] = {  # noqa: WPS407
    'trace': trace.build,
    'authenticate': authenticate.build,
    'route': route.build,
    'authorise': authorise.build,
    'admit': admit.build,
    'acknowledge': acknowledge.build,
    'place': place.build,
    'schedule': schedule.build,
    'execute': execute.build,
}


def build_chain(names: Iterable[str], parts: FilterContext) -> Handler:
    """Return the handler that runs a request through the named filters."""
    ordered = tuple(names)
    plain: Handler = _end_chain
    spanned: Handler = _end_chain
    for name in reversed(ordered):
        plain = FACTORIES[name](parts, plain)
        spanned = _add_span(name, parts, FACTORIES[name](parts, spanned))

    async def handle(request: Request) -> Answer:
        if request.trace.is_sampled:
            return await spanned(request)
        return await plain(request)

    return handle


async def _end_chain(request: Request) -> Answer:
    raise NotImplementedError('the last filter must answer')


def _add_span(name: str, parts: FilterContext, handler: Handler) -> Handler:
    async def handle_in_span(request: Request) -> Answer:
        with parts.tracer.span(request.trace, name):
            return await handler(request)

    return handle_in_span
