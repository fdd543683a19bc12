"""Promotions in a group whose commits one replica must have received.

A primary and two replicas, of which each may be deaf, too busy to report, down,
back with its log or back without it, in any order and both at once. The
primary crashes, and may come back and be demoted. A target is promoted once
its log is proved to hold all acknowledged commits.
"""

import itertools
from collections.abc import Callable, Collection
from typing import Final, NamedTuple

from minicheck import Protocol

from comfreystair.controllers.positions import Position
from comfreystair.controllers.primary_failover import (
    ReplicationStatus,
    choose_durable_successor,
)
from comfreystair.controllers.replica_logs import (
    find_durable_end,
    hold_position,
)

REPLICAS: Final = 2
SYNC_REPLICAS: Final = 1
COMMITS: Final = 2
PRIMARY: Final = 'primary'

FindEnd = Callable[
    [Collection[Position], int, Position | None, int], Position | None
]
Hold = Callable[[Collection[Position], Position, int], bool]


class Replica(NamedTuple):
    """One replica.

    :param end: number of commits in its log.
    :param mode: ``up``, ``deaf``, ``busy`` or ``down``.
    :param is_lost: it lost its log, and the others may lack commits.
    :param is_forgotten: it is down and counts as a member no more.
    """

    end: int = 0
    mode: str = 'up'
    is_lost: bool = False
    is_forgotten: bool = False


class State(NamedTuple):
    """The whole group.

    :param end: number of commits in the primary's log.
    :param primary: ``up``, ``down`` or ``demoted``.
    :param acknowledged: number of commits that were acknowledged.
    :param promoted: number of commits in the log of the promoted target.
    """

    end: int
    primary: str
    replicas: tuple[Replica, ...]
    acknowledged: int
    promoted: int | None


def build_steps(find_end: FindEnd, hold: Hold):
    """Return the function that lists every step that a state allows."""

    def list_steps(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        if state.promoted is not None:
            return []
        steps = itertools.chain(
            _run_primary(state),
            _receive(state),
            _change_mode(state),
            _settle(state, hold),
            _promote(state, find_end),
        )
        return [(label, tuple(after)) for label, after in steps]

    return list_steps


def _run_primary(state: State):
    if state.primary == 'up':
        if state.end < COMMITS:
            yield 'write', state._replace(end=state.end + 1)
        yield 'crash', state._replace(primary='down')
        yield 'demote', state._replace(primary='demoted')
    if state.primary == 'down':
        yield 'return', state._replace(primary='demoted')


def _receive(state: State):
    """A replica receives the log, which acknowledges its commits."""
    for index, replica in enumerate(state.replicas):
        is_receiving = replica.mode in {'up', 'busy'}
        if state.primary == 'up' and is_receiving and replica.end < state.end:
            after = _replace(state, index, replica._replace(end=state.end))
            yield f'receive {index}', after._replace(acknowledged=state.end)


def _change_mode(state: State):
    for index, replica in enumerate(state.replicas):
        if replica.mode == 'down':
            back = replica._replace(mode='up', is_forgotten=False)
            yield f'return {index}', _replace(state, index, back)
            empty = back._replace(end=0, is_lost=True)
            yield f'return empty {index}', _replace(state, index, empty)
            continue
        for mode in {'up', 'deaf', 'busy', 'down'} - {replica.mode}:
            changed = replica._replace(mode=mode)
            yield f'{mode} {index}', _replace(state, index, changed)


def _settle(state: State, hold: Hold):
    """Forget losses when another replica has all that the primary has."""
    received = [
        _position(one.end)
        for one in state.replicas
        if one.mode in {'up', 'deaf'}
    ]
    if state.primary != 'up' or not hold(
        received, _position(state.end), SYNC_REPLICAS
    ):
        return
    settled = tuple(
        one._replace(is_lost=False, is_forgotten=one.mode == 'down')
        for one in state.replicas
    )
    if settled != state.replicas:
        yield 'settle', state._replace(replicas=settled)


def _promote(state: State, find_end: FindEnd):
    if state.primary == 'up':
        return
    heard = {
        index: one
        for index, one in enumerate(state.replicas)
        if one.mode in {'up', 'deaf'}
    }
    unheard = sum(
        not one.is_forgotten and (index not in heard or one.is_lost)
        for index, one in enumerate(state.replicas)
    )
    log_end = _position(state.end) if state.primary == 'demoted' else None
    durable_end = find_end(
        [_position(one.end) for one in heard.values()],
        unheard,
        log_end,
        SYNC_REPLICAS,
    )
    if durable_end is None:
        return
    statuses = [_report(str(index), one.end) for index, one in heard.items()]
    if log_end is not None:
        statuses.append(_report(PRIMARY, state.end))
    for refused in (set(), {PRIMARY}):
        chosen = choose_durable_successor(
            statuses, PRIMARY, refused, durable_end
        )
        if chosen is not None:
            yield (
                f'promote {chosen.ident}',
                state._replace(promoted=chosen.received.offset),
            )


def _report(ident: str, end: int) -> ReplicationStatus:
    return ReplicationStatus(ident, False, 1, _position(end), False)


def _position(end: int) -> Position:
    return Position(1, end)


def _replace(state: State, index: int, replica: Replica) -> State:
    replicas = list(state.replicas)
    replicas[index] = replica
    return state._replace(replicas=tuple(replicas))


def keeps_acknowledged(fields: dict) -> bool:
    """The promoted target holds every acknowledged commit."""
    promoted = fields['promoted']
    return promoted is None or promoted >= fields['acknowledged']


def build(
    find_end: FindEnd = find_durable_end, hold: Hold = hold_position
) -> Protocol:
    """Build the specification, with the decisions that run by default."""
    start = State(0, 'up', (Replica(),) * REPLICAS, 0, None)
    return Protocol(
        name='sync replicas',
        candidate=False,
        fields=State._fields,
        initial=tuple(start),
        transitions=build_steps(find_end, hold),
        invariants={'keeps_acknowledged': keeps_acknowledged},
    )
