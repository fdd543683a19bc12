"""The ``comfreystair`` command: one group, one module for each command."""

import click

from comfreystair.management.commands import (
    explain,
    key_new,
    logs_explain,
    logs_timeline,
    manifest_check,
    manifest_diff,
    manifest_ship,
    manifest_status,
    outcomes_sql,
    settings_check,
    status,
)


@click.group()
def main() -> None:
    """Drive comfreystair: ship manifests, make keys, ask what happens."""


@main.group()
def manifest() -> None:
    """Check, compare and ship manifests."""


@main.group()
def key() -> None:
    """Make keys of organisations."""


@main.group()
def settings() -> None:
    """Check settings of an instance."""


@main.group()
def outcomes() -> None:
    """Prepare databases for idempotency keys."""


@main.group()
def logs() -> None:
    """Read what entry instances have logged."""


logs.add_command(logs_explain.command)
logs.add_command(logs_timeline.command)
manifest.add_command(manifest_check.command)
manifest.add_command(manifest_diff.command)
manifest.add_command(manifest_ship.command)
manifest.add_command(manifest_status.command)
key.add_command(key_new.command)
settings.add_command(settings_check.command)
outcomes.add_command(outcomes_sql.command)
main.add_command(status.command)
main.add_command(explain.command)
