"""``comfreystair manifest check``."""

import sys

import click

from comfreystair.management.exceptions import CommandError
from comfreystair.management.files import read_manifest
from comfreystair.management.output import (
    EXIT_FAILED,
    fail,
    json_option,
    print_findings,
)
from comfreystair.manifest.checks import check_manifest, has_errors


@click.command('check')
@click.argument('path')
@json_option
def command(path: str, is_json: bool) -> None:
    """Check a manifest file; exit 1 when it has errors."""
    try:
        manifest = read_manifest(path)
    except CommandError as error:
        fail(str(error))
    findings = check_manifest(manifest)
    print_findings(findings, is_json)
    if has_errors(findings):
        sys.exit(EXIT_FAILED)
    if not is_json:
        click.echo(f'{path}: {len(findings)} findings, no errors')
