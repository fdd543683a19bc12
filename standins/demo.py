"""Show the whole system on one machine: ``python -m standins.demo --help``."""

import json
import pathlib
import signal
import sys
import tempfile
import time

import click

from standins.cluster import Cluster
from standins.platform.demo import show_platform
from standins.reports import build_row, print_table
from standins.shapes import LIMA, scale_down
from standins.workload import Workload

SEED = 20261204
WARM_SECONDS = 4
FAULT_SECONDS = 6


@click.command()
@click.option('--serve', is_flag=True, help='Serve until interrupted.')
@click.option('--run-directory', default='.run', show_default=True)
def main(serve: bool, run_directory: str) -> None:
    """Start a copy of Lima, run callers, kill a primary, print a table."""
    if serve:
        _serve(pathlib.Path(run_directory))
    else:
        sys.exit(max(_demonstrate(), show_platform()))


def _serve(directory: pathlib.Path) -> None:
    shape = scale_down(LIMA)
    cluster = Cluster(shape, directory / 'processes')
    # A shell that starts it in the background leaves SIGINT ignored.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)
    try:
        cluster.start()
        addresses = {
            'callers': [
                f'127.0.0.1:{callers}'
                for callers, _peers in cluster.daemons.values()
            ],
            'database': shape.databases[0],
            'organisations': cluster.keys,
            'daemons': [
                cluster.find_upstream(name) for name in cluster.daemons
            ],
            'store': cluster.store,
        }
        path = directory / 'addresses.json'
        path.write_text(json.dumps(addresses, indent=2))
        click.echo(f'serving; addresses are in {path}')
        signal.pause()
    except KeyboardInterrupt:
        click.echo('stopping')
    finally:
        cluster.stop()


def _demonstrate() -> int:
    shape = scale_down(LIMA)
    with tempfile.TemporaryDirectory() as directory:
        cluster = Cluster(shape, pathlib.Path(directory))
        try:
            cluster.start()
            return _run(cluster)
        finally:
            cluster.stop()


def _run(cluster: Cluster) -> int:
    database = cluster.shape.databases[0]
    load = Workload(cluster, SEED)
    daemons = list(cluster.daemons)
    for organisation in cluster.shape.organisations:
        load.add_mixed(database, organisation, daemons, rate=8)
    load.start()
    load.run_for(WARM_SECONDS)
    killed_at = time.monotonic()
    cluster.kill(f'{database}-0')
    load.run_for(FAULT_SECONDS)
    load.stop()
    row = build_row('primary killed', cluster, load, killed_at)
    print_table([row])
    return 0 if row.is_kept else 1


if __name__ == '__main__':
    main()
