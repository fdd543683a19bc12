"""Filter ``place``: select the target of a request.

A write runs at the primary. A read runs at a target that has applied the log
up to the read floor, the lowest log position that the read must see. A
replica is preferred to the primary.
"""

import time
from typing import Final

import curio

from comfreystair.controllers.positions import Position
from comfreystair.controllers.quorum_positions import max_position
from comfreystair.controllers.read_routing import (
    ReadCandidate,
    choose_read_target,
)
from comfreystair.filters import request_errors
from comfreystair.filters.context import FilterContext
from comfreystair.filters.exceptions import (
    ReadInterruptedError,
    TargetUnavailableError,
)
from comfreystair.filters.request import Handler, Request
from comfreystair.filters.session import SelectedTarget
from comfreystair.targets.connection import Answer
from comfreystair.targets.exceptions import (
    PoolClosedError,
    TargetConnectError,
)
from comfreystair.targets.groups import DatabaseGroup

_RETRY_SECONDS: Final = 0.02
_MILLISECONDS: Final = 1000.0


def build(context: FilterContext, next_handler: Handler) -> Handler:
    """Return a handler that selects a target and retries at another one.

    A request of an open transaction stays at the target of the transaction.

    :raises RequestError: when no target could run the request within
        ``place_seconds``.
    """

    async def handle(request: Request) -> Answer:
        pinned = request.session.pinned_transaction
        if pinned is not None:
            request.selected_target = pinned.selected_target
            return await next_handler(request)
        group = context.groups.get(request.session.database)
        if group is None:
            raise request_errors.build_not_run_error(
                'no such database', 'place'
            )
        deadline = time.monotonic() + context.settings.place_seconds
        while True:
            await _select_target(context, group, request, deadline)
            try:
                return await next_handler(request)
            except (
                TargetUnavailableError,
                TargetConnectError,
                PoolClosedError,
            ) as error:
                await _wait_before_retry(
                    context, group, request, error, deadline
                )

    return handle


async def _wait_before_retry(
    context: FilterContext,
    group: DatabaseGroup,
    request: Request,
    error: Exception,
    deadline: float,
) -> None:
    """Wait before another target is selected for the request.

    Nothing ran at the last target, or the request is a read on a route that
    allows repetition.

    :param error: why the last target did not complete the request.
    :param deadline: monotonic seconds.
    :raises RequestError: when the deadline has passed.
    """
    context.metrics.count('placed_again')
    request.trace.note('place', f'again: {error}')
    now = time.monotonic()
    if now >= deadline:
        if isinstance(error, ReadInterruptedError):
            raise request_errors.build_connection_lost_error(
                str(error), 'place', group.name
            )
        raise request_errors.build_not_run_error(
            str(error), 'place', group.name
        )
    await curio.sleep(min(_RETRY_SECONDS, deadline - now))


async def _select_target(
    context: FilterContext,
    group: DatabaseGroup,
    request: Request,
    deadline: float,
) -> None:
    if _runs_as_read(context, request):
        selected = await _select_read_target(context, group, request, deadline)
    else:
        selected = await _select_write_target(group, deadline)
    request.trace.note('place', selected.target)
    request.selected_target = selected


def _runs_as_read(context: FilterContext, request: Request) -> bool:
    """Tell whether the request is still considered a read.

    A target may have rejected the statement as a write after the filter
    ``route`` classified it as a read; it then runs at the primary.
    """
    is_known_write = any(
        text in context.known_writes for text in request.texts[:1]
    )
    return request.is_read and not is_known_write


async def _select_write_target(
    group: DatabaseGroup, deadline: float
) -> SelectedTarget:
    primary = await group.wait_primary(deadline - time.monotonic())
    if primary is None or primary.target not in group.pools:
        raise request_errors.build_not_run_error(
            'no primary', 'place', group.name
        )
    pool = group.pools[primary.target]
    return SelectedTarget(primary.target, pool, primary.term)


