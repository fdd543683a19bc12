"""Check at each request that the caller's key is still in force."""

import time

from comfreystair.controllers.generations import may_serve
from comfreystair.filters import request_errors
from comfreystair.filters.context import FilterContext
from comfreystair.filters.request import Handler, Request
from comfreystair.filters.session import SessionState
from comfreystair.manifest.index import ManifestIndex
from comfreystair.manifest.schema import PUBLIC_ORGANISATION
from comfreystair.targets.connection import Answer


def build(parts: FilterContext, next_handler: Handler) -> Handler:
    """Build the filter."""

    async def handle(request: Request) -> Answer:
        manifest = parts.manifest_holder.current
        if manifest is None:
            raise request_errors.build_not_run_error(
                'no manifest yet', 'authenticate'
            )
        if not has_key(manifest, request.session):
            raise request_errors.build_revoked_key_error(
                request.session.organisation
            )
        age = parts.generations.find_age(time.monotonic())
        if not may_serve(manifest.policy, age, request.statement.is_read):
            raise request_errors.build_not_run_error(
                'the manifest was not confirmed lately', 'authenticate'
            )
        return await next_handler(request)

    return handle


def has_key(manifest: ManifestIndex, session: SessionState) -> bool:
    """Tell whether a session's key is in force."""
    if session.organisation == PUBLIC_ORGANISATION:
        return True
    return manifest.has_key(session.organisation, session.key_id)
