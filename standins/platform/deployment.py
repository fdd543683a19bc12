"""Start the stand-in platform and entry instances as processes."""

import json
import os
import pathlib
import secrets
import socket
import subprocess
import sys
import threading
import time
import urllib.request
from collections.abc import Sequence
from typing import Final

from standins.cluster import find_ports

ZONE: Final = 'lima-a'
GROUP: Final = 'permits'
TARGETS: Final = ('t-one', 't-two', 't-three')
KEY: Final = 'key-of-blue'
ORGANISATION: Final = 'blue'
_START_SECONDS: Final = 15.0
# Output of each process that a failed start shows.
_TAIL_CHARACTERS: Final = 500


class Deployment:
    """A platform with one group of three targets, and some instances."""

    def __init__(
        self,
        directory: pathlib.Path,
        instances: int,
        lag: float = 0.02,
        has_proxy: bool = False,
        limits: dict | None = None,
        zones: dict[str, str] | None = None,
        bounds: dict | None = None,
        contracts: Sequence[str] = (),
    ) -> None:
        """Choose ports; nothing runs before :meth:`start`.

        :param has_proxy: put a fault proxy before the targets and, for each
            instance, before the platform.
        :param limits: of the instances, as in their settings.
        :param zones: of targets and of instances (``entry-0``) that are not in
            the first one.
        :param bounds: of the instances, as in their settings.
        :param contracts: of the platform, as in the instances' settings.
        """
        links = [*TARGETS, *(f'store-{one}' for one in range(instances))]
        ports = find_ports(2 + len(links) + len(TARGETS) + 4 * instances)
        self._directory = directory
        self._port, self._proxy_port, *rest = ports
        self._links = dict(zip(links, rest, strict=False)) if has_proxy else {}
        rest = rest[len(links) :]
        self._rules: list[dict] = []
        self._lock = threading.Lock()
        self._holds = [threading.Lock() for _ in range(instances)]
        self._targets = dict(zip(TARGETS, rest, strict=False))
        rest = rest[len(TARGETS) :]
        self._instances = [
            rest[4 * number : 4 * number + 4] for number in range(instances)
        ]
        self._lag = lag
        self._limits = limits or {}
        self._zones = zones or {}
        self._bounds = bounds or {}
        self._contracts = list(contracts)
        self._processes: dict[str, subprocess.Popen] = {}

    @property
    def callers_ports(self) -> list[int]:
        """Return where callers connect, by instance."""
        return [ports[0] for ports in self._instances]

    def start(self) -> None:
        """Start everything and wait until all instances are ready."""
        shape = self._directory / 'platform.json'
        shape.write_text(
            json.dumps(
                {
                    'port': self._port,
                    'groups': {GROUP: self._targets},
                    'lag': self._lag,
                    'advertised': self._links,
                    'zones': self._zones,
                }
            )
        )
        self._run('platform', ['standins.platform', str(shape)], {})
        if self._links:
            self._start_proxy()
        self._wait(lambda: self.command(plan=build_plan([KEY])))
        for number in range(len(self._instances)):
            self.start_instance(number)
        for number in range(len(self._instances)):
            self._wait(lambda number=number: self.is_ready(number))

    def start_instance(self, number: int) -> None:
        """Start one instance."""
        callers, ready, peer, metrics = self._instances[number]
        path = self._directory / f'entry-{number}.json'
        host = '127.0.0.1'
        platform = self._links.get(f'store-{number}', self._port)
        path.write_text(
            json.dumps(
                {
                    'instance': {
                        'name': f'entry-{number}',
                        'zone': self.find_zone(f'entry-{number}'),
                        'address': host,
                    },
                    'zones': dict.fromkeys(
                        (ZONE, *self._zones.values()), 'lima'
                    ),
                    'listen': {
                        'callers': f'{host}:{callers}',
                        'ready': f'{host}:{ready}',
                        'peer_port': peer,
                        'metrics_port': metrics,
                    },
                    'store': {'address': f'{host}:{platform}'},
                    'promotion': {'address': f'{host}:{platform}'},
                    'limits': self._limits,
                    'bounds': self._bounds,
                    'overload': {'contracts': self._contracts},
                }
            )
        )
        self._run(
            f'entry-{number}',
            ['comfreystair.entry'],
            {'COMFREYSTAIR_SETTINGS': str(path)},
        )

    def find_zone(self, name: str) -> str:
        """Return the zone of a target or of an instance."""
        return self._zones.get(name, ZONE)

    def add_rule(self, rule: dict) -> None:
        """Put a rule of the proxy in force besides the others."""
        with self._lock:
            self._rules.append(rule)
            self._send_rules()

    def drop_rule(self, rule: dict) -> None:
        """End a rule of the proxy."""
        with self._lock:
            self._rules.remove(rule)
            self._send_rules()

    def hold_instance(self, number: int) -> threading.Lock:
        """Return what keeps others from signalling an instance meanwhile."""
        return self._holds[number]

    def can_write(self, number: int) -> bool:
        """Tell whether an instance serves a write."""
        try:
            caller = Caller(self.callers_ports[number], 'strict')
            answer = caller.ask(f'WRITE probe-{number} x')
        except OSError:
            return False
        caller.close()
        return answer[0].startswith('COMPLETE')

    def is_ready(self, number: int) -> bool:
        """Tell whether an instance says that it takes callers."""
        port = self._instances[number][1]
        url = f'http://127.0.0.1:{port}/ready'
        with urllib.request.urlopen(url, timeout=1) as answer:
            return answer.status == 200

    def read_metrics(self, number: int) -> str:
        """Return an instance's metrics."""
        port = self._instances[number][3]
        url = f'http://127.0.0.1:{port}/metrics'
        with urllib.request.urlopen(url, timeout=1) as answer:
            return answer.read().decode()

    def command(self, **command: object) -> dict:
        """Have the platform do something and return what it saw so far."""
        request = urllib.request.Request(
            f'http://127.0.0.1:{self._port}/test',
            data=json.dumps(command).encode(),
        )
        with urllib.request.urlopen(request, timeout=2) as answer:
            return json.loads(answer.read())

    def signal(self, number: int, signal_number: int) -> None:
        """Send a signal to an instance."""
        self._processes[f'entry-{number}'].send_signal(signal_number)

    def wait_for_end(self, number: int, seconds: float) -> int:
        """Return an instance's exit status."""
        return self._processes[f'entry-{number}'].wait(seconds)

    def read_log(self, number: int) -> str:
        """Return what an instance has logged."""
        return (self._directory / f'entry-{number}.log').read_text()

    def stop(self) -> None:
        """End all processes."""
        for process in self._processes.values():
            process.kill()
            process.wait()

    def _start_proxy(self) -> None:
        words = ['standins.proxy', '--control', str(self._proxy_port)]
        for name, port in self._links.items():
            end = self._targets.get(name, self._port)
            words += ['--link', f'{name}={port}:127.0.0.1:{end}']
        self._run('proxy', words, {})
        self._wait(lambda: self._send_rules() or True)

    def _send_rules(self) -> None:
        address = ('127.0.0.1', self._proxy_port)
        with socket.create_connection(address, timeout=2) as sock:
            sock.sendall(json.dumps(self._rules).encode() + b'\n')
            sock.recv(16)

    def _run(self, name: str, module: list[str], env: dict) -> None:
        with open(self._directory / f'{name}.log', 'ab') as output:
            self._processes[name] = subprocess.Popen(
                [sys.executable, '-m', *module],
                env={**os.environ, **env},
                stdout=output,
                stderr=output,
            )

    def _read_tails(self) -> str:
        """Return the end of every process's output, to explain a failure."""
        return '\n'.join(
            f'{path.name}: {path.read_text()[-_TAIL_CHARACTERS:]}'
            for path in sorted(self._directory.glob('*.log'))
        )

    def _wait(self, attempt) -> None:
        give_up_at = time.monotonic() + _START_SECONDS
        while True:
            try:
                if attempt():
                    return
            except OSError:
                if time.monotonic() > give_up_at:
                    raise TimeoutError(self._read_tails()) from None
            time.sleep(0.05)


