"""Measure both deployments: ``python -m standins.measure --help``.

Each scenario starts a deployment of its own, runs callers within their rates,
brings about one fault, and prints the measures beside those of the baseline,
the same daemon with a decision replaced by the plain way.
"""

import pathlib
import signal
import tempfile
import time
from collections.abc import Callable
from typing import NamedTuple

import click

from standins.cluster import Cluster, Shape
from standins.reports import Row, build_row, print_table
from standins.shapes import DAR, LIMA
from standins.workload import Workload

SEED = 20261204
WARM_SECONDS = 4
RUN_SECONDS = 6
RATE_SHARE = 0.3
SLOW_SERVICE_MS = 40
QUIET_RATE = 8.0
GREEDY_RATE = 62.0
WIDE = (2000.0, 1000.0)


class Scenario(NamedTuple):
    """One fault.

    :param bring_about: acts on the running deployment.
    :param without: decision that is replaced, empty for none.
    :param lag_ms: how late replicas apply.
    """

    name: str
    bring_about: Callable[[Cluster], None] | None
    without: str = ''
    lag_ms: float = 20
    greedy: float = 0


def kill_primary(cluster: Cluster) -> None:
    """Kill the primary of the first database."""
    cluster.kill(f'{cluster.shape.databases[0]}-0')


def freeze_primary(cluster: Cluster) -> None:
    """Stop the primary of the first database."""
    cluster.signal(f'{cluster.shape.databases[0]}-0', signal.SIGSTOP)


def kill_daemon(cluster: Cluster) -> None:
    """Kill one daemon."""
    cluster.kill('daemon-1')


def stop_store(cluster: Cluster) -> None:
    """Take the platform's store down."""
    cluster.set_fault('down')


def part_zone(cluster: Cluster) -> None:
    """Cut the first availability zone off from all others."""
    zone = cluster.shape.zones[0]
    near = [name for name in cluster.hosts if cluster.find_zone(name) == zone]
    far = [name for name in cluster.hosts if name not in near]
    cluster.set_rules(*cluster.cut(near, [*far, 'store']))


SCENARIOS = (
    Scenario('healthy', None),
    Scenario('healthy, plain floor', None, 'place'),
    Scenario('replicas 2 s behind', None, lag_ms=2000),
    Scenario('primary killed', kill_primary),
    Scenario('primary frozen', freeze_primary),
    Scenario('daemon killed', kill_daemon),
    Scenario('store down', stop_store),
    Scenario('zone apart', part_zone),
)
FAIRNESS = (
    Scenario('greedy quiet', None, greedy=QUIET_RATE),
    Scenario('greedy', None, greedy=GREEDY_RATE),
    Scenario('greedy, in order', None, 'queue', greedy=GREEDY_RATE),
)


@click.command()
@click.option(
    '--deployment',
    type=click.Choice(('lima', 'dar', 'both')),
    default='both',
    show_default=True,
)
@click.option(
    '--only',
    default='',
    help='Run scenarios whose name has one of these, by commas.',
)
@click.option('--json', 'is_json', is_flag=True)
def main(deployment: str, only: str, is_json: bool) -> None:
    """Print a row of measures for each scenario."""
    shapes = [
        shape for shape in (LIMA, DAR) if deployment in {shape.name, 'both'}
    ]
    rows = []
    for shape in shapes:
        for scenario in SCENARIOS:
            if _is_chosen(scenario.name, only):
                rows.append(_run(shape, scenario))
        for contest in FAIRNESS:
            if _is_chosen(contest.name, only):
                rows.append(_run(_narrow(shape), contest))
    print_table(rows, is_json)


def _is_chosen(name: str, only: str) -> bool:
    return any(part in name for part in only.split(','))


def _narrow(shape: Shape) -> Shape:
    """Return one database whose slots are the bottleneck."""
    return shape._replace(
        databases=shape.databases[:1],
        service_ms=SLOW_SERVICE_MS,
        organisations=dict.fromkeys(shape.organisations, WIDE),
    )


def _run(shape: Shape, scenario: Scenario) -> Row:
    shape = shape._replace(lag_ms=scenario.lag_ms)
    with tempfile.TemporaryDirectory() as directory:
        cluster = Cluster(shape, pathlib.Path(directory), has_proxy=True)
        cluster.without = scenario.without
        try:
            cluster.start()
            return _load(cluster, scenario)
        finally:
            cluster.stop()


def _load(cluster: Cluster, scenario: Scenario) -> Row:
    load = Workload(cluster, SEED)
    if scenario.greedy:
        _add_contest(cluster, load, scenario.greedy)
    else:
        _add_ordinary(cluster, load)
    load.start()
    load.run_for(WARM_SECONDS)
    fault_at = None
    if scenario.bring_about is not None:
        fault_at = time.monotonic()
        scenario.bring_about(cluster)
    load.run_for(RUN_SECONDS)
    if scenario.bring_about in {part_zone, stop_store, freeze_primary}:
        _mend(cluster)
    load.stop()
    name = f'{cluster.shape.name}: {scenario.name}'
    ignored = next(iter(cluster.shape.organisations))
    return build_row(
        name,
        cluster,
        load,
        fault_at,
        left_out=ignored if scenario.greedy else '',
    )


def _add_ordinary(cluster: Cluster, load: Workload) -> None:
    databases = cluster.shape.databases
    for index, name in enumerate(cluster.shape.organisations):
        rate, _burst = cluster.shape.organisations[name]
        load.add_mixed(
            databases[index % len(databases)],
            name,
            list(cluster.daemons),
            rate * RATE_SHARE,
            threads=4,
        )


def _add_contest(cluster: Cluster, load: Workload, greedy: float) -> None:
    database = cluster.shape.databases[0]
    for index, name in enumerate(cluster.shape.organisations):
        load.add_mixed(
            database,
            name,
            list(cluster.daemons),
            QUIET_RATE if index else greedy,
            threads=3 if index else 24,
        )


def _mend(cluster: Cluster) -> None:
    cluster.set_rules()
    cluster.set_fault('up')
    for name in cluster.targets:
        if cluster.processes[name].poll() is None:
            cluster.signal(name, signal.SIGCONT)


if __name__ == '__main__':
    main()
