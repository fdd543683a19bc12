"""Filter ``schedule``: wait for a slot at the selected target.

Slots are shared between organisations by fair queueing.
"""

import time

from comfreystair.filters import request_errors
from comfreystair.filters.context import FilterContext
from comfreystair.filters.exceptions import TargetUnavailableError
from comfreystair.filters.request import Handler, Request
from comfreystair.targets.connection import Answer


def build(context: FilterContext, next_handler: Handler) -> Handler:
    """Return a handler that holds a slot of the target during the request.

    Requests of open transactions get a slot before all others.

    :raises RequestError: when the request gets no slot within
        ``schedule_seconds``.
    :raises TargetUnavailableError: when the primary changed during the wait.
    """
    scheduler = context.scheduler

    async def handle(request: Request) -> Answer:
        selected = request.selected_target
        if selected is None:
            raise TargetUnavailableError('no target', 'schedule')
        target_key = (request.session.database, selected.target)
        queued = await scheduler.acquire_slot(
            target_key,
            request.session.organisation,
            _get_weight(context, request.session.organisation),
            context.settings.schedule_seconds,
            is_urgent=request.session.pinned_transaction is not None,
        )
        if queued is None:
            raise request_errors.build_not_run_error(
                'the target is busy', 'schedule', selected.target
            )
        started = time.monotonic()
        try:
            _check_primary_term(context, request)
            return await next_handler(request)
        finally:
            await scheduler.release_slot(
                target_key, queued, time.monotonic() - started
            )

    return handle


def _get_weight(context: FilterContext, organisation: str) -> float:
    manifest = context.manifest_holder.current
    entry = manifest.find_organisation(organisation) if manifest else None
    return entry.weight if entry else 1


def _check_primary_term(context: FilterContext, request: Request) -> None:
    """Raise when the primary changed while the request waited.

    :raises TargetUnavailableError: so that another target is selected.
    """
    selected = request.selected_target
    if (
        request.session.pinned_transaction is not None
        or not selected.is_primary
    ):
        return
    primary = context.groups[request.session.database].controller.primary
    if primary is None or primary.term != selected.term:
        raise TargetUnavailableError(
            'the primary changed', 'schedule', selected.target
        )
