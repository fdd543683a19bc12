"""Filter ``authorise``: check that the organisation may use the database."""

from comfreystair.filters import request_errors
from comfreystair.filters.context import FilterContext
from comfreystair.filters.request import Handler, Request
from comfreystair.targets.connection import Answer


def build(context: FilterContext, next_handler: Handler) -> Handler:
    """Return a handler that checks the access of the organisation.

    Any organisation may use a route that the manifest marks as open.

    :raises RequestError: when the organisation may not use the database and
        the route is not open.
    """

    async def handle(request: Request) -> Answer:
        session = request.session
        manifest = context.manifest_holder.current
        is_open = request.route is not None and request.route.is_open
        is_member = manifest is not None and manifest.may_use(
            session.database, session.organisation
        )
        if not is_member and not is_open:
            raise request_errors.build_permission_error(
                f'organisation "{session.organisation}" may not use '
                f'database "{session.database}" outside of open routes'
            )
        return await next_handler(request)

    return handle
