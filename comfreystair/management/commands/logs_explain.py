"""``comfreystair logs explain``."""

import sys
from typing import Final, TextIO

import click

from comfreystair.management.decision_lines import (
    find_story,
    format_line,
    read_lines,
)
from comfreystair.management.output import (
    EXIT_FAILED,
    json_option,
    print_document,
)

# Longer than any proof lasts.
_SECONDS: Final = 5.0


@click.command('explain')
@click.argument('ident')
@click.argument('files', nargs=-1, required=True, type=click.File())
@click.option(
    '--seconds',
    default=_SECONDS,
    show_default=True,
    help='How long before the request beliefs are shown.',
)
@json_option
def command(
    ident: str, files: tuple[TextIO, ...], seconds: float, is_json: bool
) -> None:
    """Show a request's decisions and the beliefs in force, from logs.

    FILES are the output of any number of instances, - for standard input.
    Exit 1 when no line has the id.
    """
    story = find_story(read_lines(files), ident, seconds)
    if not story:
        click.echo(f'comfreystair: no line has id {ident}', err=True)
        sys.exit(EXIT_FAILED)
    if is_json:
        print_document([line._asdict() for line in story])
        return
    for line in story:
        click.echo(format_line(line))
