"""Filter ``admit``: limit the request rate of each organisation.

A transaction is counted once, when it begins.
"""

from comfreystair.filters import request_errors
from comfreystair.filters.context import FilterContext
from comfreystair.filters.request import Handler, Request
from comfreystair.targets.connection import Answer


def build(context: FilterContext, next_handler: Handler) -> Handler:
    """Return a handler that waits for a token of the organisation.

    :raises RequestError: when no token is available within
        ``admit_seconds``.
    """

    async def handle(request: Request) -> Answer:
        session = request.session
        if session.pinned_transaction is None:
            retry_seconds = await context.rate_limiter.admit(
                session.organisation, context.settings.admit_seconds
            )
            if retry_seconds is not None:
                raise request_errors.build_rate_limit_error(
                    session.organisation, retry_seconds
                )
            context.metrics.count(f'admitted.{session.organisation}')
        return await next_handler(request)

    return handle
