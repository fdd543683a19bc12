"""Read the decision lines that instances write."""

import shlex
from collections.abc import Iterable
from typing import Final, NamedTuple, TextIO

# Events that change what an instance believes.
BELIEFS: Final = frozenset(
    (
        'change_announced',
        'change_done',
        'change_promoted',
        'change_stopped',
        'change_stopped_all',
        'entry_left_out',
        'keeper_lapsed',
        'keeper_taken',
        'leadership',
        'losses_settled',
        'plan_in_force',
        'promotion_unproved',
        'proofs_lost',
        'proofs_regained',
        'start',
        'stop',
        'stopped',
        'target',
        'target_gone',
        'target_lost',
    )
)


class DecisionLine(NamedTuple):
    """One line.

    :param at: seconds since the boot of the machine that wrote it.
    """

    at: float
    instance: str
    event: str
    fields: dict[str, str]


def read_lines(streams: Iterable[TextIO]) -> list[DecisionLine]:
    """Return the decision lines of some files, without what is none."""
    parsed = (_parse(line) for stream in streams for line in stream)
    return [line for line in parsed if line is not None]


def find_story(
    lines: Iterable[DecisionLine], ident: str, seconds: float
) -> list[DecisionLine]:
    """Return a request's lines with the beliefs that came before them.

    :param seconds: how long before the request's own lines.
    """
    listed = list(lines)
    own = [line for line in listed if line.fields.get('id') == ident]
    return [
        line
        for line in listed
        if line in own or _is_background(line, own, seconds)
    ]


def format_line(line: DecisionLine) -> str:
    """Return a line for people."""
    pairs = ' '.join(f'{name}={text}' for name, text in line.fields.items())
    return f'{line.instance} {line.at:.3f} {line.event} {pairs}'


def _is_background(
    line: DecisionLine, own: list[DecisionLine], seconds: float
) -> bool:
    return line.event in BELIEFS and any(
        line.instance == one.instance and 0 <= one.at - line.at <= seconds
        for one in own
    )


def _parse(line: str) -> DecisionLine | None:
    start = line.find('at=')
    if start < 0:
        return None
    try:
        words = shlex.split(line[start:])
        pairs = dict(word.split('=', 1) for word in words)
        at = float(pairs.pop('at'))
        return DecisionLine(
            at, pairs.pop('instance'), pairs.pop('event'), pairs
        )
    except (ValueError, KeyError):
        return None
