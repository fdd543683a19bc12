"""``comfreystair status``."""

import click

from comfreystair.fleet.diagnostics import STATUS_SUBJECT
from comfreystair.management.asking import ask
from comfreystair.management.options import (
    daemon_option,
    secret_option,
    seconds_option,
)
from comfreystair.management.output import (
    json_option,
    print_document,
)


@click.command('status')
@daemon_option
@secret_option
@seconds_option
@json_option
def command(address: str, secret: str, seconds: float, is_json: bool) -> None:
    """Show every daemon and how it sees its databases."""
    answers = ask(address, STATUS_SUBJECT, secret, seconds)
    if is_json:
        print_document(answers)
        return
    for peer, found in answers.items():
        if 'error' in found:
            click.echo(f'{peer:<22} {found["error"]}')
            continue
        click.echo(
            f'{found["instance"]:<16} {found["zone"]:<10} '
            f'generation {found["generation"]} '
            f'callers {found["callers"]} share {found["share"]:.4f}'
        )
        for name, group in found['databases'].items():
            click.echo(
                f'    {name:<20} primary {group["primary"]} '
                f'term {group["term"]}'
            )
