"""``comfreystair manifest status``."""

import sys

import click

from comfreystair.fleet.diagnostics import STATUS_SUBJECT
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


@click.command('status')
@daemon_option
@secret_option
@seconds_option
@json_option
def command(address: str, secret: str, seconds: float, is_json: bool) -> None:
    """Show which instance has which generation; exit 1 when they differ."""
    answers = ask(address, STATUS_SUBJECT, secret, seconds)
    rows = [_build_row(peer, found) for peer, found in answers.items()]
    if is_json:
        print_document(rows)
    else:
        for row in rows:
            click.echo(f'{row["instance"]:<16} generation {row["generation"]}')
    if len({row['generation'] for row in rows}) > 1:
        sys.exit(EXIT_FAILED)


def _build_row(peer: str, found) -> dict[str, object]:
    return {
        'instance': found.get('instance', peer),
        'generation': found.get('generation'),
        'confirmed_age_seconds': found.get('confirmed_age_seconds'),
    }
