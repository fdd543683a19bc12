"""Filter ``trace``: count requests, time sampled ones, log failed ones."""

import time

from loguru import logger

from comfreystair.filters.context import FilterContext
from comfreystair.filters.exceptions import RequestError
from comfreystair.filters.request import Handler, Request
from comfreystair.targets.connection import Answer


def build(context: FilterContext, next_handler: Handler) -> Handler:
    """Return the outermost handler, which records the outcome of requests."""
    metrics = context.metrics

    async def handle(request: Request) -> Answer:
        metrics.count('requests')
        request.session.last_trace_id = request.trace.ident
        try:
            answer = await next_handler(request)
        except RequestError as error:
            metrics.count(f'refused.{error.sqlstate}')
            request.trace.note(error.step, str(error))
            logger.info(
                'event=refused trace={} organisation={} database={} '
                'sqlstate={} step={} peer={} error="{}"',
                request.trace.ident,
                request.session.organisation,
                request.session.database,
                error.sqlstate,
                error.step,
                error.peer or '-',
                error,
            )
            raise
        if request.trace.is_sampled:
            metrics.time('request', time.monotonic() - request.arrived_at)
        return answer

    return handle
