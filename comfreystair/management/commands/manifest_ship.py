"""``comfreystair manifest ship``."""

import getpass
import sys

import click
import curio
from result import Err

from comfreystair.dialing import build_dialer
from comfreystair.management.commands.manifest_diff import print_changes
from comfreystair.management.exceptions import CommandError
from comfreystair.management.files import read_manifest
from comfreystair.management.options import seconds_option, store_options
from comfreystair.management.output import (
    EXIT_CONFLICT,
    EXIT_FAILED,
    EXIT_UNAVAILABLE,
    fail,
    json_option,
    print_document,
    print_findings,
)
from comfreystair.management.shipping import Conflict, ship_manifest
from comfreystair.manifest import Manifest, check_manifest, diff_manifests
from comfreystair.manifest.checks import has_errors
from comfreystair.etcd import PlatformError, Store


@click.command('ship')
@click.argument('path')
@store_options
@seconds_option
@click.option(
    '--expect',
    type=int,
    default=None,
    help='Generation that it shall replace.',
)
@click.option(
    '--above',
    type=int,
    default=0,
    help='Generation that it shall exceed, if the store has lost that one.',
)
@click.option('--by', 'shipped_by', default='', help='Who ships it.')
@json_option
def command(
    path: str,
    store: str,
    prefix: str,
    seconds: float,
    expect: int | None,
    above: int,
    shipped_by: str,
    is_json: bool,
) -> None:
    """Ship a manifest file; exit 3 when another one came in between."""
    try:
        manifest = read_manifest(path)
    except CommandError as error:
        fail(str(error))
    findings = check_manifest(manifest)
    if has_errors(findings):
        print_findings(findings, is_json)
        sys.exit(EXIT_FAILED)
    client = Store(build_dialer(''), store, prefix, seconds)
    operator = shipped_by or getpass.getuser()
    try:
        outcome = curio.run(
            ship_manifest, client, manifest, expect, operator, above
        )
    except PlatformError as error:
        fail(f'outcome unknown: {error}', EXIT_UNAVAILABLE)
    if isinstance(outcome, Err):
        _report_conflict(outcome.err_value, manifest, is_json)
    root = outcome.ok_value
    if is_json:
        print_document({'generation': root.generation})
    else:
        click.echo(f'shipped generation {root.generation}')


def _report_conflict(
    conflict: Conflict, manifest: Manifest, is_json: bool
) -> None:
    """Tell the operator who lost what stands there instead."""
    root = conflict.current.root
    click.echo(
        f'comfreystair: generation {root.generation} by '
        f'"{root.shipped_by}" is in force; yours was not shipped',
        err=True,
    )
    if conflict.current.manifest is not None:
        print_changes(
            diff_manifests(conflict.current.manifest, manifest), is_json
        )
    sys.exit(EXIT_CONFLICT)
