"""Let a request run only for an organisation that may."""

from comfreystair.filters import request_errors
from comfreystair.filters.context import FilterContext
from comfreystair.filters.request import Handler, Request
from comfreystair.targets.connection import Answer


def build(parts: FilterContext, next_handler: Handler) -> Handler:
    """Build the filter."""

    async def handle(request: Request) -> Answer:
        session = request.session
        manifest = parts.manifest_holder.current
        is_open = request.route is not None and request.route.is_open
        is_member = manifest is not None and manifest.may_use(
            session.database, session.organisation
        )
        if not is_member and not is_open:
            raise request_errors.build_permission_error(
                f'organisation "{session.organisation}" may not use '
                f'database "{session.database}" this way'
            )
        return await next_handler(request)

    return handle
