"""Print answers for people or as JSON, and end with documented codes."""

import sys
from collections.abc import Iterable
from typing import Final, NoReturn

import click
import msgspec

from comfreystair.conf.checks import Finding

EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2
EXIT_CONFLICT: Final = 3
EXIT_UNAVAILABLE: Final = 4

json_option = click.option(
    '--json', 'is_json', is_flag=True, help='Print one JSON document.'
)


def fail(message: str, code: int = EXIT_USAGE) -> NoReturn:
    """Print one line and end."""
    click.echo(f'comfreystair: {message}', err=True)
    sys.exit(code)


def print_document(document: object) -> None:
    """Print a value as JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(document)).decode())


def print_findings(findings: Iterable[Finding], is_json: bool) -> None:
    """Print findings, one a line."""
    if is_json:
        print_document([found._asdict() for found in findings])
        return
    for found in findings:
        click.echo(
            f'{found.ident} {found.level}: {found.message} ({found.hint})'
        )
