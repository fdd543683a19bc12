"""Work out the measures of a run and print them."""

import json
from typing import NamedTuple

import click
import psycopg
from hdrh.histogram import HdrHistogram

from standins.cluster import Cluster
from standins.workload import Workload

MICROSECONDS = 1000000
LONGEST = 60 * MICROSECONDS
DIGITS = 3


class Row(NamedTuple):
    """The measures of one run.

    :param replica_share: of reads, from 0 to 1.
    :param gap_seconds: from the fault to the first write acknowledged that
        was sent after it; absent without a fault.
    :param worst: the organisation with the highest p99, and that p99 in ms.
    :param wrongful: refusals for the rate of requests within the rate.
    :param is_kept: no promise was seen broken.
    """

    scenario: str
    requests: int
    done: int
    replica_share: float
    gap_seconds: float | None
    p50_ms: float
    worst: tuple[str, float]
    wrongful: int
    unknown: int
    is_kept: bool


def build_row(
    scenario: str,
    cluster: Cluster,
    load: Workload,
    fault_at: float | None = None,
    left_out: str = '',
) -> Row:
    """Work out the measures once the callers have stopped.

    :param left_out: organisation that is not looked at as worst served.
    """
    events = load.events
    p99 = {
        name: find_percentile(load, 99, name)
        for name in cluster.shape.organisations
        if name != left_out
    }
    worst = max(p99, key=lambda name: p99[name])
    return Row(
        scenario,
        len(events),
        sum(event.outcome == 'done' for event in events),
        find_replica_share(cluster),
        _find_gap(cluster, load, fault_at),
        find_percentile(load, 50),
        (worst, p99[worst]),
        sum(event.sqlstate == '53400' for event in events),
        sum(event.outcome == 'unknown' for event in events),
        check_promises(cluster, load),
    )


def _find_gap(
    cluster: Cluster, load: Workload, fault_at: float | None
) -> float | None:
    if fault_at is None:
        return None
    database = cluster.shape.databases[0]
    return round(load.find_gap(fault_at, database=database), 3)


def find_percentile(
    load: Workload, percentile: float, organisation: str = ''
) -> float:
    """Return a percentile of the time to answer, in milliseconds."""
    histogram = HdrHistogram(1, LONGEST, DIGITS)
    for event in load.events:
        if event.outcome != 'done':
            continue
        if organisation and event.organisation != organisation:
            continue
        taken = (event.ended - event.started) * MICROSECONDS
        histogram.record_value(max(int(taken), 1))
    return histogram.get_value_at_percentile(percentile) / 1000


def find_replica_share(cluster: Cluster) -> float:
    """Return the share of reads that replicas served."""
    counts = [state['counts'] for state in cluster.list_status()]
    replicas = sum(one.get('reads.replica', 0) for one in counts)
    primaries = sum(one.get('reads.primary', 0) for one in counts)
    return round(replicas / max(replicas + primaries, 1), 4)


def check_promises(cluster: Cluster, load: Workload) -> bool:
    """Check what callers were told against what there is."""
    kept: set[str] = set()
    organisation = next(iter(cluster.shape.organisations))
    for database in cluster.shape.databases:
        dsn = cluster.find_dsn('daemon-0', organisation, database)
        with psycopg.connect(dsn, autocommit=True) as caller:
            rows = caller.execute('SELECT id FROM receipts').fetchall()
        kept.update(row[0] for row in rows)
    is_lost = bool(load.list_idents('done') - kept)
    is_false = bool(load.list_idents('not run') & kept)
    return not is_lost and not is_false and not load.stale


def print_table(rows: list[Row], is_json: bool = False) -> None:
    """Print rows for people, or as JSON."""
    if is_json:
        click.echo(json.dumps([row._asdict() for row in rows], indent=2))
        return
    click.echo(
        f'{"scenario":<26} {"requests":>8} {"done":>7} {"replicas":>8} '
        f'{"gap s":>6} {"p50 ms":>7} {"worst-served p99 ms":>24} '
        f'{"over rate":>9} {"unknown":>7} {"promises":>8}'
    )
    for row in rows:
        gap = '-' if row.gap_seconds is None else f'{row.gap_seconds:.2f}'
        worst = f'{row.worst[0]} {row.worst[1]:.1f}'
        click.echo(
            f'{row.scenario:<26} {row.requests:>8} {row.done:>7} '
            f'{row.replica_share:>8.1%} {gap:>6} {row.p50_ms:>7.1f} '
            f'{worst:>24} {row.wrongful:>9} {row.unknown:>7} '
            f'{"kept" if row.is_kept else "BROKEN":>8}'
        )
