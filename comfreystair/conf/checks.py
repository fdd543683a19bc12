"""Checks of settings that a schema can't express; all are reported together."""

import ipaddress
import pathlib
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from comfreystair.conf import defaults
from comfreystair.conf.schema import SETTINGS_VERSION, Settings

LEVEL_ERROR: Final = 'error'
LEVEL_WARNING: Final = 'warning'


class Finding(NamedTuple):
    """What a check found.

    :param ident: stable name, such as ``comfreystair.E001``.
    :param level: ``error`` stops the daemon, ``warning`` does not.
    :param message: what is wrong.
    :param hint: what to change.
    """

    ident: str
    level: str
    message: str
    hint: str


def check_settings(settings: Settings) -> list[Finding]:
    """Run every check and return all findings."""
    return [found for check in _CHECKS for found in check(settings)]


def _error(number: int, message: str, hint: str) -> Finding:
    return Finding(f'comfreystair.E{number:03}', LEVEL_ERROR, message, hint)


def _check_version(settings: Settings) -> Iterable[Finding]:
    if settings.version != SETTINGS_VERSION:
        yield _error(
            1,
            f'settings version {settings.version} is not known',
            f'set "version" to {SETTINGS_VERSION}',
        )


def _check_addresses(settings: Settings) -> Iterable[Finding]:
    addresses = {
        'instance.address': settings.instance.address,
        'callers.host': settings.callers.host,
        'peers.host': settings.peers.host,
    }
    for name, address in addresses.items():
        try:
            ipaddress.ip_address(address)
        except ValueError:
            yield _error(
                2, f'{name} is "{address}"', 'give an IP number, not a name'
            )


def _check_ports(settings: Settings) -> Iterable[Finding]:
    if settings.callers.port == settings.peers.port:
        yield _error(
            3,
            'callers.port and peers.port are the same',
            'give each its own port',
        )


def _check_tls(settings: Settings) -> Iterable[Finding]:
    callers = settings.callers
    if bool(callers.certificate) != bool(callers.private_key):
        yield _error(
            4,
            'only one of callers.certificate and callers.private_key is set',
            'set both for TLS, or neither',
        )
    for path in filter(None, (callers.certificate, callers.private_key)):
        if not pathlib.Path(path).is_file():
            yield _error(5, f'{path} is not a file', 'check the path')


def _check_filters(settings: Settings) -> Iterable[Finding]:
    unknown = set(settings.filters) - set(defaults.FILTERS)
    for name in sorted(unknown):
        yield _error(6, f'filter "{name}" is not known', 'see docs/ref')
    missing = set(defaults.FILTERS) - set(settings.filters) - {'trace'}
    for absent in sorted(missing):
        yield _error(
            7,
            f'filter "{absent}" is missing',
            'a promise depends on it; only trace may be left out',
        )


def _check_bounds(settings: Settings) -> Iterable[Finding]:
    targets = settings.targets
    if targets.suspect_seconds < 2 * targets.status_seconds:
        yield Finding(
            'comfreystair.W001',
            LEVEL_WARNING,
            'targets.suspect_seconds is under two status intervals',
            'one lost status would start a change of primary',
        )


def _check_secret(settings: Settings) -> Iterable[Finding]:
    if not settings.peers.secret:
        yield Finding(
            'comfreystair.W002',
            LEVEL_WARNING,
            'peers.secret is empty',
            'anybody who reaches the port can pose as a daemon',
        )


_CHECKS: Final[tuple[Callable[[Settings], Iterable[Finding]], ...]] = (
    _check_version,
    _check_addresses,
    _check_ports,
    _check_tls,
    _check_filters,
    _check_bounds,
    _check_secret,
)
