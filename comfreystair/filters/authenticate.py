"""Check at each request that the caller's key is still in force."""

import time

from comfreystair.controllers.manifest_generation import may_serve
from comfreystair.filters import refusals
from comfreystair.filters.parts import Parts
from comfreystair.filters.request import Handler, Request
from comfreystair.filters.session import SessionState
from comfreystair.manifest.index import ManifestIndex
from comfreystair.manifest.schema import PUBLIC_ORGANISATION
from comfreystair.targets.connection import Answer


def build(parts: Parts, next_handler: Handler) -> Handler:
    """Build the filter."""

    async def handle(request: Request) -> Answer:
        manifest = parts.holder.current
        if manifest is None:
            raise refusals.refuse_not_run('no manifest yet', 'authenticate')
        if not has_key(manifest, request.session):
            raise refusals.refuse_withdrawn(request.session.organisation)
        age = parts.generations.find_confirmation_age(time.monotonic())
        if not may_serve(manifest.policy, age, request.statement.is_read):
            raise refusals.refuse_not_run(
                'the manifest was not confirmed lately', 'authenticate'
            )
        return await next_handler(request)

    return handle


def has_key(manifest: ManifestIndex, session: SessionState) -> bool:
    """Tell whether a session's key is in force."""
    if session.organisation == PUBLIC_ORGANISATION:
        return True
    return manifest.has_key(session.organisation, session.key_id)