def build_plan(
    keys: list[str],
    rate: float = 5000,
    version: int = 1,
    sync_replicas: int = 0,
) -> dict:
    """Return the operators' document with a route of each kind."""
    return {
        'Version': version,
        'Routes': [
            _build_route('strict', 'primary', 0),
            _build_route('loose', 'bounded_stale', 1500),
            _build_route('own', 'read_your_writes', 2500),
        ],
        'Services': [
            {'Name': GROUP, 'MaxConns': 34, 'SyncReplicas': sync_replicas}
        ],
        'Limits': {'TxIdleMs': 3000},
        'Tenants': [
            {
                'Name': ORGANISATION,
                'ApiKeys': keys,
                'RatePerS': rate,
                'Burst': rate,
            }
        ],
    }


def _build_route(database: str, kind: str, max_age_ms: int) -> dict:
    return {
        'Name': f'r-{database}',
        'Host': database,
        'Type': kind,
        'TimeoutMs': 1500,
        'TargetLatencyMs': 400,
        'Prio': 1,
        'Service': GROUP,
        'MaxStaleMs': max_age_ms,
        'Public': False,
    }


class Caller:
    """A caller's session, with blocking calls."""

    def __init__(self, port: int, database: str, key: str = KEY) -> None:
        """Connect and introduce itself."""
        self._sock = socket.create_connection(('127.0.0.1', port), timeout=5)
        self._stream = self._sock.makefile('rb')
        self.last_ident = ''
        self._sock.sendall(f'STARTUP {database} {key}\r\n'.encode())
        self.greeting = self._read_line()

    def ask(self, text: str) -> tuple[str, ...]:
        """Run a statement and return the lines of its answer."""
        ident = secrets.token_hex(8)
        self.last_ident = ident
        self._sock.sendall(f'QUERY {ident} {text}\r\n'.encode())
        lines = [self._read_line()]
        while lines[-1] and not lines[-1].startswith('READY'):
            lines.append(self._read_line())
        return tuple(lines)

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    def _read_line(self) -> str:
        line = self._stream.readline()
        while line and not line.endswith(b'\r\n'):
            more = self._stream.readline()
            if not more:
                break
            line += more
        return line.decode().removesuffix('\r\n')
