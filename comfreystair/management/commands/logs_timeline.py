"""``comfreystair logs timeline``."""

from typing import TextIO

import click

from comfreystair.management.decision_lines import (
    BELIEFS,
    format_line,
    read_lines,
)
from comfreystair.management.output import json_option, print_document


@click.command('timeline')
@click.argument('files', nargs=-1, required=True, type=click.File())
@json_option
def command(files: tuple[TextIO, ...], is_json: bool) -> None:
    """Show changes of belief of some instances, from logs.

    Times count from each machine's boot, so lines of different instances are
    in the order of their files.
    """
    lines = [line for line in read_lines(files) if line.event in BELIEFS]
    if is_json:
        print_document([line._asdict() for line in lines])
        return
    for line in lines:
        click.echo(format_line(line))
