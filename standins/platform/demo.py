"""Show entry instances on the stand-in platform, and kill a primary."""

import pathlib
import tempfile
import time
from typing import Final

import click

from standins.platform.deployment import Caller, Deployment

_INSTANCES: Final = 3
_CHANGE_SECONDS: Final = 10.0
_PAUSE_SECONDS: Final = 0.02


def show_platform() -> int:
    """Write, kill the primary, write again; return the exit status."""
    with tempfile.TemporaryDirectory() as directory:
        deployment = Deployment(pathlib.Path(directory), _INSTANCES)
        try:
            deployment.start()
            return _show(deployment)
        finally:
            deployment.stop()


def _show(deployment: Deployment) -> int:
    caller = Caller(deployment.callers_ports[0], 'own')
    _write(caller, 'before')
    deployment.command(kill='t-one')
    began_at = time.monotonic()
    is_written = _write(caller, 'after')
    gap = time.monotonic() - began_at
    row = caller.ask('READ item')[0]
    promotions = len(deployment.command()['promotions'])
    is_kept = is_written and row == 'ROW after' and promotions == 1
    click.echo(
        f'platform: primary killed, gap {gap:.2f} s, promotions {promotions}, '
        f'own write read: {row == "ROW after"}, kept: {is_kept}'
    )
    return 0 if is_kept else 1


def _write(caller: Caller, text: str) -> bool:
    """Write until it succeeds or the bound is reached."""
    give_up_at = time.monotonic() + _CHANGE_SECONDS
    while time.monotonic() < give_up_at:
        if caller.ask(f'WRITE item {text}')[0].startswith('COMPLETE'):
            return True
        time.sleep(_PAUSE_SECONDS)
    return False
