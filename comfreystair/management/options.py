"""Options that several commands share."""

from typing import Final

import click

_CALL_SECONDS: Final = 3.0

_store_option = click.option(
    '--store',
    required=True,
    envvar='COMFREYSTAIR_STORE',
    help="host:port of the platform's store.",
)
_prefix_option = click.option(
    '--prefix',
    default='comfreystair/',
    show_default=True,
    help='Put before every key in the store.',
)
daemon_option = click.option(
    '--daemon',
    'address',
    required=True,
    envvar='COMFREYSTAIR_DAEMON',
    help='host:port of any daemon, for messages between daemons.',
)
secret_option = click.option(
    '--secret',
    default='',
    envvar='COMFREYSTAIR_SECRET',
    help='peers.secret of the settings.',
)
seconds_option = click.option(
    '--seconds',
    default=_CALL_SECONDS,
    show_default=True,
    help='Bound on each call.',
)


def store_options(command):
    """Add the options that say which store is meant."""
    return _store_option(_prefix_option(command))
