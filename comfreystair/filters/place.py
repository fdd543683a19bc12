"""Choose the target: the primary for writes, a fresh replica for reads."""

import time
from typing import Final

import curio

from comfreystair.controllers.floors import merge_floors
from comfreystair.controllers.placement import Candidate, choose_read_target
from comfreystair.controllers.positions import Position
from comfreystair.filters import request_errors
from comfreystair.filters.context import FilterContext
from comfreystair.filters.exceptions import TargetUnavailableError
from comfreystair.filters.request import Handler, Request
from comfreystair.filters.session import SelectedTarget
from comfreystair.targets.connection import Answer
from comfreystair.targets.exceptions import (
    PoolClosedError,
    TargetConnectError,
)
from comfreystair.targets.groups import DatabaseGroup

_PAUSE_SECONDS: Final = 0.02
_MILLISECONDS: Final = 1000.0


def build(parts: FilterContext, next_handler: Handler) -> Handler:
    """Build the filter."""

    async def handle(request: Request) -> Answer:
        pinned = request.session.pinned_transaction
        if pinned is not None:
            request.selected_target = pinned.selected_target
            return await next_handler(request)
        group = parts.groups.get(request.session.database)
        if group is None:
            raise request_errors.build_not_run_error(
                'no such database', 'place'
            )
        deadline = time.monotonic() + parts.settings.place_seconds
        while True:
            await _place(parts, group, request, deadline)
            try:
                return await next_handler(request)
            except (
                TargetUnavailableError,
                TargetConnectError,
                PoolClosedError,
            ) as error:
                await _retry(parts, group, request, error, deadline)

    return handle


async def _retry(
    parts: FilterContext,
    group: DatabaseGroup,
    request: Request,
    error: Exception,
    deadline: float,
) -> None:
    """Let another target be chosen; nothing ran at the last one."""
    parts.metrics.count('placed_again')
    request.trace.note('place', f'again: {error}')
    now = time.monotonic()
    if now >= deadline:
        raise request_errors.build_not_run_error(
            str(error), 'place', group.name
        )
    await curio.sleep(min(_PAUSE_SECONDS, deadline - now))


async def _place(
    parts: FilterContext,
    group: DatabaseGroup,
    request: Request,
    deadline: float,
) -> None:
    if _runs_as_read(parts, request):
        placement = await _place_read(parts, group, request, deadline)
    else:
        placement = await _place_write(group, deadline)
    request.trace.note('place', placement.target)
    request.selected_target = placement


def _runs_as_read(parts: FilterContext, request: Request) -> bool:
    is_known_write = any(
        text in parts.known_writes for text in request.texts[:1]
    )
    return request.is_read and not is_known_write


async def _place_write(group: DatabaseGroup, deadline: float) -> SelectedTarget:
    primary = await group.wait_primary(deadline - time.monotonic())
    if primary is None or primary.target not in group.pools:
        raise request_errors.build_not_run_error(
            'no primary', 'place', group.name
        )
    pool = group.pools[primary.target]
    return SelectedTarget(primary.target, pool, primary.term)


async def _place_read(
    parts: FilterContext,
    group: DatabaseGroup,
    request: Request,
    deadline: float,
) -> SelectedTarget:
    floor = await _find_floor(parts, group, request, deadline)
    chosen = _choose(parts, group, floor)
    if chosen is None or chosen.is_primary:
        chosen = await _wait_for_replica(parts, group, floor)
    if chosen is None:
        await group.wait_change(
            lambda: _choose(parts, group, floor) is not None,
            deadline - time.monotonic(),
        )
        chosen = _choose(parts, group, floor)
    if chosen is None:
        raise request_errors.build_not_run_error(
            'no target has what the read must see', 'place', group.name
        )
    parts.metrics.count(
        'reads.primary' if chosen.is_primary else 'reads.replica'
    )
    return SelectedTarget(chosen.name, group.pools[chosen.name], 0)


async def _wait_for_replica(
    parts: FilterContext, group: DatabaseGroup, floor: Position
) -> Candidate | None:
    """Give a replica a moment to catch up before the primary is asked."""

    def has_replica() -> bool:
        found = _choose(parts, group, floor)
        return found is not None and not found.is_primary

    await group.wait_change(has_replica, parts.settings.replica_seconds)
    return _choose(parts, group, floor)


async def _find_floor(
    parts: FilterContext,
    group: DatabaseGroup,
    request: Request,
    deadline: float,
) -> Position:
    session = request.session
    if session.floor_since is not None:
        found = await group.wait_floor(
            session.floor_since, deadline - time.monotonic()
        )
        if found is None:
            raise request_errors.build_not_run_error(
                'no majority of targets answers', 'place', group.name
            )
        session.floor = merge_floors(session.floor, found)
        session.floor_since = None
    aged = await _find_aged_floor(parts, group, request, deadline)
    return merge_floors(session.floor, aged)


async def _find_aged_floor(
    parts: FilterContext,
    group: DatabaseGroup,
    request: Request,
    deadline: float,
) -> Position | None:
    """Return the floor of the stated age, or of the age for all reads.

    Where no majority answers, the age can't be known. A read that states one
    is refused then; another goes on at the session's floor.
    """
    now = time.monotonic()
    stated = request.route.max_age_ms if request.route else 0
    age = (stated or _find_read_age(parts)) / _MILLISECONDS
    found = group.floors.find_aged(now, age)
    if found is None:
        seconds = deadline - now if stated else _PAUSE_SECONDS
        found = await group.wait_floor(now - age, seconds)
    if found is None and stated:
        raise request_errors.build_not_run_error(
            'the age of the data is not known', 'place', group.name
        )
    return found


def _find_read_age(parts: FilterContext) -> int:
    manifest = parts.manifest_holder.current
    return manifest.policy.read_age_ms if manifest else 0


def _choose(
    parts: FilterContext, group: DatabaseGroup, floor: Position
) -> Candidate | None:
    return choose_read_target(_list_candidates(parts, group), floor)


def _list_candidates(
    parts: FilterContext, group: DatabaseGroup
) -> list[Candidate]:
    now = time.monotonic()
    primary = group.controller.primary
    primary_name = primary.target if primary else ''
    observations = group.controller.observations
    return [
        Candidate(
            target.name,
            observations[target.name],
            parts.scheduler.find_load(group.name, target.name),
            target.name == primary_name,
            target.zone == parts.zone,
            is_usable=True,
        )
        for target in group.serving
        if target.name in observations and group.is_answering(target.name, now)
    ]
