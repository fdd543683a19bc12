"""Compare the daemon with a bare relay: ``python -m standins.bench``."""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
from typing import NamedTuple

import click

from standins.cluster import Cluster, Shape, find_ports, wait_port

CONNECTIONS = 100
MANY = 2300
SECONDS = 6.0
SETTLE_SECONDS = 300
TARGET_RATIO = 0.5
TARGET_RATE = 2300
CLOCK_TICKS = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
SHAPE = Shape(
    name='bench',
    zones=('one',),
    databases=('north',),
    daemons=1,
    slots=64,
    connections=10000,
    organisations={'blue': (1000000, 1000000)},
)


class Measure(NamedTuple):
    """One run of the load tool.

    :param per_core: statements for each second of the process's own time.
    """

    per_second: float
    per_core: float
    p50_ms: float
    p99_ms: float
    cpu_seconds: float


@click.command()
@click.option('--seconds', default=SECONDS, show_default=True)
@click.option('--json', 'is_json', is_flag=True)
def main(seconds: float, is_json: bool) -> None:
    """Print throughput, latency and memory of the daemon and the relay."""
    with tempfile.TemporaryDirectory() as directory:
        cluster = Cluster(SHAPE, pathlib.Path(directory))
        try:
            cluster.start()
            found = _measure(cluster, seconds)
        finally:
            cluster.stop()
    if is_json:
        click.echo(json.dumps(found, indent=2))
    else:
        _print(found)


def _measure(cluster: Cluster, seconds: float) -> dict:
    relay_port = _start_relay(cluster)
    daemon_port = cluster.daemons['daemon-0'][0]
    relay = _run_load(
        cluster, 'relay', relay_port, 'comfreystair', 'target-secret', seconds
    )
    daemon = _run_load(
        cluster,
        'daemon-0',
        daemon_port,
        'blue',
        cluster.keys['blue'],
        seconds,
    )
    before = _read_memory(cluster, 'daemon-0')
    load = _start_load(
        daemon_port,
        'blue',
        cluster.keys['blue'],
        MANY,
        seconds,
        rate=TARGET_RATE,
    )
    _wait_ready(load)
    after = _read_memory(cluster, 'daemon-0')
    many = _finish_load(load)
    return {
        'relay': relay._asdict(),
        'daemon': daemon._asdict(),
        'ratio': round(daemon.per_core / relay.per_core, 3),
        'many': many,
        'bytes_per_idle_connection': (after - before) // MANY,
        'profile': _profile(cluster, seconds),
    }


def _start_relay(cluster: Cluster) -> int:
    port = find_ports(1)[0]
    command = [sys.executable, '-m', 'standins.relay', '--port', str(port)]
    for name in list(cluster.targets)[1:]:
        command += ['--target', cluster.find_upstream(name)]
    cluster.spawn('relay', command)
    wait_port(port)
    return port


def _run_load(
    cluster: Cluster,
    process: str,
    port: int,
    user: str,
    password: str,
    seconds: float,
) -> Measure:
    loads = [
        _start_load(port, user, password, CONNECTIONS // 2, seconds)
        for _ in range(2)
    ]
    for load in loads:
        _wait_ready(load)
    before = _read_cpu(cluster, process)
    found = [_finish_load(load) for load in loads]
    used = _read_cpu(cluster, process) - before
    answered = sum(one['answered'] for one in found)
    return Measure(
        sum(one['per_second'] for one in found),
        round(answered / used, 1),
        max(one['p50_ms'] for one in found),
        max(one['p99_ms'] for one in found),
        round(used, 2),
    )


def _start_load(
    port: int,
    user: str,
    password: str,
    connections: int,
    seconds: float,
    rate: float = 0,
) -> subprocess.Popen:
    command = [sys.executable, '-m', 'standins.load']
    command += ['--address', f'127.0.0.1:{port}']
    command += ['--user', user, '--password', password]
    command += ['--connections', str(connections)]
    command += ['--seconds', str(seconds), '--rate', str(rate)]
    return subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    )


def _wait_ready(load: subprocess.Popen) -> None:
    line = load.stderr.readline()
    if line.strip() != 'ready':
        raise RuntimeError(line + load.stderr.read())


def _finish_load(load: subprocess.Popen) -> dict:
    output, errors = load.communicate(timeout=SETTLE_SECONDS)
    if load.returncode:
        raise RuntimeError(errors)
    return json.loads(output)


def _read_cpu(cluster: Cluster, process: str) -> float:
    pid = cluster.processes[process].pid
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / CLOCK_TICKS


def _read_memory(cluster: Cluster, process: str) -> int:
    pid = cluster.processes[process].pid
    fields = pathlib.Path(f'/proc/{pid}/statm').read_text().split()
    return int(fields[1]) * PAGE_BYTES


def _profile(cluster: Cluster, seconds: float) -> list[str]:
    """Run once more under the profiler and return what cost most."""
    cluster.processes['daemon-0'].terminate()
    cluster.processes['daemon-0'].wait(timeout=30)
    path = cluster.directory / 'daemon.prof'
    settings = str(cluster.directory / 'daemon-0.json')
    code = (
        'import cProfile, sys; from comfreystair import daemon; '
        f'sys.argv = ["daemon", "--settings", {settings!r}]; '
        f'cProfile.run("daemon.main()", {str(path)!r}, "tottime")'
    )
    cluster.spawn('daemon-0', [sys.executable, '-c', code])
    cluster.wait_ready()
    port = cluster.daemons['daemon-0'][0]
    load = _start_load(
        port, 'blue', cluster.keys['blue'], CONNECTIONS, seconds / 2
    )
    _finish_load(load)
    cluster.processes['daemon-0'].terminate()
    cluster.processes['daemon-0'].wait(timeout=30)
    return _read_profile(path)


def _read_profile(path: pathlib.Path) -> list[str]:
    import pstats

    stats = pstats.Stats(str(path)).stats
    total = sum(entry[2] for entry in stats.values())
    ranked = sorted(stats.items(), key=lambda one: one[1][2], reverse=True)
    lines = []
    for (source, line, name), entry in ranked[:14]:
        place = f'{pathlib.Path(source).name}:{line} {name}'
        lines.append(f'{entry[2] / total:6.1%} {entry[0]:>8} {place}')
    return lines


def _print(found: dict) -> None:
    for name in ('relay', 'daemon'):
        one = found[name]
        click.echo(
            f'{name:<8} {one["per_second"]:>8.0f}/s  '
            f'{one["per_core"]:>8.0f} a core-second  '
            f'p50 {one["p50_ms"]:.2f} ms  p99 {one["p99_ms"]:.2f} ms'
        )
    click.echo(f'ratio {found["ratio"]} (target {TARGET_RATIO})')
    many = found['many']
    click.echo(
        f'{many["connections"]} connections: {many["per_second"]}/s '
        f'(target {TARGET_RATE})  p50 {many["p50_ms"]:.2f} ms  '
        f'p99 {many["p99_ms"]:.2f} ms  '
        f'{found["bytes_per_idle_connection"]} bytes an idle connection'
    )
    click.echo('what costs most, by own time:')
    for line in found['profile']:
        click.echo(f'  {line}')


if __name__ == '__main__':
    main()