async def _select_read_target(
    context: FilterContext,
    group: DatabaseGroup,
    request: Request,
    deadline: float,
) -> SelectedTarget:
    floor = await _find_read_floor(context, group, request, deadline)
    chosen = _choose_candidate(context, group, floor)
    if chosen is None or chosen.is_primary:
        chosen = await _wait_for_replica(context, group, floor)
    if chosen is None:
        await group.wait_change(
            lambda: _choose_candidate(context, group, floor) is not None,
            deadline - time.monotonic(),
        )
        chosen = _choose_candidate(context, group, floor)
    if chosen is None:
        raise request_errors.build_not_run_error(
            'no target has applied the log that the read must see',
            'place',
            group.name,
        )
    context.metrics.count(
        'reads.primary' if chosen.is_primary else 'reads.replica'
    )
    return SelectedTarget(chosen.name, group.pools[chosen.name], 0)


async def _wait_for_replica(
    context: FilterContext, group: DatabaseGroup, floor: Position
) -> ReadCandidate | None:
    """Wait for a replica to apply the log up to the floor.

    The wait keeps load off the primary and is ``replica_seconds`` at most.

    :returns: the least loaded replica at the floor, else the primary, or
        None when no target has reached the floor.
    """

    def has_replica() -> bool:
        candidate = _choose_candidate(context, group, floor)
        return candidate is not None and not candidate.is_primary

    await group.wait_change(has_replica, context.settings.replica_seconds)
    return _choose_candidate(context, group, floor)


async def _find_read_floor(
    context: FilterContext,
    group: DatabaseGroup,
    request: Request,
    deadline: float,
) -> Position:
    """Return the lowest log position that the read must see.

    It is the higher one of the session's floor and of the position that the
    allowed staleness requires. The session's floor is first raised to all
    writes acknowledged before ``floor_since``, if that is set.

    :raises RequestError: when one of the two is unknown, as no majority of
        targets answered in time.
    """
    session = request.session
    if session.floor_since is not None:
        quorum_position = await group.wait_floor(
            session.floor_since, deadline - time.monotonic()
        )
        if quorum_position is None:
            raise request_errors.build_not_run_error(
                'no majority of targets answers', 'place', group.name
            )
        session.floor = max_position(session.floor, quorum_position)
        session.floor_since = None
    stale_floor = await _find_stale_read_floor(
        context, group, request, deadline
    )
    return max_position(session.floor, stale_floor)


async def _find_stale_read_floor(
    context: FilterContext,
    group: DatabaseGroup,
    request: Request,
    deadline: float,
) -> Position | None:
    """Return the lowest log position that the allowed staleness permits.

    The maximum age of the data is that of the route, or else the one that the
    policy of the manifest sets for all reads. Unless a majority of targets
    answers, the age of the data is unknown. Then a read on a route with a
    maximum age fails, and any other read uses the session's floor.

    :returns: None when the age is unknown and the route sets no maximum age.
    :raises RequestError: when the age is unknown and the route sets one.
    """
    now = time.monotonic()
    route_age_ms = request.route.max_age_ms if request.route else 0
    age_seconds = (
        route_age_ms or _get_default_max_age_ms(context)
    ) / _MILLISECONDS
    quorum_position = group.floors.find_stale_read_floor(now, age_seconds)
    if quorum_position is None:
        wait_seconds = deadline - now if route_age_ms else _RETRY_SECONDS
        quorum_position = await group.wait_floor(
            now - age_seconds, wait_seconds
        )
    if quorum_position is None and route_age_ms:
        raise request_errors.build_not_run_error(
            'the age of the data is unknown', 'place', group.name
        )
    return quorum_position


def _get_default_max_age_ms(context: FilterContext) -> int:
    manifest = context.manifest_holder.current
    return manifest.policy.read_age_ms if manifest else 0


def _choose_candidate(
    context: FilterContext, group: DatabaseGroup, floor: Position
) -> ReadCandidate | None:
    """Return the least loaded target at the floor; the primary comes last."""
    return choose_read_target(_list_candidates(context, group), floor)


def _list_candidates(
    context: FilterContext, group: DatabaseGroup
) -> list[ReadCandidate]:
    now = time.monotonic()
    primary = group.controller.primary
    primary_name = primary.target if primary else ''
    observations = group.controller.observations
    return [
        ReadCandidate(
            target.name,
            observations[target.name],
            context.scheduler.find_load(group.name, target.name),
            target.name == primary_name,
            target.zone == context.zone,
            is_usable=True,
        )
        for target in group.serving
        if target.name in observations and group.is_answering(target.name, now)
    ]
