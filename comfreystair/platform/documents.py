"""What operators and targets write to the store, decoded."""

from typing import Final

import msgspec

from comfreystair.coordination.records import StoredValue
from comfreystair.manifest.serving import (
    Client,
    Consistency,
    ServingPlan,
    ServingRoute,
    build_plan,
)
from comfreystair.platform.exceptions import MalformedError
from comfreystair.pooling.targets import TargetEntry

PLAN_KEY: Final = 'op/config'
TARGETS_PREFIX: Final = 'servers/'

_MILLISECONDS: Final = 1000
_CONSISTENCIES: Final = {  # noqa: WPS407
    'primary': Consistency.primary,
    'bounded_stale': Consistency.bounded,
    'read_your_writes': Consistency.own_writes,
}
_STATES: Final = frozenset(('ready', 'draining'))
_ROLES: Final = frozenset(('primary', 'replica'))


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


class _Service(msgspec.Struct, rename='pascal'):
    name: str
    max_conns: int = 30
    sync_replicas: int = 0


class _Tenant(msgspec.Struct, rename='pascal'):
    name: str
    api_keys: list[str] = []
    rate_per_s: float = 0
    burst: float = 0


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
    born: int = msgspec.field(name='born', default=0)


def parse_plan(item: StoredValue) -> ServingPlan:
    """Decode the operators' newest version.

    :raises MalformedError: naming what does not fit.
    """
    try:
        plan = msgspec.json.decode(item.blob, type=_Plan)
    except msgspec.DecodeError as error:
        raise MalformedError(str(error), 'plan') from error
    return build_plan(
        plan.version,
        (_convert_route(route) for route in plan.routes),
        (
            Client(one.name, tuple(one.api_keys), one.rate_per_s, one.burst)
            for one in plan.tenants
        ),
        {service.name: service.max_conns for service in plan.services},
        plan.limits.tx_idle_ms / _MILLISECONDS,
        {service.name: service.sync_replicas for service in plan.services},
    )


def parse_targets(items: dict[str, StoredValue]) -> dict[str, TargetEntry]:
    """Return the targets by id, without entries that are none."""
    found: dict[str, TargetEntry] = {}
    for key, item in items.items():
        ident = key.removeprefix(TARGETS_PREFIX)
        entry = _parse_target(ident, item.blob)
        if entry is not None:
            found[ident] = entry
    return found


def _parse_target(ident: str, blob: bytes) -> TargetEntry | None:
    try:
        read = msgspec.json.decode(blob, type=_Registration)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    host, _, port = read.addr.rpartition(':')
    is_known = read.state in _STATES and read.db_role in _ROLES
    if not (is_known and host and port.isdecimal() and read.slots > 0):
        return None
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
    )
