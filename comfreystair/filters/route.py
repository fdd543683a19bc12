"""Filter ``route``: find the route of a request and whether it is a read.

A tag in the statement names the route, or else an option of the session.
Without a route, the statement alone decides whether the request is a read.
"""

from comfreystair.filters import request_errors
from comfreystair.filters.context import FilterContext
from comfreystair.filters.request import Handler, Request
from comfreystair.manifest.schema import Route
from comfreystair.targets.connection import Answer


def build(context: FilterContext, next_handler: Handler) -> Handler:
    """Return a handler that sets ``route``, ``is_read`` and ``key``.

    :raises RequestError: when a statement is not supported, when the route
        is unknown or only for reads, or when the idempotency key is missing
        or not allowed.
    """

    async def handle(request: Request) -> Answer:
        session = request.session
        statement = request.statement
        if 'refused' in statement.kinds:
            raise request_errors.build_unsupported_error(statement.reason)
        name = statement.tag.route or session.route_name
        route = _find_route(context, session.database, name)
        is_read = _runs_as_read(context, request, route)
        key = statement.tag.key or session.next_key
        session.next_key = ''
        _check_key(request, route, key)
        request.trace.note('route', 'read' if is_read else 'write')
        if name:
            request.trace.note('route', name)
        request.route = route
        request.is_read = is_read
        request.key = key
        return await next_handler(request)

    return handle


def _find_route(
    context: FilterContext, database: str, name: str
) -> Route | None:
    if not name:
        return None
    manifest = context.manifest_holder.current
    route = manifest.find_route(database, name) if manifest else None
    if route is None:
        raise request_errors.build_invalid_request_error(
            f'no route "{name}"', request_errors.UNKNOWN_ROUTE
        )
    return route


def _runs_as_read(
    context: FilterContext, request: Request, route: Route | None
) -> bool:
    """Tell whether a request is a read, as it is or by its route.

    :raises RequestError: when a write names a route that is only for reads,
        outside a transaction.
    """
    if route is not None and route.kind == 'write':
        return False
    is_read = request.statement.is_read
    if is_read and request.texts[:1]:
        is_read = request.texts[0] not in context.known_writes
    if (
        route is not None
        and not is_read
        and request.session.pinned_transaction is None
    ):
        raise request_errors.build_invalid_request_error(
            f'route "{route.name}" is read-only', request_errors.READ_ONLY
        )
    return is_read


def _check_key(request: Request, route: Route | None, key: str) -> None:
    if route is not None and route.requires_key and not key:
        raise request_errors.build_invalid_request_error(
            f'route "{route.name}" requires an idempotency key'
        )
    if not key:
        return
    is_single = len(request.statement.kinds) == 1
    if request.session.pinned_transaction is not None or not is_single:
        raise request_errors.build_unsupported_error(
            'an idempotency key on more than one statement'
        )
