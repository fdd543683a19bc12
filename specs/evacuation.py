"""An instance learns of the evacuation of a zone and of its end.

Reads of the store are answered late and in any order: each is sent, sees the
store at a later moment, and arrives later still. Time passes in steps between
all of these. Operators request one evacuation and may take it back.
"""

import itertools
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from minicheck import Protocol

from comfreystair.controllers.places.evacuation import (
    Evacuations,
    ZoneEvacuation,
)
from comfreystair.controllers.store_position import StorePosition

ZONE: Final = 'z'
# With its margin, requests end three ticks after the last proof of absence.
BOUND_TICKS: Final = 3.4
LAST_TICK: Final = 5
LAST_START: Final = 2
MAX_READS: Final = 2
NEVER: Final = 99
FREE: Final = ZoneEvacuation()
REQUESTED: Final = ZoneEvacuation(StorePosition(1, 7), is_requested=True)

BuildEvacuations = Callable[[Iterable[str], float], Evacuations]


class Read(NamedTuple):
    """A read under way.

    :param found: what it saw in the store; nothing while it has not got there.
    """

    asked_at: int
    found: ZoneEvacuation | None = None


class Answer(NamedTuple):
    """An answer that the instance has applied."""

    found: ZoneEvacuation
    asked_at: int
    arrived_at: int


class State(NamedTuple):
    """The whole system.

    :param requested_at: when the operators' request was acknowledged.
    :param is_ended: the operators have taken it back.
    :param answers: those applied, in their order.
    """

    now: int = 0
    requested_at: int = NEVER
    is_ended: bool = False
    reads: tuple[Read, ...] = ()
    answers: tuple[Answer, ...] = ()


def build_steps():
    """Return the function that lists every step that a state allows."""

    def list_steps(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        steps = itertools.chain(
            _pass_time(state), _operate(state), _read(state)
        )
        return [(label, tuple(after)) for label, after in steps]

    return list_steps


def _pass_time(state: State):
    if state.now < LAST_TICK:
        yield 'tick', state._replace(now=state.now + 1)


def _operate(state: State):
    if state.requested_at == NEVER:
        yield 'request', state._replace(requested_at=state.now)
    elif not state.is_ended:
        yield 'end', state._replace(is_ended=True)


def _read(state: State):
    is_requested = state.requested_at != NEVER and not state.is_ended
    present = REQUESTED if is_requested else FREE
    may_ask = len(state.reads) < MAX_READS and state.now <= LAST_START
    if may_ask and len(state.answers) + len(state.reads) < MAX_READS + 1:
        reads = (*state.reads, Read(state.now))
        yield 'ask', state._replace(reads=reads)
    for number, read in enumerate(state.reads):
        others = (*state.reads[:number], *state.reads[number + 1 :])
        if read.found is None:
            seen = (*others, read._replace(found=present))
            yield 'see', state._replace(reads=seen)
        else:
            answer = Answer(read.found, read.asked_at, state.now)
            answers = (*state.answers, answer)
            yield 'answer', state._replace(reads=others, answers=answers)


def build(build_evacuations: BuildEvacuations = Evacuations) -> Protocol:
    """Build the specification, with the decisions that run by default."""

    def restore(fields: dict) -> Evacuations:
        evacuations = build_evacuations([ZONE], BOUND_TICKS)
        for answer in fields['answers']:
            evacuations.update(ZONE, *answer)
        return evacuations

    def stays_evacuated(fields: dict) -> bool:
        """What a read that was sent later has shown stays until its end."""
        is_told = any(
            answer.found == REQUESTED
            and answer.asked_at > fields['requested_at']
            for answer in fields['answers']
        )
        if fields['is_ended'] or not is_told:
            return True
        return restore(fields).is_evacuated(ZONE)

    def keeps_bound(fields: dict) -> bool:
        """Nothing is sent past the bound once the evacuation is known."""
        evacuations = restore(fields)
        is_due = fields['now'] >= fields['requested_at'] + BOUND_TICKS
        if fields['is_ended'] or not is_due:
            return True
        if not evacuations.is_evacuated(ZONE):
            return True
        return not evacuations.may_send(ZONE, fields['now'])

    return Protocol(
        name='evacuation',
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=build_steps(),
        invariants={
            'stays_evacuated': stays_evacuated,
            'keeps_bound': keeps_bound,
        },
    )
