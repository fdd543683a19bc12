"""Reading one's writes at any target, also across a change of primary.

A write of term 1 is acknowledged, then a session without a token connects.
It observes targets, one at a time and at any time later, and reads where the
quorum position says it may. An entry that nobody acknowledged may be lost in
the change of primary.
"""

import itertools
from typing import Final, NamedTuple

from minicheck import Protocol

from comfreystair.controllers.positions import (
    ROLE_REPLICA,
    Observation,
    Position,
    TargetStatus,
    has_reached,
    majority_size,
)
from comfreystair.controllers.quorum_positions import QuorumPositionTracker

TARGETS: Final = 3
WRITE: Final = 1
LOST: Final = 9


class Target(NamedTuple):
    """One target.

    :param log: an entry is its term, or :data:`LOST` for one of term 1 that
        nobody acknowledged.
    :param applied: how many entries reads see.
    """

    log: tuple[int, ...]
    applied: int


class State(NamedTuple):
    """The whole system.

    :param primary: index of the primary.
    :param seen: what the session's daemon observed after it connected.
    :param is_stale: a read missed the acknowledged write.
    """

    targets: tuple[Target, ...]
    primary: int
    term: int
    is_acknowledged: bool
    is_connected: bool
    seen: tuple[Target | None, ...]
    is_stale: bool


def list_steps(values: tuple) -> list[tuple[str, tuple]]:
    """Return every step that a state allows."""
    state = State(*values)
    steps = itertools.chain(
        _write(state),
        _replicate(state),
        _apply(state),
        _acknowledge(state),
        _promote(state),
        _observe(state),
        _read(state),
    )
    return [(label, tuple(after)) for label, after in steps]


def _set_target(state: State, index: int, target: Target) -> State:
    targets = list(state.targets)
    targets[index] = target
    return state._replace(targets=tuple(targets))


def _write(state: State):
    log = state.targets[0].log
    if state.term == 1 and len(log) < TARGETS:
        entry = WRITE if len(log) == 1 else LOST
        longer = (*log, entry)
        yield 'write', _set_target(state, 0, Target(longer, len(longer)))


def _replicate(state: State):
    log = state.targets[state.primary].log
    for index, target in enumerate(state.targets):
        if index == state.primary or target.log == log:
            continue
        common = _count_common(target.log, log)
        received = Target(log[: common + 1], min(target.applied, common))
        yield f'replicate {index}', _set_target(state, index, received)


def _apply(state: State):
    for index, target in enumerate(state.targets):
        if target.applied < len(target.log):
            applied = target._replace(applied=target.applied + 1)
            yield f'apply {index}', _set_target(state, index, applied)


def _acknowledge(state: State):
    holders = [one for one in state.targets if _has_write(one.log)]
    is_safe = len(holders) >= majority_size(TARGETS) and state.term == 1
    if is_safe and not state.is_acknowledged:
        yield 'acknowledge', state._replace(is_acknowledged=True)


def _promote(state: State):
    """Replace the primary, which then is not among the fenced."""
    if state.term > 1:
        return
    logs = {index: state.targets[index].log for index in range(1, TARGETS)}
    chosen = max(logs, key=lambda index: len(logs[index]))
    log = (*logs[chosen], 2)
    after = _set_target(state, chosen, Target(log, len(log)))
    yield 'promote', after._replace(primary=chosen, term=2)


def _observe(state: State):
    if state.is_acknowledged and not state.is_connected:
        yield 'connect', state._replace(is_connected=True)
    if not state.is_connected:
        return
    for index, target in enumerate(state.targets):
        if state.seen[index] != target:
            seen = list(state.seen)
            seen[index] = target
            yield f'observe {index}', state._replace(seen=tuple(seen))


def _read(state: State):
    floor = find_floor(state.seen)
    if floor is None or state.is_stale:
        return
    for index, noted in enumerate(state.seen):
        if noted is None or not has_reached(_find_applied(noted), floor):
            continue
        target = state.targets[index]
        visible = target.log[: target.applied]
        if not _has_write(visible):
            yield f'read {index}', state._replace(is_stale=True)


def find_floor(seen: tuple[Target | None, ...]) -> Position | None:
    """Work out the quorum position with the controller that runs."""
    controller = QuorumPositionTracker()
    observations = {
        str(index): Observation(
            TargetStatus(
                ROLE_REPLICA,
                0,
                0,
                _find_position(target.log),
                _find_applied(target),
            ),
            1,
        )
        for index, target in enumerate(seen)
        if target is not None
    }
    controller.refresh(observations, majority_size(TARGETS))
    return controller.find_read_floor(1)


def _find_applied(target: Target) -> Position:
    return _find_position(target.log[: target.applied])


def _find_position(log: tuple[int, ...]) -> Position:
    return Position(2 if 2 in log else 1, len(log))


def _count_common(ours: tuple[int, ...], theirs: tuple[int, ...]) -> int:
    common = 0
    for one, other in zip(ours, theirs, strict=False):
        if one != other:
            break
        common += 1
    return common


def _has_write(log: tuple[int, ...]) -> bool:
    return log[1:2] == (WRITE,)


def reads_its_write(fields: dict) -> bool:
    """No read misses the write that was acknowledged before it connected."""
    return not fields['is_stale']


def build() -> Protocol:
    """Build the specification."""
    start = State(
        (Target((1,), 1),) * TARGETS,
        primary=0,
        term=1,
        is_acknowledged=False,
        is_connected=False,
        seen=(None,) * TARGETS,
        is_stale=False,
    )
    return Protocol(
        name='reads',
        candidate=False,
        fields=State._fields,
        initial=tuple(start),
        transitions=list_steps,
        invariants={'reads_its_write': reads_its_write},
    )
