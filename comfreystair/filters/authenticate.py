"""Filter ``authenticate``: check on each request that the key is valid."""

import time

from comfreystair.controllers.manifest_generation import may_serve
from comfreystair.filters import request_errors
from comfreystair.filters.context import FilterContext
from comfreystair.filters.request import Handler, Request
from comfreystair.filters.session import SessionState
from comfreystair.manifest.index import ManifestIndex
from comfreystair.manifest.schema import PUBLIC_ORGANISATION
from comfreystair.targets.connection import Answer


def build(context: FilterContext, next_handler: Handler) -> Handler:
    """Return a handler that checks the key against the current manifest.

    :raises RequestError: when there is no manifest, when it was confirmed
        too long ago for the policy, or when the key was revoked.
    """

    async def handle(request: Request) -> Answer:
        manifest = context.manifest_holder.current
        if manifest is None:
            raise request_errors.build_not_run_error(
                'no manifest yet', 'authenticate'
            )
        if not has_key(manifest, request.session):
            raise request_errors.build_revoked_key_error(
                request.session.organisation
            )
        age = context.generations.find_confirmation_age(time.monotonic())
        if not may_serve(manifest.policy, age, request.statement.is_read):
            raise request_errors.build_not_run_error(
                'the manifest was not confirmed recently', 'authenticate'
            )
        return await next_handler(request)

    return handle


def has_key(manifest: ManifestIndex, session: SessionState) -> bool:
    """Tell whether the manifest still lists a session's key.

    The public organisation has no key.
    """
    if session.organisation == PUBLIC_ORGANISATION:
        return True
    return manifest.has_key(session.organisation, session.key_id)
