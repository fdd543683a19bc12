"""Build the chain of filters in the order that the settings give."""

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

FilterFactory = Callable[[FilterContext, Handler], Handler]

FACTORIES: Final[dict[str, FilterFactory]] = {  # noqa: WPS407
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


def build_chain(names: Iterable[str], context: FilterContext) -> Handler:
    """Return the handler that runs a request through the named filters.

    Sampled requests run through a second chain, which records a span for
    each filter; other requests skip that overhead.

    :param names: names of filters, outermost first.
    """
    filter_names = tuple(names)
    untraced: Handler = _raise_unhandled
    traced: Handler = _raise_unhandled
    for name in reversed(filter_names):
        untraced = FACTORIES[name](context, untraced)
        traced = _add_span(name, context, FACTORIES[name](context, traced))

    async def handle(request: Request) -> Answer:
        if request.trace.is_sampled:
            return await traced(request)
        return await untraced(request)

    return handle


async def _raise_unhandled(request: Request) -> Answer:
    raise NotImplementedError(
        'the last filter of the chain must return an answer'
    )


def _add_span(name: str, context: FilterContext, handler: Handler) -> Handler:
    async def handle_in_span(request: Request) -> Answer:
        with context.tracer.span(request.trace, name):
            return await handler(request)

    return handle_in_span
