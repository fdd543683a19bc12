"""Draw a series of faults from a seed; faults may overlap."""

import random
from typing import Final, NamedTuple

from standins.platform.deployment import TARGETS

# A fault lasts between these, in seconds: shorter and longer than proofs and
# leases live.
_SHORTEST: Final = 0.3
_LONGEST: Final = 4.0
# Pause between the starts of two faults at most, in seconds.
_MOST_PAUSE: Final = 1.5
_DELAY_MILLISECONDS: Final = (20, 400)
# Shares of faults on links, and of those on links and instances.
_LINK_SHARE: Final = 0.45
_INSTANCE_SHARE: Final = 0.85
LINK_MODES: Final = ('cut', 'freeze', 'reset', 'delay')
SIGNALS: Final = ('kill', 'pause', 'terminate')


class Fault(NamedTuple):
    """One fault.

    :param at: seconds from the start.
    :param kind: a mode of a link, or what happens to a process or target.
    :param subject: name of the link, number of the instance, or target.
    """

    at: float
    kind: str
    subject: str
    seconds: float
    milliseconds: int = 0


def draw_faults(seed: int, seconds: float, instances: int) -> tuple[Fault, ...]:
    """Return the faults of a run, in order."""
    draw = random.Random(seed)
    links = [*TARGETS, *(f'store-{number}' for number in range(instances))]
    faults: list[Fault] = []
    at = draw.uniform(0, _MOST_PAUSE)
    while at < seconds:
        lasting = draw.uniform(_SHORTEST, _LONGEST)
        sort = draw.random()
        if sort < _LINK_SHARE:
            fault = Fault(
                at,
                draw.choice(LINK_MODES),
                draw.choice(links),
                lasting,
                draw.randint(*_DELAY_MILLISECONDS),
            )
        elif sort < _INSTANCE_SHARE:
            number = str(draw.randrange(instances))
            fault = Fault(at, draw.choice(SIGNALS), number, lasting)
        else:
            fault = Fault(at, 'crash', draw.choice(TARGETS), lasting)
        faults.append(fault)
        at += draw.uniform(0, _MOST_PAUSE)
    return tuple(faults)
