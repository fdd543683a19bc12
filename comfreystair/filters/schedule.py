"""Wait for a turn at the chosen target, in fair order."""

import time

from comfreystair.filters import request_errors
from comfreystair.filters.context import FilterContext
from comfreystair.filters.exceptions import TargetUnavailableError
from comfreystair.filters.request import Handler, Request
from comfreystair.targets.connection import Answer


def build(parts: FilterContext, next_handler: Handler) -> Handler:
    """Build the filter."""
    scheduler = parts.scheduler

    async def handle(request: Request) -> Answer:
        placement = request.selected_target
        if placement is None:
            raise TargetUnavailableError('no target', 'schedule')
        place = (request.session.database, placement.target)
        ticket = await scheduler.acquire_slot(
            place,
            request.session.organisation,
            _find_weight(parts, request.session.organisation),
            parts.settings.schedule_seconds,
            is_urgent=request.session.pinned_transaction is not None,
        )
        if ticket is None:
            raise request_errors.build_not_run_error(
                'the target is busy', 'schedule', placement.target
            )
        started = time.monotonic()
        try:
            _check_placement(parts, request)
            return await next_handler(request)
        finally:
            await scheduler.release_slot(
                place, ticket, time.monotonic() - started
            )

    return handle


def _find_weight(parts: FilterContext, organisation: str) -> float:
    manifest = parts.manifest_holder.current
    found = manifest.find_organisation(organisation) if manifest else None
    return found.weight if found else 1


def _check_placement(parts: FilterContext, request: Request) -> None:
    """Catch a change of primary that came while the request waited."""
    placement = request.selected_target
    if (
        request.session.pinned_transaction is not None
        or not placement.is_primary
    ):
        return
    primary = parts.groups[request.session.database].controller.primary
    if primary is None or primary.term != placement.term:
        raise TargetUnavailableError(
            'the primary changed', 'schedule', placement.target
        )
