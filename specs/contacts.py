"""Replacing a primary while a whole availability zone is silent.

One instance of the silent zone goes on using the old primary; an instance of
another zone confirms the primary to it, fetches its proofs or gives it some.
Whoever replaces the primary notifies the other instance only, and promotes once
every contact from before that confirmation has expired. Time passes in steps
between all of these.
"""

import itertools
from collections.abc import Callable
from typing import Final, NamedTuple

from minicheck import Protocol

from comfreystair.controllers.primary_tracking import (
    CONTACT_TTL_SECONDS,
    PrimaryRecord,
    PrimaryTracker,
)
from comfreystair.controllers.store_position import StorePosition

TICK_SECONDS: Final = 0.75
LAST_TICK: Final = 9
NEVER: Final = -9
OLD: Final = PrimaryRecord(
    'old', 1, is_changing=False, position=StorePosition(1, 10)
)
CHANGING: Final = PrimaryRecord(
    'old', 1, is_changing=True, position=StorePosition(1, 11)
)

BuildTracker = Callable[[], PrimaryTracker]
Confirm = Callable[[PrimaryTracker, int, float], bool]


class Instance(NamedTuple):
    """What one instance knows, with times in ticks.

    :param contact_asked_at: when a contact was requested that is under way.
    """

    proved_at: int = NEVER
    contact_at: int = NEVER
    contact_asked_at: int = NEVER
    is_fenced: bool = False


class State(NamedTuple):
    """The whole system.

    :param silent: the instance that the announcement does not reach.
    :param confirmed_at: when the other instance confirmed the announcement.
    :param is_misled: the silent instance used the old primary after the
        promotion of a new one.
    """

    now: int
    silent: Instance
    other: Instance
    is_announced: bool
    confirmed_at: int
    is_promoted: bool
    is_misled: bool


def build_steps(build_tracker: BuildTracker, confirm: Confirm):
    """Return the function that lists every step that a state allows."""

    def restore(instance: Instance) -> PrimaryTracker:
        tracker = build_tracker()
        tracker.update(OLD, instance.proved_at * TICK_SECONDS)
        tracker.record_contact(OLD.position, instance.contact_at * TICK_SECONDS)
        if instance.is_fenced:
            tracker.update(CHANGING, float('-inf'))
            tracker.fence(CHANGING.position)
        return tracker

    def list_steps(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        if state.is_misled:
            return []
        seconds = state.now * TICK_SECONDS
        uses_old = bool(restore(state.silent).find_primary(seconds))
        is_confirmed = confirm(restore(state.other), OLD.position, seconds)
        steps = itertools.chain(
            _pass_time(state),
            _read_store(state),
            _exchange_proofs(state, uses_old, is_confirmed),
            _make_contact(state, is_confirmed),
            _replace_primary(state),
            _use(state, uses_old),
        )
        return [(label, tuple(after)) for label, after in steps]

    return list_steps


def _pass_time(state: State):
    if state.now < LAST_TICK:
        yield 'tick', state._replace(now=state.now + 1)


def _read_store(state: State):
    if state.is_announced:
        return
    for name in ('silent', 'other'):
        instance = getattr(state, name)._replace(proved_at=state.now)
        yield f'read {name}', state._replace(**{name: instance})


def _exchange_proofs(state: State, uses_old: bool, is_confirmed: bool):
    """A proof keeps its age wherever it goes."""
    silent, other = state.silent, state.other
    if is_confirmed and other.proved_at > silent.proved_at:
        taken = silent._replace(proved_at=other.proved_at)
        yield 'take proof', state._replace(silent=taken)
    if uses_old and silent.proved_at > other.proved_at and not other.is_fenced:
        given = other._replace(proved_at=silent.proved_at)
        yield 'give proof', state._replace(other=given)


def _make_contact(state: State, is_confirmed: bool):
    silent = state.silent
    if silent.contact_asked_at != NEVER:
        answered = silent._replace(
            contact_at=max(silent.contact_at, silent.contact_asked_at),
            contact_asked_at=NEVER,
        )
        if is_confirmed:
            yield 'contact', state._replace(silent=answered)
        return
    asked = silent._replace(contact_asked_at=state.now)
    yield 'ask for contact', state._replace(silent=asked)


def _replace_primary(state: State):
    if not state.is_announced:
        yield 'announce', state._replace(is_announced=True)
        return
    if not state.other.is_fenced:
        fenced = state.other._replace(is_fenced=True)
        yield 'confirm', state._replace(other=fenced, confirmed_at=state.now)
        return
    waited = (state.now - state.confirmed_at) * TICK_SECONDS
    if waited > CONTACT_TTL_SECONDS and not state.is_promoted:
        yield 'promote', state._replace(is_promoted=True)


def _use(state: State, uses_old: bool):
    if state.is_promoted and uses_old:
        yield 'use the old primary', state._replace(is_misled=True)


def uses_one_primary(fields: dict) -> bool:
    """Nobody uses the old primary after the promotion."""
    return not fields['is_misled']


def build_careful_tracker() -> PrimaryTracker:
    """Return a tracker of a fleet with several zones."""
    return PrimaryTracker(needs_contact=True)


def build(
    build_tracker: BuildTracker = build_careful_tracker,
    confirm: Confirm = PrimaryTracker.confirms,
) -> Protocol:
    """Build the specification, with the decisions that run by default."""
    start = State(
        now=0,
        silent=Instance(),
        other=Instance(),
        is_announced=False,
        confirmed_at=NEVER,
        is_promoted=False,
        is_misled=False,
    )
    return Protocol(
        name='contacts',
        candidate=False,
        fields=State._fields,
        initial=tuple(start),
        transitions=build_steps(build_tracker, confirm),
        invariants={'uses_one_primary': uses_one_primary},
    )
