"""Admit a request within its organisation's rate; a transaction counts once."""

from comfreystair.filters import request_errors
from comfreystair.filters.context import FilterContext
from comfreystair.filters.request import Handler, Request
from comfreystair.targets.connection import Answer


def build(parts: FilterContext, next_handler: Handler) -> Handler:
    """Build the filter."""

    async def handle(request: Request) -> Answer:
        session = request.session
        if session.pinned_transaction is None:
            retry = await parts.rate_limiter.admit(
                session.organisation, parts.settings.admit_seconds
            )
            if retry is not None:
                raise request_errors.build_rate_limit_error(
                    session.organisation, retry
                )
            parts.metrics.count(f'admitted.{session.organisation}')
        return await next_handler(request)

    return handle
