"""What the operators ask for, as the request path looks it up."""

import enum
from collections.abc import Iterable
from typing import Final, NamedTuple

from comfreystair.controllers.places.cold_targets import ColdStart

# Priority of routes and organisations that name none; 0 goes first.
DEFAULT_PRIORITY: Final = 1


class Consistency(enum.Enum):
    """What a read must see."""

    primary = enum.auto()
    bounded = enum.auto()
    own_writes = enum.auto()


class ServingRoute(NamedTuple):
    """How the requests for one database are treated.

    :param database: the name that callers connect to.
    :param group: the database group that serves it.
    :param max_age: a read may be this old, in seconds.
    :param statement_seconds: bound on one statement.
    :param aim_seconds: target for the latency of a whole operation.
    :param priority: 0 goes first.
    :param is_open: callers without a key may use it.
    :param allowed_regions: its requests may only reach targets in these
        regions; any if empty.
    """

    database: str
    group: str
    consistency: Consistency
    max_age: float
    statement_seconds: float
    aim_seconds: float
    priority: int
    is_open: bool
    allowed_regions: frozenset[str] = frozenset()


class Client(NamedTuple):
    """An organisation with its limits over the whole fleet.

    :param rate: operations a second.
    :param burst: operations that may come at once.
    :param allowed_regions: its requests may only reach targets in these
        regions; any if empty.
    :param priority: 0 goes first, among requests of the same route priority.
    """

    name: str
    keys: tuple[str, ...]
    rate: float
    burst: float
    allowed_regions: frozenset[str] = frozenset()
    priority: int = DEFAULT_PRIORITY


class ServingPlan(NamedTuple):
    """One version of what is asked for.

    :param version: given by the operators; a later version has a higher one.
    :param connections: limit of each target, by group.
    :param sync_replicas: how many replicas must have received a commit before
        it is acknowledged, by group; groups without any may be missing.
    :param idle_seconds: how long a transaction may rest.
    :param cold_starts: what targets can handle after their start, by group;
        groups without a limit are missing.
    """

    version: int
    routes: dict[str, ServingRoute]
    clients: dict[str, Client]
    connections: dict[str, int]
    idle_seconds: float
    owners: dict[str, str]
    sync_replicas: dict[str, int]
    cold_starts: dict[str, ColdStart]

    def find_priority(self, key: str) -> int:
        """Return the priority of the organisation that holds a key."""
        client = find_client(self, key)
        return client.priority if client else DEFAULT_PRIORITY


# What targets are told of callers without a key. An organisation may have the
# same name, so it does not identify these callers.
PUBLIC_CLIENT = 'public'


def build_plan(
    version: int,
    routes: Iterable[ServingRoute],
    clients: Iterable[Client],
    connections: dict[str, int],
    idle_seconds: float,
    sync_replicas: dict[str, int] | None = None,
    cold_starts: dict[str, ColdStart] | None = None,
) -> ServingPlan:
    """Index routes by database and keys by their organisation."""
    listed = tuple(clients)
    return ServingPlan(
        version,
        {route.database: route for route in routes},
        {client.name: client for client in listed},
        connections,
        idle_seconds,
        {key: client.name for client in listed for key in client.keys},
        sync_replicas or {},
        cold_starts or {},
    )


def find_client(plan: ServingPlan | None, key: str) -> Client | None:
    """Return the organisation that holds a key, if any."""
    owner = plan.owners.get(key) if plan else None
    return None if owner is None else plan.clients[owner]
