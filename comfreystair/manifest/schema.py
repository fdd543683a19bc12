"""The form of the manifest, version 1."""

from typing import Final, Literal

import msgspec

MANIFEST_VERSION: Final = 1
PUBLIC_ORGANISATION: Final = 'public'

RouteKind = Literal['read', 'write']
TargetState = Literal['serving', 'leaving']
UnconfirmedAction = Literal['serve', 'refuse_writes', 'refuse']


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all entries; an unknown field is an error."""


class Target(Entry, frozen=True):
    """One server of a database group.

    :param address: ``host:port`` with an IP number.
    :param slots: statements that it runs at a time.
    :param connections: connections that it accepts from the whole fleet.
    """

    name: str
    address: str
    zone: str
    slots: int
    connections: int
    state: TargetState = 'serving'


class Database(Entry, frozen=True):
    """One database group."""

    name: str
    targets: tuple[Target, ...]


class Route(Entry, frozen=True):
    """How the requests that name it are treated.

    :param max_age_ms: a read may be this old, in milliseconds.
    :param is_repeatable: a read may run again after a lost connection.
    :param requires_key: a request must carry an idempotency key.
    :param is_open: callers without a key may use it.
    """

    name: str
    kind: RouteKind
    max_age_ms: int = 0
    is_repeatable: bool = False
    requires_key: bool = False
    is_open: bool = False


class Service(Entry, frozen=True):
    """A database as some organisations may use it.

    :param organisations: names of those that may use it.
    :param routes: named routes; plain reads and writes need none.
    """

    name: str
    database: str
    organisations: tuple[str, ...]
    routes: tuple[Route, ...] = ()


class Key(Entry, frozen=True):
    """The verifier of one key; the key itself is nowhere in the manifest.

    :param stored_key: base64, as RFC 5802 defines it.
    :param server_key: base64, as RFC 5802 defines it.
    """

    id: str
    stored_key: str
    server_key: str


class Organisation(Entry, frozen=True):
    """Who calls, with which keys and within which limits.

    :param salt: base64; one for all its keys, so that two may be in force.
    :param rate: requests a second over all instances together.
    :param burst: requests that may come at once.
    :param weight: share of a busy target's slots beside the others.
    """

    name: str
    rate: float
    burst: float
    salt: str = ''
    iterations: int = 4096
    keys: tuple[Key, ...] = ()
    weight: float = 1


class Policy(Entry, frozen=True):
    """What operators chose for instances that are cut off.

    :param unconfirmed_seconds: how long the manifest may go unconfirmed.
    :param when_unconfirmed: what happens to requests after that.
    :param read_age_ms: how old a replica may be for reads that state no age.
    """

    unconfirmed_seconds: float = 30
    when_unconfirmed: UnconfirmedAction = 'serve'
    read_age_ms: int = 1000


class Manifest(Entry, frozen=True):
    """What operators ship; the proxy makes it true."""

    version: int
    deployment: str
    databases: tuple[Database, ...]
    organisations: tuple[Organisation, ...]
    services: tuple[Service, ...]
    policy: Policy = Policy()
