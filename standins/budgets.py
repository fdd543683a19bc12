"""The budgets of the size to design for, as formulas over slopes."""

from collections.abc import Mapping
from typing import Final, NamedTuple, Protocol

DAEMONS: Final = 4800
DATABASES: Final = 8100
ZONES: Final = 25
SECONDS_A_DAY: Final = 86400
CHANGES_A_DAY: Final = 6700
FLEET_CHANGES_A_DAY: Final = 996
CONNECTIONS: Final = 11000000
STATUS_A_SECOND: Final = 10
GOSSIP_MESSAGES: Final = 4
GOSSIP_MEMBERS: Final = 6
GOSSIP_ORGANISATIONS: Final = 8
EPOCH_SECONDS_A_DAEMON: Final = 0.1
WATCHERS_A_ZONE: Final = 2
CORE_SHARE: Final = 0.02
BYTES_A_SECOND: Final = 6144.0
MEMORY_BYTES: Final = 67108864
STORE_READS: Final = 2000.0
STORE_WRITES: Final = 300.0
VALUE_BYTES: Final = 1048576
MICROSECONDS: Final = 1000000


class Line(Protocol):
    """A fitted line."""

    each: float
    fixed: float


class Verdict(NamedTuple):
    """One budget, judged."""

    name: str
    found: float
    bound: float
    unit: str

    @property
    def word(self) -> str:
        """Return the verdict."""
        return 'holds' if self.found <= self.bound else 'DOES NOT HOLD'


def judge_budgets(slopes: Mapping[str, Line]) -> list[Verdict]:
    """Judge each budget by the measured slopes."""

    def at(name: str, size: float) -> float:
        line = slopes[name]
        return line.fixed + line.each * size

    gossip_bytes = at('gossip message', GOSSIP_MEMBERS) + (
        slopes['gossip surplus'].each * GOSSIP_ORGANISATIONS
    )
    gossip_rate = gossip_bytes * GOSSIP_MESSAGES
    change_bytes = at('chunks changed by one entry', DATABASES)
    root_bytes = at('root', DATABASES)
    manifest_rate = (change_bytes + root_bytes) * CHANGES_A_DAY / SECONDS_A_DAY
    epoch_bytes = at('epoch of shares', DAEMONS)
    epochs = min(
        FLEET_CHANGES_A_DAY,
        SECONDS_A_DAY / (EPOCH_SECONDS_A_DAEMON * DAEMONS),
    )
    epoch_rate = 2 * epoch_bytes * epochs / SECONDS_A_DAY
    served = DATABASES / ZONES
    core = _find_core(slopes, at, served)
    memory = (
        at('manifest in memory', DATABASES)
        + at('members in memory', DAEMONS)
        + at('group in memory', served)
        + at('bucket in memory', DATABASES)
    )
    reads = ZONES * WATCHERS_A_ZONE * 2.0
    writes = (CHANGES_A_DAY + 2 * FLEET_CHANGES_A_DAY) / SECONDS_A_DAY
    return [
        Verdict('gossip sent by a daemon', gossip_rate, BYTES_A_SECOND, 'B/s'),
        Verdict(
            'manifest changes to a daemon', manifest_rate, BYTES_A_SECOND, 'B/s'
        ),
        Verdict(
            'epochs of shares to a daemon', epoch_rate, BYTES_A_SECOND, 'B/s'
        ),
        Verdict(
            'all of these together',
            gossip_rate + manifest_rate + epoch_rate,
            BYTES_A_SECOND,
            'B/s',
        ),
        Verdict("control time, a zone's databases", core, CORE_SHARE, 'core'),
        Verdict('control memory', memory, MEMORY_BYTES, 'bytes'),
        Verdict('root as one value', root_bytes, VALUE_BYTES, 'bytes'),
        Verdict('epoch as one value', epoch_bytes, VALUE_BYTES, 'bytes'),
        Verdict('store reads and watches', reads, STORE_READS, 'calls/s'),
        Verdict('store writes', writes, STORE_WRITES, 'calls/s'),
        Verdict(
            'a change in force, epidemic at two a round',
            _find_spread_seconds(),
            7,
            's',
        ),
    ]


def _find_core(slopes: Mapping[str, Line], at, served: float) -> float:
    gossip = at('gossip coding, both ways', GOSSIP_MEMBERS) * GOSSIP_MESSAGES
    listing = 2 * at('listing live daemons', DAEMONS)
    applying = (
        at('applying a manifest', DATABASES) * CHANGES_A_DAY / SECONDS_A_DAY
    )
    ranking = (
        at('rank after one change', served)
        * FLEET_CHANGES_A_DAY
        / SECONDS_A_DAY
    )
    watching = slopes['status and tick of a group'].each * served
    status = watching * STATUS_A_SECOND
    total = gossip + listing + applying + ranking + status
    return total / MICROSECONDS


def _find_spread_seconds() -> float:
    """Return the time until all daemons have heard, at two peers a round.

    News goes on at once, so a round is a call and the fetching of chunks; a
    last part of the daemons is reached by the ordinary interval.
    """
    reached = ZONES * WATCHERS_A_ZONE
    seconds = 0.1
    while reached < DAEMONS / 2:
        reached *= 3
        seconds += 0.15
    return seconds + 2
