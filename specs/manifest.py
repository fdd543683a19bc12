"""Shipping manifests by operators who race, and following them.

Two operators ship over a store whose answers may be lost after the change,
two daemons learn from the store or from each other, in any order. No daemon
goes back, no generation has two contents, and what an operator is told is
true.
"""

import itertools
from typing import Final, NamedTuple

from minicheck import Protocol

from comfreystair.controllers.manifest_generation import (
    ManifestGenerationController,
)
from comfreystair.manifest.chunks import Root

OPERATORS: Final = ('ana', 'leo')
DAEMONS: Final = 2


class Operator(NamedTuple):
    """One operator.

    :param phase: ``idle``, ``read``, ``asked``, ``told done`` or
        ``told conflict``.
    :param expected: generation that was read.
    """

    phase: str = 'idle'
    expected: int = 0


class State(NamedTuple):
    """The whole system.

    :param history: who shipped each generation, from the first on.
    :param applied: generations that each daemon put in force, in order.
    """

    history: tuple[str, ...]
    operators: tuple[Operator, ...]
    applied: tuple[tuple[Root, ...], ...]


def list_steps(values: tuple) -> list[tuple[str, tuple]]:
    """Return every step that a state allows."""
    state = State(*values)
    steps = itertools.chain(_read(state), _ship(state), _resolve(state))
    followed = itertools.chain(_follow(state), _gossip(state))
    return [
        (label, tuple(after))
        for label, after in itertools.chain(steps, followed)
    ]


def _set_operator(state: State, index: int, operator: Operator) -> State:
    operators = list(state.operators)
    operators[index] = operator
    return state._replace(operators=tuple(operators))


def _read(state: State):
    for index, operator in enumerate(state.operators):
        if operator.phase == 'idle':
            reader = Operator('read', len(state.history))
            yield (
                f'{OPERATORS[index]} reads',
                _set_operator(state, index, reader),
            )


def _ship(state: State):
    """Swap the root; the answer arrives or is lost."""
    for index, operator in enumerate(state.operators):
        if operator.phase != 'read':
            continue
        name = OPERATORS[index]
        lost = operator._replace(phase='asked')
        yield f'{name} is not heard', _set_operator(state, index, lost)
        if len(state.history) == operator.expected:
            after = state._replace(history=(*state.history, name))
            done = operator._replace(phase='told done')
            yield f'{name} ships', _set_operator(after, index, done)
            yield f'{name} ships unheard', _set_operator(after, index, lost)
        else:
            refused = operator._replace(phase='told conflict')
            yield f'{name} is refused', _set_operator(state, index, refused)


def _resolve(state: State):
    """Read back after a lost answer, as the command does."""
    for index, operator in enumerate(state.operators):
        if operator.phase != 'asked':
            continue
        name = OPERATORS[index]
        next_root = state.history[operator.expected : operator.expected + 1]
        if next_root == (name,) and len(state.history) == (
            operator.expected + 1
        ):
            phase = 'told done'
        elif next_root == (name,):
            phase = 'told done'
        elif next_root:
            phase = 'told conflict'
        else:
            phase = 'read'
        resolved = operator._replace(phase=phase)
        yield f'{name} reads back', _set_operator(state, index, resolved)


def _follow(state: State):
    for daemon in range(DAEMONS):
        for generation in range(1, len(state.history) + 1):
            root = Root(generation, (state.history[generation - 1],))
            yield from _offer(state, daemon, root, 'store')


def _gossip(state: State):
    for source, sink in itertools.permutations(range(DAEMONS), 2):
        for root in state.applied[source]:
            yield from _offer(state, sink, root, 'peer')


def _offer(state: State, daemon: int, root: Root, source: str):
    """Offer a root to a daemon, new or old."""
    controller = ManifestGenerationController()
    for known in state.applied[daemon]:
        controller.apply(known)
    controller.record_root(root)
    wanted = controller.pending
    if wanted is not None and controller.apply(wanted):
        applied = list(state.applied)
        applied[daemon] = (*applied[daemon], wanted)
        yield (
            f'daemon {daemon} hears {root.generation} from a {source}',
            state._replace(applied=tuple(applied)),
        )


def never_reverts(fields: dict) -> bool:
    """Generations only go up at each daemon."""
    for roots in fields['applied']:
        numbers = [root.generation for root in roots]
        if numbers != sorted(set(numbers)):
            return False
    return True


def has_one_content(fields: dict) -> bool:
    """A generation has the same content everywhere."""
    contents: dict[int, tuple[str, ...]] = {}
    for root in itertools.chain(*fields['applied']):
        if contents.setdefault(root.generation, root.chunks) != root.chunks:
            return False
    return True


def tells_the_truth(fields: dict) -> bool:
    """Told done means shipped, told conflict means not shipped."""
    for index, operator in enumerate(fields['operators']):
        is_shipped = OPERATORS[index] in fields['history']
        if operator.phase == 'told done' and not is_shipped:
            return False
        if operator.phase == 'told conflict' and is_shipped:
            return False
    return True


def build() -> Protocol:
    """Build the specification."""
    start = State(('start',), (Operator(), Operator()), ((), ()))
    return Protocol(
        name='manifest',
        candidate=False,
        fields=State._fields,
        initial=tuple(start),
        transitions=list_steps,
        invariants={
            'never_reverts': never_reverts,
            'has_one_content': has_one_content,
            'tells_the_truth': tells_the_truth,
        },
    )
