"""Replacing a primary, and acknowledging writes meanwhile.

Three targets, one write under term 1, two promoters at terms 2 and 3. Each
target is fenced, replicates and is promoted in steps of its own, in any order;
a promotion may arrive late or twice, or never. A target that was fenced may
still follow the primary of the term that it promised.
"""

import itertools
from collections.abc import Callable
from typing import Final, NamedTuple

from minicheck import Protocol

from comfreystair.controllers.acknowledgements import evaluate_commit
from comfreystair.controllers.failover_attempt import choose_successor
from comfreystair.controllers.positions import (
    ROLE_PRIMARY,
    ROLE_REPLICA,
    Position,
    TargetStatus,
    majority_size,
)

TARGETS: Final = 3
TERMS: Final = (2, 3)
WRITE: Final = Position(1, 2)

Choose = Callable[[dict, int, frozenset], str]
Judge = Callable[[Position, list, int], str]
Steps = Callable[[tuple], list]


class Target(NamedTuple):
    """One target.

    :param log: the term of each entry.
    """

    promised: int
    is_primary: bool
    term: int
    log: tuple[int, ...]


BLANK: Final = Target(1, is_primary=False, term=1, log=(1,))
HOLDING: Final = Target(1, is_primary=False, term=1, log=(1, 1))
PASSED: Final = Target(2, is_primary=False, term=1, log=(1,))


class Promoter(NamedTuple):
    """One promoter.

    :param granted: logs of the targets at the time they promised, by index.
    :param chosen: index of the target to promote.
    """

    granted: tuple[tuple[int, tuple[int, ...]], ...] = ()
    chosen: int | None = None


class State(NamedTuple):
    """The whole system.

    :param seen: what the acknowledging daemon last saw of each target, which
        may be long past.
    :param is_acknowledged: the write was acknowledged.
    :param promoted: pairs of term and target that ever became primary.
    """

    targets: tuple[Target, ...]
    promoters: tuple[Promoter, ...]
    seen: tuple[Target, ...]
    is_acknowledged: bool
    promoted: frozenset


def describe(target: Target) -> TargetStatus:
    """Build the status that a target would answer with."""
    end = Position(target.log[-1], len(target.log))
    role = ROLE_PRIMARY if target.is_primary else ROLE_REPLICA
    return TargetStatus(role, target.term, target.promised, end, end)


def build_steps(choose: Choose, judge: Judge) -> Steps:
    """Return the function that lists every step that a state allows."""

    def list_steps(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        steps = itertools.chain(
            _write(state),
            _replicate(state),
            _observe(state),
            _acknowledge(state, judge),
            _fence(state),
            _choose(state, choose),
            _promote(state),
        )
        return [(label, tuple(after)) for label, after in steps]

    return list_steps


def _replace(state: State, index: int, target: Target) -> State:
    targets = list(state.targets)
    targets[index] = target
    return state._replace(targets=tuple(targets))


def _write(state: State):
    primary = state.targets[0]
    is_able = primary.is_primary and primary.term == primary.promised == 1
    if is_able and len(primary.log) < WRITE.offset:
        written = primary._replace(log=(*primary.log, 1))
        yield 'write', _replace(state, 0, written)


def _replicate(state: State):
    for source, sink in itertools.permutations(range(TARGETS), 2):
        primary = state.targets[source]
        replica = state.targets[sink]
        may_follow = replica.promised <= primary.term
        is_same = replica.log == primary.log and replica.term == primary.term
        passed = replica.is_primary and replica.term >= primary.term
        if primary.is_primary and may_follow and not is_same and not passed:
            follower = Target(primary.term, False, primary.term, primary.log)
            yield f'replicate {source} {sink}', _replace(state, sink, follower)


def _observe(state: State):
    if state.is_acknowledged:
        return
    for index, target in enumerate(state.targets):
        noted = _reduce(target)
        if state.seen[index] != noted:
            seen = list(state.seen)
            seen[index] = noted
            yield f'observe {index}', state._replace(seen=tuple(seen))


def _reduce(target: Target) -> Target:
    """Keep only what the acknowledgement looks at."""
    if target.promised > WRITE.term:
        return PASSED
    return HOLDING if len(target.log) >= WRITE.offset else BLANK


def _acknowledge(state: State, judge: Judge):
    if state.is_acknowledged:
        return
    statuses = [describe(target) for target in state.seen]
    if judge(WRITE, statuses, majority_size(TARGETS)) == 'safe':
        forgotten = (BLANK,) * TARGETS
        yield (
            'acknowledge',
            state._replace(is_acknowledged=True, seen=forgotten),
        )


def _fence(state: State):
    for number, term in enumerate(TERMS):
        promoter = state.promoters[number]
        if promoter.chosen is not None:
            continue
        for index, target in enumerate(state.targets):
            if target.promised < term:
                fenced = target._replace(promised=term, is_primary=False)
                granted = (*promoter.granted, (index, target.log))
                after = _replace(state, index, fenced)
                yield (
                    f'fence {term} {index}',
                    _set_promoter(after, number, Promoter(granted)),
                )


def _choose(state: State, choose: Choose):
    for number, promoter in enumerate(state.promoters):
        is_ready = len(promoter.granted) >= majority_size(TARGETS)
        if promoter.chosen is None and is_ready:
            logs = {
                str(index): describe(Target(0, False, 0, log))
                for index, log in promoter.granted
            }
            chosen = int(choose(logs, TARGETS, frozenset()))
            yield (
                f'choose {TERMS[number]}',
                _set_promoter(state, number, promoter._replace(chosen=chosen)),
            )


def _promote(state: State):
    for number, term in enumerate(TERMS):
        chosen = state.promoters[number].chosen
        if chosen is None:
            continue
        target = state.targets[chosen]
        is_done = target.is_primary and target.term == term
        if target.promised == term and not is_done and target.term < term:
            primary = Target(term, True, term, (*target.log, term))
            after = _replace(state, chosen, primary)
            promoted = state.promoted | {(term, chosen)}
            yield f'promote {term}', after._replace(promoted=promoted)


def _set_promoter(state: State, number: int, promoter: Promoter) -> State:
    promoters = list(state.promoters)
    promoters[number] = promoter
    return state._replace(promoters=tuple(promoters))


def keeps_acknowledged(fields: dict) -> bool:
    """Every later primary holds an acknowledged write."""
    if not fields['is_acknowledged']:
        return True
    return all(
        target.log[:2] == (1, 1)
        for target in fields['targets']
        if target.is_primary
    )


def has_one_primary_a_term(fields: dict) -> bool:
    """No term ever has two primaries."""
    terms = [term for term, _target in fields['promoted']]
    return len(terms) == len(set(terms))


def build(
    choose: Choose = choose_successor, judge: Judge = evaluate_commit
) -> Protocol:
    """Build the specification, with the decisions that run by default."""
    replica = Target(1, False, 1, (1,))
    start = State(
        (Target(1, True, 1, (1,)), replica, replica),
        (Promoter(), Promoter()),
        seen=(BLANK,) * TARGETS,
        is_acknowledged=False,
        promoted=frozenset(),
    )
    return Protocol(
        name='failover',
        candidate=False,
        fields=State._fields,
        initial=tuple(start),
        transitions=build_steps(choose, judge),
        invariants={
            'keeps_acknowledged': keeps_acknowledged,
            'has_one_primary_a_term': has_one_primary_a_term,
        },
    )
