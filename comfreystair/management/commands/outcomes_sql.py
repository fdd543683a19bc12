"""``comfreystair outcomes sql``."""

import click

from comfreystair.filters.idempotency import OUTCOMES_TABLE_SQL


@click.command('sql')
def command() -> None:
    """Print the statement that makes the table for idempotency keys."""
    click.echo(f'{OUTCOMES_TABLE_SQL};')
