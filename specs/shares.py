"""Splitting the fleet's limits in epochs.

Daemons A and B hold shares, C joins and B may die. Either A or C coordinates,
with what it has heard; anybody may be slow to learn or to hear. Shares in use
must never add up to more than one.
"""

import itertools
from typing import Final, NamedTuple

from minicheck import Protocol

from comfreystair.controllers.limit_shares import Epoch, LimitShareController

NAMES: Final = ('A', 'B', 'C')
COORDINATORS: Final = (0, 2)
MAX_EPOCH: Final = 3
EPSILON: Final = 0.000001

Units = tuple[tuple[str, int], ...]


class Record(NamedTuple):
    """An epoch in a form that can be hashed."""

    number: int
    units: Units
    previous: Units
    is_settled: bool


class State(NamedTuple):
    """The whole system.

    :param known: the record that each daemon has learned.
    :param heard: for each coordinator, the epoch it heard each daemon use.
    :param is_alive: for each daemon.
    :param is_proved: for each coordinator, whether it knows that B is dead.
    """

    store: Record
    known: tuple[Record, ...]
    heard: tuple[tuple[int, ...], ...]
    is_alive: tuple[bool, ...]
    is_proved: tuple[bool, ...]


def list_steps(values: tuple) -> list[tuple[str, tuple]]:
    """Return every step that a state allows."""
    state = State(*values)
    steps = itertools.chain(
        _learn(state), _hear(state), _live(state), _prove(state), _write(state)
    )
    return [(label, tuple(after)) for label, after in steps]


def _change(items: tuple, index: int, item: object) -> tuple:
    changed = list(items)
    changed[index] = item
    return tuple(changed)


def _learn(state: State):
    for index, name in enumerate(NAMES):
        if state.is_alive[index] and state.known[index] != state.store:
            known = _change(state.known, index, state.store)
            yield f'{name} learns', state._replace(known=known)


def _hear(state: State):
    for place, coordinator in enumerate(COORDINATORS):
        for index, name in enumerate(NAMES):
            number = state.known[index].number
            if not state.is_alive[index] or not state.is_alive[coordinator]:
                continue
            if state.heard[place][index] < number:
                row = _change(state.heard[place], index, number)
                yield (
                    f'{NAMES[coordinator]} hears {name}',
                    state._replace(heard=_change(state.heard, place, row)),
                )


def _live(state: State):
    if not state.is_alive[2]:
        yield (
            'C starts',
            state._replace(is_alive=_change(state.is_alive, 2, True)),
        )
    if state.is_alive[1]:
        yield (
            'B dies',
            state._replace(is_alive=_change(state.is_alive, 1, False)),
        )


def _prove(state: State):
    for place, coordinator in enumerate(COORDINATORS):
        is_able = state.is_alive[coordinator] and not state.is_alive[1]
        if is_able and not state.is_proved[place]:
            yield (
                f'{NAMES[coordinator]} proves B dead',
                state._replace(is_proved=_change(state.is_proved, place, True)),
            )


def _write(state: State):
    for place, coordinator in enumerate(COORDINATORS):
        has_read = state.known[coordinator] == state.store
        if not state.is_alive[coordinator] or not has_read:
            continue
        controller = _build_controller(state, coordinator, state.store)
        for index, name in enumerate(NAMES):
            controller.record_epoch_in_use(name, state.heard[place][index])
        if state.is_proved[place]:
            controller.record_terminated('B')
        live = [
            name for index, name in enumerate(NAMES) if state.is_alive[index]
        ]
        planned = controller.plan_next_epoch(live)
        if planned is not None and planned.number <= MAX_EPOCH:
            yield (
                f'{NAMES[coordinator]} writes',
                state._replace(
                    store=_freeze(planned),
                    known=_change(state.known, coordinator, _freeze(planned)),
                ),
            )


def _build_controller(
    state: State, index: int, record: Record
) -> LimitShareController:
    controller = LimitShareController(NAMES[index])
    controller.update(
        Epoch(
            record.number,
            dict(record.units),
            dict(record.previous),
            record.is_settled,
        )
    )
    return controller


def _freeze(epoch: Epoch) -> Record:
    return Record(
        epoch.number,
        tuple(sorted(epoch.units.items())),
        tuple(sorted(epoch.previous.items())),
        epoch.is_settled,
    )


def stays_within_one(fields: dict) -> bool:
    """Shares in use add up to one at most."""
    state = State(**fields)
    total = sum(
        _build_controller(state, index, state.known[index]).share
        for index in range(len(NAMES))
        if state.is_alive[index]
    )
    return total <= 1 + EPSILON


def build() -> Protocol:
    """Build the specification."""
    half = 536870912
    first = Record(1, (('A', half), ('B', half)), (), is_settled=True)
    nothing = Record(0, (), (), is_settled=True)
    start = State(
        first,
        (first, first, nothing),
        ((0, 0, 0), (0, 0, 0)),
        (True, True, False),
        (False, False),
    )
    return Protocol(
        name='shares',
        candidate=False,
        fields=State._fields,
        initial=tuple(start),
        transitions=list_steps,
        invariants={'stays_within_one': stays_within_one},
    )
