"""What operators and targets write to the store, decoded."""

import ipaddress
import sys
from typing import Final

import msgspec

from comfreystair.controllers.places.cold_targets import ColdStart
from comfreystair.coordination.records import StoredValue
from comfreystair.dialing import split_address
from comfreystair.manifest.serving import (
    DEFAULT_PRIORITY,
    Client,
    Consistency,
    ServingPlan,
    ServingRoute,
    build_plan,
)
from comfreystair.platform.exceptions import MalformedError
from comfreystair.pooling.targets import TargetEntry
from comfreystair.tasks import describe_error

PLAN_KEY: Final = 'op/config'
TARGETS_PREFIX: Final = 'servers/'
# Followed by the name of an availability zone.
EVACUATIONS_PREFIX: Final = 'op/evacuate/'

_MILLISECONDS: Final = 1000
_CONSISTENCIES: Final = {  # noqa: WPS407
    'primary': Consistency.primary,
    'bounded_stale': Consistency.bounded,
    'read_your_writes': Consistency.own_writes,
}
_STATES: Final = frozenset(('ready', 'draining'))
_ROLES: Final = frozenset(('primary', 'replica'))
# Most statements that a target may claim to run at the same time.
_MAX_SLOTS: Final = 10000
# Messages between instances have numbers of 64 bits.
_MAX_NUMBER: Final = sys.maxsize
# Messages between instances carry priorities as 32 bits.
_MAX_PRIORITY: Final = 2147483647
# Keys of the store have at most 200 bytes.
_MAX_NAME_CHARACTERS: Final = 200


class _Route(msgspec.Struct, rename='pascal'):
    """A route; its ``Host`` is the name of the database."""

    host: str
    service: str
    type: str = 'primary'
    timeout_ms: float = 1000
    target_latency_ms: float = 200
    prio: int = 1
    max_stale_ms: float = 0
    public: bool = False
    allow_regions: list[str] | None = None


class _Service(msgspec.Struct, rename='pascal'):
    name: str
    max_conns: int = 30
    sync_replicas: int = 0
    cold_s: float = 0
    cold_per_s: float = 0


class _Tenant(msgspec.Struct, rename='pascal'):
    name: str
    api_keys: list[str] = []
    rate_per_s: float = 0
    burst: float = 0
    allow_regions: list[str] | None = None
    prio: int = DEFAULT_PRIORITY


class _Limits(msgspec.Struct, rename='pascal'):
    tx_idle_ms: float = 3000


class _Plan(msgspec.Struct, rename='pascal'):
    version: int
    routes: list[_Route]
    services: list[_Service]
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Registration(msgspec.Struct, rename='pascal'):
    """A target's entry; a service is what the project calls a group."""

    service: str
    addr: str
    zone: str
    slots: int
    state: str
    db_role: str = 'replica'
    seq: int = 0
    cold_left_ms: float = 0
    born: int = msgspec.field(name='born', default=0)


def parse_plan(item: StoredValue) -> ServingPlan:
    """Decode the operators' newest version.

    :raises MalformedError: naming what does not fit.
    """
    try:
        plan = msgspec.json.decode(item.blob, type=_Plan)
    except Exception as error:
        raise MalformedError(describe_error(error), 'plan') from error
    return build_plan(
        plan.version,
        (_convert_route(route) for route in plan.routes),
        (_convert_tenant(tenant) for tenant in plan.tenants),
        {service.name: service.max_conns for service in plan.services},
        plan.limits.tx_idle_ms / _MILLISECONDS,
        {service.name: service.sync_replicas for service in plan.services},
        {
            service.name: ColdStart(service.cold_s, service.cold_per_s)
            for service in plan.services
            if service.cold_per_s > 0
        },
    )


def parse_target(key: str, item: StoredValue) -> TargetEntry:
    """Decode a target's entry, which may come from any writer.

    :raises MalformedError: naming why it is no target that can be used.
    """
    try:
        read = msgspec.json.decode(item.blob, type=_Registration)
    except Exception as error:
        # The decoder has errors of its own for some bytes, such as nested
        # lists or long numbers.
        raise MalformedError(describe_error(error), 'target') from error
    ident = key.removeprefix(TARGETS_PREFIX)
    _check_registration(ident, read)
    return TargetEntry(
        ident,
        read.service,
        read.addr,
        read.zone,
        read.slots,
        read.born,
        is_leaving=read.state == 'draining',
        claims_primary=read.db_role == 'primary',
        sequence=read.seq,
        cold_seconds=read.cold_left_ms / _MILLISECONDS,
    )


def check_evacuation(item: StoredValue) -> None:
    """Raise unless a value requests the evacuation of a zone.

    The value has no content: it is an empty table.

    :raises MalformedError: when it is something else.
    """
    try:
        msgspec.json.decode(item.blob, type=dict[str, msgspec.Raw])
    except Exception as error:
        raise MalformedError(describe_error(error), 'evacuation') from error


def _check_registration(ident: str, read: _Registration) -> None:
    """Raise unless every field has a value that can be used."""
    is_usable = {
        'Id': _is_name(ident),
        'Service': _is_name(read.service),
        'Zone': _is_name(read.zone),
        'Addr': _is_address(read.addr),
        'State': read.state in _STATES,
        'DbRole': read.db_role in _ROLES,
        'Slots': 0 < read.slots <= _MAX_SLOTS,
        'Seq': 0 <= read.seq <= _MAX_NUMBER,
        'ColdLeftMs': 0 <= read.cold_left_ms <= _MAX_NUMBER,
        'born': 0 <= read.born <= _MAX_NUMBER,
    }
    unusable = [field for field, is_good in is_usable.items() if not is_good]
    if unusable:
        raise MalformedError(f'unusable {", ".join(unusable)}', 'target')


def _is_address(text: str) -> bool:
    """Tell whether a text is an IPv4 number with a port."""
    try:
        host, port = split_address(text)
        ipaddress.IPv4Address(host)
    except (OSError, ValueError):
        return False
    return port > 0


def _is_name(text: str) -> bool:
    """Tell whether a text can be a field of a message and a part of a key."""
    return (
        0 < len(text) <= _MAX_NAME_CHARACTERS
        and text.isprintable()
        and not any(character.isspace() for character in text)
    )


def _convert_tenant(tenant: _Tenant) -> Client:
    return Client(
        tenant.name,
        tuple(tenant.api_keys),
        tenant.rate_per_s,
        tenant.burst,
        frozenset(tenant.allow_regions or ()),
        min(max(tenant.prio, 0), _MAX_PRIORITY),
    )


def _convert_route(route: _Route) -> ServingRoute:
    return ServingRoute(
        route.host,
        route.service,
        _CONSISTENCIES.get(route.type, Consistency.primary),
        route.max_stale_ms / _MILLISECONDS,
        route.timeout_ms / _MILLISECONDS,
        route.target_latency_ms / _MILLISECONDS,
        route.prio,
        route.public,
        frozenset(route.allow_regions or ()),
    )
