"""``comfreystair manifest diff``."""

import click

from comfreystair.management.exceptions import CommandError
from comfreystair.management.files import read_manifest
from comfreystair.management.output import fail, json_option, print_document
from comfreystair.manifest import Difference, diff_manifests


@click.command('diff')
@click.argument('before')
@click.argument('after')
@json_option
def command(before: str, after: str, is_json: bool) -> None:
    """Show what changes from one manifest file to another."""
    try:
        changes = diff_manifests(read_manifest(before), read_manifest(after))
    except CommandError as error:
        fail(str(error))
    print_changes(changes, is_json)


def print_changes(changes: list[Difference], is_json: bool) -> None:
    """Print differences, one a line."""
    if is_json:
        print_document([change._asdict() for change in changes])
        return
    for change in changes:
        click.echo(
            f'{change.change} {change.path}: '
            f'{change.before!r} -> {change.after!r}'
        )
