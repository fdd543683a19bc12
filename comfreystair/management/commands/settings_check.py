"""``comfreystair settings check``."""

import sys

import click

from comfreystair.conf import SettingsError, check_settings, load_settings
from comfreystair.conf.checks import LEVEL_ERROR, Finding
from comfreystair.conf.entry import check_entry_settings, load_entry_settings
from comfreystair.management.output import (
    EXIT_FAILED,
    fail,
    json_option,
    print_findings,
)


@click.command('check')
@click.argument('path')
@click.option(
    '--entry',
    'is_entry',
    is_flag=True,
    help='The file is of an entry instance on the platform.',
)
@json_option
def command(path: str, is_entry: bool, is_json: bool) -> None:
    """Check a settings file; exit 1 when it has errors."""
    try:
        findings = _find(path, is_entry)
    except SettingsError as error:
        fail(str(error))
    print_findings(findings, is_json)
    if any(found.level == LEVEL_ERROR for found in findings):
        sys.exit(EXIT_FAILED)
    if not is_json:
        click.echo(f'{path}: {len(findings)} findings, no errors')


def _find(path: str, is_entry: bool) -> list[Finding]:
    if is_entry:
        return check_entry_settings(load_entry_settings(path))
    return check_settings(load_settings(path))
