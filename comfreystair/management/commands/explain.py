"""``comfreystair explain``."""

import sys

import click

from comfreystair.fleet.diagnostics import TRACE_SUBJECT_PREFIX
from comfreystair.management.asking import ask
from comfreystair.management.options import (
    daemon_option,
    secret_option,
    seconds_option,
)
from comfreystair.management.output import (
    EXIT_FAILED,
    json_option,
    print_document,
)


@click.command('explain')
@click.argument('trace')
@daemon_option
@secret_option
@seconds_option
@json_option
def command(
    trace: str, address: str, secret: str, seconds: float, is_json: bool
) -> None:
    """Show why a request went where it did, by its trace id.

    The id stands in error messages, and ``SHOW comfreystair.trace`` tells it
    for the last request of a session. Exit 1 when no daemon knows it.
    """
    answers = ask(address, f'{TRACE_SUBJECT_PREFIX}{trace}', secret, seconds)
    found = {
        peer: answer
        for peer, answer in answers.items()
        if answer and 'error' not in answer
    }
    if not found:
        click.echo(f'comfreystair: no daemon keeps trace {trace}', err=True)
        sys.exit(EXIT_FAILED)
    if is_json:
        print_document(found)
        return
    for address_found, answer in found.items():
        click.echo(f'trace {trace} at {address_found}')
        for note in answer['decisions']:
            click.echo(f'    {note["step"]:<14} {note["text"]}')
        for span in answer['spans']:
            click.echo(f'    span {span["name"]:<14} {span["seconds"]:.6f} s')
