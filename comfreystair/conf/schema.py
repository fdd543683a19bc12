"""The form of the settings file, version 1.

The structures are ``msgspec.Struct`` classes: a ``NamedTuple`` would be read
from a JSON array, and a settings file names its entries.
"""

import msgspec

from comfreystair.conf import defaults

SETTINGS_VERSION = 1


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all sections; an unknown entry is an error."""


class InstanceSection(Section, frozen=True):
    """Who and where this instance is.

    :param name: unique among the instances of the deployment.
    :param zone: its availability zone.
    :param address: IP number that peers reach it by.
    """

    name: str
    zone: str
    address: str = '127.0.0.1'


class CallersSection(Section, frozen=True):
    """Where callers connect, and what each connection may cost."""

    port: int
    host: str = '127.0.0.1'
    certificate: str = ''
    private_key: str = ''
    max_connections: int = defaults.CALLERS_MAX_CONNECTIONS
    max_message_bytes: int = defaults.CALLERS_MAX_MESSAGE_BYTES
    login_seconds: float = defaults.CALLERS_LOGIN_SECONDS
    partial_seconds: float = defaults.CALLERS_PARTIAL_SECONDS
    write_seconds: float = defaults.CALLERS_WRITE_SECONDS
    idle_transaction_seconds: float = defaults.CALLERS_IDLE_TRANSACTION_SECONDS


class RequestsSection(Section, frozen=True):
    """How long a request may wait at each step, in seconds."""

    admit_seconds: float = defaults.ADMIT_WAIT_SECONDS
    place_seconds: float = defaults.PLACE_WAIT_SECONDS
    replica_seconds: float = defaults.REPLICA_WAIT_SECONDS
    schedule_seconds: float = defaults.SCHEDULE_WAIT_SECONDS
    statement_seconds: float = defaults.STATEMENT_SECONDS
    acknowledge_seconds: float = defaults.ACKNOWLEDGE_SECONDS
    drain_seconds: float = defaults.DRAIN_SECONDS


class TargetsSection(Section, frozen=True):
    """Credentials towards targets, and how their state is watched."""

    user: str
    password: str
    connect_seconds: float = defaults.TARGETS_CONNECT_SECONDS
    warm_connections: int = defaults.TARGETS_WARM_CONNECTIONS
    max_prepared: int = defaults.TARGETS_MAX_PREPARED
    status_seconds: float = defaults.TARGETS_STATUS_SECONDS
    suspect_seconds: float = defaults.TARGETS_SUSPECT_SECONDS
    isolated_seconds: float = defaults.TARGETS_ISOLATED_SECONDS
    rank_seconds: float = defaults.TARGETS_RANK_SECONDS


class PlatformSection(Section, frozen=True):
    """The platform's store and its list of instances.

    :param store: ``host:port`` of the store's JSON interface.
    :param instances: ``host:port`` that serves the list.
    """

    store: str
    instances: str
    prefix: str = 'comfreystair/'
    call_seconds: float = defaults.PLATFORM_CALL_SECONDS
    confirm_seconds: float = defaults.PLATFORM_CONFIRM_SECONDS
    list_seconds: float = defaults.PLATFORM_LIST_SECONDS
    watchers_per_zone: int = defaults.PLATFORM_WATCHERS_PER_ZONE


class PeersSection(Section, frozen=True):
    """Messages between daemons.

    :param secret: shared by all daemons; calls without its code are refused.
    :param advertised: ``host:port`` that other daemons shall use, by default
        the instance's address and the port.
    """

    port: int
    advertised: str = ''
    secret: str = ''
    host: str = '127.0.0.1'
    call_seconds: float = defaults.PEERS_CALL_SECONDS
    gossip_seconds: float = defaults.PEERS_GOSSIP_SECONDS
    gossip_fanout: int = defaults.PEERS_GOSSIP_FANOUT


class StatsdSection(Section, frozen=True):
    """Where metrics go; no host means nowhere."""

    host: str = ''
    port: int = 8125
    prefix: str = defaults.STATSD_PREFIX


class LogSection(Section, frozen=True):
    """What is logged to standard error."""

    level: str = defaults.LOG_LEVEL


class TraceSection(Section, frozen=True):
    """Which requests get spans, and how many decisions are kept."""

    sample_every: int = defaults.TRACE_SAMPLE_EVERY
    keep: int = defaults.TRACE_KEEP


class Settings(Section, frozen=True):
    """All settings of one instance."""

    version: int
    instance: InstanceSection
    callers: CallersSection
    targets: TargetsSection
    platform: PlatformSection
    peers: PeersSection
    requests: RequestsSection = RequestsSection()
    statsd: StatsdSection = StatsdSection()
    log: LogSection = LogSection()
    trace: TraceSection = TraceSection()
    filters: tuple[str, ...] = defaults.FILTERS
