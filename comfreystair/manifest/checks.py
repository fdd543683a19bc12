"""Checks of a manifest that its schema can't express."""

import base64
import binascii
import collections
import ipaddress
from collections.abc import Callable, Iterable
from typing import Final

from comfreystair.conf.checks import LEVEL_ERROR, LEVEL_WARNING, Finding
from comfreystair.manifest.schema import (
    MANIFEST_VERSION,
    PUBLIC_ORGANISATION,
    Manifest,
    Route,
    Target,
)

_VERIFIER_BYTES: Final = 32
_MIN_ITERATIONS: Final = 4096
_MIN_MAJORITY_TARGETS: Final = 3


def check_manifest(manifest: Manifest) -> list[Finding]:
    """Run every check and return all findings."""
    return [found for check in _CHECKS for found in check(manifest)]


def has_errors(findings: list[Finding]) -> bool:
    """Tell whether any finding is an error."""
    return any(found.level == LEVEL_ERROR for found in findings)


def _error(number: int, message: str, hint: str) -> Finding:
    return Finding(f'manifest.E{number:03}', LEVEL_ERROR, message, hint)


def _find_repeats(names: Iterable[str]) -> list[str]:
    counted = collections.Counter(names)
    return sorted(name for name, count in counted.items() if count > 1)


def _check_version(manifest: Manifest) -> Iterable[Finding]:
    if manifest.version != MANIFEST_VERSION:
        yield _error(
            1,
            f'manifest version {manifest.version} is not known',
            f'set "version" to {MANIFEST_VERSION}',
        )


def _check_names(manifest: Manifest) -> Iterable[Finding]:
    kinds = {
        'database': [one.name for one in manifest.databases],
        'organisation': [one.name for one in manifest.organisations],
        'service': [one.name for one in manifest.services],
        'service of one database': [one.database for one in manifest.services],
    }
    for kind, names in kinds.items():
        for repeated in _find_repeats(names):
            yield _error(2, f'{kind} "{repeated}" is named twice', 'rename one')


def _check_targets(manifest: Manifest) -> Iterable[Finding]:
    for database in manifest.databases:
        names = [target.name for target in database.targets]
        for repeated in _find_repeats(names):
            yield _error(
                3,
                f'{database.name}: target "{repeated}" is named twice',
                'rename one',
            )
        for target in database.targets:
            yield from _check_target(database.name, target)
        if len(database.targets) < _MIN_MAJORITY_TARGETS:
            yield Finding(
                'manifest.W001',
                LEVEL_WARNING,
                f'{database.name} has {len(database.targets)} targets',
                'a primary can be replaced only with three or more',
            )


def _check_target(database: str, target: Target) -> Iterable[Finding]:
    host, _, port = target.address.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        yield _error(
            4,
            f'{database}/{target.name}: address "{target.address}"',
            'give IP number and port, such as 10.0.0.1:5432',
        )
    if not port.isdigit():
        yield _error(
            4,
            f'{database}/{target.name}: port "{port}"',
            'give IP number and port, such as 10.0.0.1:5432',
        )
    if target.slots < 1 or target.connections < 1:
        yield _error(
            5,
            f'{database}/{target.name}: slots and connections',
            'both must be at least 1',
        )


def _check_references(manifest: Manifest) -> Iterable[Finding]:
    databases = {one.name for one in manifest.databases}
    organisations = {one.name for one in manifest.organisations}
    for service in manifest.services:
        if service.database not in databases:
            yield _error(
                6,
                f'{service.name}: no database "{service.database}"',
                'name one of the databases',
            )
        for absent in sorted(set(service.organisations) - organisations):
            yield _error(
                7,
                f'{service.name}: no organisation "{absent}"',
                'name one of the organisations',
            )


def _check_routes(manifest: Manifest) -> Iterable[Finding]:
    names = {one.name for one in manifest.organisations}
    for service in manifest.services:
        for repeated in _find_repeats(one.name for one in service.routes):
            yield _error(
                8,
                f'{service.name}: route "{repeated}" is named twice',
                'rename one',
            )
        for route in service.routes:
            yield from _check_route(f'{service.name}/{route.name}', route)
            if route.is_open and PUBLIC_ORGANISATION not in names:
                yield _error(
                    10,
                    f'{service.name}/{route.name} is open to all',
                    f'add organisation "{PUBLIC_ORGANISATION}" with limits',
                )


def _check_route(path: str, route: Route) -> Iterable[Finding]:
    is_for_reads = route.max_age_ms or route.is_repeatable
    if route.kind == 'write' and is_for_reads:
        yield _error(
            9,
            f'{path} is a write route',
            'max_age_ms and is_repeatable are for reads',
        )


def _check_limits(manifest: Manifest) -> Iterable[Finding]:
    for organisation in manifest.organisations:
        if organisation.rate <= 0 or organisation.burst < 1:
            yield _error(
                11,
                f'{organisation.name}: rate and burst',
                'rate must be above 0 and burst at least 1',
            )
        if organisation.weight <= 0:
            yield _error(12, f'{organisation.name}: weight', 'must be above 0')


def _check_keys(manifest: Manifest) -> Iterable[Finding]:
    for organisation in manifest.organisations:
        for repeated in _find_repeats(key.id for key in organisation.keys):
            yield _error(
                13,
                f'{organisation.name}: key "{repeated}" is named twice',
                'rename one',
            )
        if organisation.keys and organisation.iterations < _MIN_ITERATIONS:
            yield _error(
                14,
                f'{organisation.name}: {organisation.iterations} iterations',
                f'at least {_MIN_ITERATIONS}',
            )
        for key in organisation.keys:
            if not _is_verifier(key.stored_key, key.server_key):
                yield _error(
                    15,
                    f'{organisation.name}: key "{key.id}" is no verifier',
                    'make keys with "comfreystair key new"',
                )


def _is_verifier(stored_key: str, server_key: str) -> bool:
    try:
        decoded = [
            base64.b64decode(text, validate=True)
            for text in (stored_key, server_key)
        ]
    except (binascii.Error, ValueError):
        return False
    return all(len(one) == _VERIFIER_BYTES for one in decoded)


_CHECKS: Final[tuple[Callable[[Manifest], Iterable[Finding]], ...]] = (
    _check_version,
    _check_names,
    _check_targets,
    _check_references,
    _check_routes,
    _check_limits,
    _check_keys,
)
