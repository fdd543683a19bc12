"""Start a whole deployment of stand-ins and daemons on this machine."""

import base64
import json
import os
import pathlib
import random
import socket
import subprocess
import sys
import time
import urllib.request
from typing import NamedTuple

from comfreystair.callers.keys import make_verifier
from comfreystair.filters.idempotency import OUTCOMES_TABLE_SQL

READY_SECONDS = 20
TARGETS = 3
FIRST_PORT = 10000
LAST_PORT = 32000
SECRET = 'peer-secret'
TABLES = (
    'CREATE TABLE permits (id INTEGER PRIMARY KEY, holder TEXT, '
    'renewals INTEGER);'
    'CREATE TABLE receipts (id TEXT PRIMARY KEY, permit INTEGER);'
    + OUTCOMES_TABLE_SQL
)


class Shape(NamedTuple):
    """The size of a deployment.

    :param organisations: pairs of rate and burst, by name.
    """

    name: str
    zones: tuple[str, ...]
    databases: tuple[str, ...]
    daemons: int
    slots: int
    connections: int
    organisations: dict[str, tuple[float, float]]
    service_ms: float = 0
    lag_ms: float = 0


def find_ports(count: int) -> list[int]:
    """Return ports that nobody uses, below those of outgoing connections."""
    ports: list[int] = []
    chooser = random.Random(os.getpid() + time.monotonic_ns())
    while len(ports) < count:
        port = chooser.randrange(FIRST_PORT, LAST_PORT)
        if port not in ports and _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(('0.0.0.0', port))
        except OSError:
            return False
    return True


def post(address: str, path: str, body: object) -> object:
    """POST JSON to the platform and decode the answer."""
    request = urllib.request.Request(
        f'http://{address}{path}', json.dumps(body).encode(), method='POST'
    )
    with urllib.request.urlopen(request, timeout=5) as answer:
        return json.load(answer)


class Cluster:
    """Processes of one deployment, by name."""

    def __init__(
        self, shape: Shape, directory: pathlib.Path, has_proxy: bool = False
    ) -> None:
        """Choose ports and keys; nothing starts before :meth:`start`.

        :param has_proxy: put the fault proxy before targets, daemons' peer
            ports and the store.
        """
        self.shape = shape
        self.directory = directory
        directory.mkdir(parents=True, exist_ok=True)
        self.processes: dict[str, subprocess.Popen] = {}
        self.commands: dict[str, list[str]] = {}
        self.keys = {name: f'key-of-{name}' for name in shape.organisations}
        targets = [
            f'{database}-{index}'
            for database in shape.databases
            for index in range(TARGETS)
        ]
        names = [f'daemon-{index}' for index in range(shape.daemons)]
        ports = iter(find_ports(3 + 3 * shape.daemons + 2 * len(targets)))
        self.store = f'127.0.0.1:{next(ports)}'
        self.control = next(ports)
        self.targets = {name: next(ports) for name in targets}
        self.daemons = {name: (next(ports), next(ports)) for name in names}
        self.hosts = {
            name: f'127.0.{kind}.{index + 1}'
            for kind, group in ((1, names), (2, targets))
            for index, name in enumerate(group)
        }
        self.links: dict[str, int] = {}
        if has_proxy:
            self.links = {
                name: next(ports) for name in ('store', *names, *targets)
            }
        self.settings_overrides: dict[str, dict] = {}
        self.without = os.environ.get('COMFREYSTAIR_WITHOUT', '')

    def start(self) -> None:
        """Start everything, ship the manifest and wait until it serves."""
        self.start_store()
        self.start_proxy()
        for database in self.shape.databases:
            self.start_group(database)
        for name in self.daemons:
            self.write_settings(name)
            self.start_daemon(name)
        self.list_instances()
        self.ship(self.build_manifest())
        self.wait_ready()

    def spawn(self, name: str, command: list[str]) -> None:
        """Start a process; its output goes to a file."""
        self.commands[name] = command
        with (self.directory / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                command,
                stdout=log,
                stderr=log,
                cwd=pathlib.Path(__file__).parent.parent,
            )

    def start_store(self) -> None:
        """Start the platform."""
        port = self.store.rsplit(':', 1)[1]
        self.spawn(
            'store', [sys.executable, '-m', 'standins.store', '--port', port]
        )
        wait_port(int(port))

    def start_proxy(self) -> None:
        """Start the fault proxy, if there are links."""
        if not self.links:
            return
        command = [sys.executable, '-m', 'standins.proxy']
        command += ['--control', str(self.control)]
        for name, port in self.links.items():
            command += ['--link', f'{name}={port}:{self.find_upstream(name)}']
        self.spawn('proxy', command)
        wait_port(self.control)

    def find_upstream(self, name: str) -> str:
        """Return where a process really listens."""
        if name == 'store':
            return self.store
        if name in self.targets:
            return f'{self.hosts[name]}:{self.targets[name]}'
        return f'{self.hosts[name]}:{self.daemons[name][1]}'

    def find_address(self, name: str) -> str:
        """Return where others reach a process, by the proxy if there is."""
        if name in self.links:
            return f'127.0.0.1:{self.links[name]}'
        return self.find_upstream(name)

    def find_zone(self, name: str) -> str:
        """Return the availability zone of a daemon or a target."""
        zones = self.shape.zones
        index = int(name.rsplit('-', 1)[1])
        return zones[index % len(zones)]

    def set_rules(self, *rules: dict) -> None:
        """Replace the rules of the fault proxy; ends are process names."""
        encoded = [
            {**rule, 'source': self.hosts.get(rule.get('source', '*'), '*')}
            for rule in rules
        ]
        with socket.create_connection(('127.0.0.1', self.control), 5) as sock:
            sock.sendall(json.dumps(encoded).encode() + b'\n')
            sock.recv(16)

    def cut(self, ones: list[str], others: list[str]) -> list[dict]:
        """Return rules that part two sides from each other."""
        return [
            {'source': source, 'destination': destination, 'mode': 'cut'}
            for near, far in ((ones, others), (others, ones))
            for source in near
            for destination in far
            if source in self.hosts
        ]

    def start_group(self, database: str) -> None:
        """Start the targets of a database, the first as primary."""
        names = [name for name in self.targets if name.startswith(database)]
        for name in names:
            self.start_target(name, names[0])
        for name in names:
            wait_port(self.targets[name], self.hosts[name])

    def start_target(self, name: str, primary: str) -> None:
        """Start one target, with a journal that outlives it."""
        shape = self.shape
        command = [sys.executable, '-m', 'standins.target']
        command += ['--port', str(self.targets[name])]
        command += ['--host', self.hosts[name]]
        command += ['--slots', str(shape.slots)]
        command += ['--connections', str(shape.connections)]
        command += ['--service-ms', str(shape.service_ms)]
        command += ['--lag-ms', str(shape.lag_ms)]
        command += ['--journal', str(self.directory / f'{name}.journal')]
        command += ['--wire-log', str(self.directory / f'{name}.wire')]
        if name == primary:
            command += ['--primary', '--setup', TABLES]
        else:
            command += ['--follow', self.find_address(primary)]
        self.spawn(name, command)

    def start_daemon(self, name: str) -> None:
        """Start one daemon."""
        command = [sys.executable, '-m', 'comfreystair.daemon']
        if self.without:
            command = [sys.executable, '-m', 'standins.plain', self.without]
        path = str(self.directory / f'{name}.json')
        self.spawn(name, [*command, '--settings', path])

    def write_settings(self, name: str) -> None:
        """Write the settings file of one daemon."""
        callers, peers = self.daemons[name]
        index = list(self.daemons).index(name)
        zones = self.shape.zones
        settings = {
            'version': 1,
            'instance': {
                'name': name,
                'zone': zones[index % len(zones)],
                'address': self.hosts[name],
            },
            'callers': {'port': callers},
            'targets': {'user': 'comfreystair', 'password': 'target-secret'},
            'platform': {
                'store': self.find_address('store'),
                'instances': self.find_address('store'),
            },
            'peers': {
                'port': peers,
                'host': self.hosts[name],
                'advertised': self.find_address(name),
                'secret': SECRET,
            },
        }
        for section, entries in self.settings_overrides.items():
            settings.setdefault(section, {}).update(entries)
        path = self.directory / f'{name}.json'
        path.write_text(json.dumps(settings, indent=2))

    def list_instances(self, leaving: tuple[str, ...] = ()) -> None:
        """Tell the platform which instances there are."""
        zones = self.shape.zones
        post(
            self.store,
            '/admin/instances',
            [
                {
                    'name': name,
                    'zone': zones[index % len(zones)],
                    'address': self.find_address(name),
                    'state': 'leaving' if name in leaving else 'live',
                }
                for index, name in enumerate(self.daemons)
            ],
        )

    def set_fault(self, mode: str, delay_ms: float = 0) -> None:
        """Order a fault of the platform."""
        post(self.store, '/admin/fault', {'mode': mode, 'delay_ms': delay_ms})

    def build_manifest(self) -> dict:
        """Build the manifest of the deployment."""
        return {
            'version': 1,
            'deployment': self.shape.name,
            'databases': [
                self.build_database(name) for name in self.shape.databases
            ],
            'organisations': [
                self.build_organisation(name)
                for name in self.shape.organisations
            ],
            'services': [
                {
                    'name': f'service-{name}',
                    'database': name,
                    'organisations': list(self.shape.organisations),
                    'routes': [
                        {
                            'name': 'badge',
                            'kind': 'read',
                            'max_age_ms': 2000,
                            'is_repeatable': True,
                        },
                        {
                            'name': 'renew',
                            'kind': 'write',
                            'requires_key': True,
                        },
                    ],
                }
                for name in self.shape.databases
            ],
        }

    def build_database(self, database: str) -> dict:
        """Build the manifest's entry of one database."""
        names = [name for name in self.targets if name.startswith(database)]
        zones = self.shape.zones
        return {
            'name': database,
            'targets': [
                {
                    'name': name,
                    'address': self.find_address(name),
                    'zone': zones[index % len(zones)],
                    'slots': self.shape.slots,
                    'connections': self.shape.connections,
                }
                for index, name in enumerate(names)
            ],
        }

    def build_organisation(self, name: str) -> dict:
        """Build the manifest's entry of one organisation."""
        rate, burst = self.shape.organisations[name]
        salt = name.encode().ljust(16, b'-')[:16]
        stored_key, server_key = make_verifier(self.keys[name], salt)
        return {
            'name': name,
            'rate': rate,
            'burst': burst,
            'salt': base64.b64encode(salt).decode(),
            'keys': [
                {
                    'id': 'first',
                    'stored_key': stored_key,
                    'server_key': server_key,
                }
            ],
        }

    def ship(
        self, manifest: dict, *options: str
    ) -> subprocess.CompletedProcess:
        """Ship a manifest with the operators' command."""
        path = self.directory / 'manifest.json'
        path.write_text(json.dumps(manifest, indent=2))
        command = ['manifest', 'ship', str(path), '--store', self.store]
        return self.run_command(*command, *options)

    def run_command(self, *words: str) -> subprocess.CompletedProcess:
        """Run the operators' command to its end."""
        code = 'from comfreystair.management import main; main()'
        return subprocess.run(
            [sys.executable, '-c', code, *words],
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )

    def wait_ready(self) -> None:
        """Wait until every daemon sees a primary of every database."""
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            states = self.list_status()
            if len(states) == len(self.daemons) and all(
                _is_ready(state, len(self.daemons)) for state in states
            ):
                return
            time.sleep(0.2)
        raise TimeoutError('the deployment did not become ready')

    def list_status(self) -> list[dict]:
        """Return the status documents of all daemons that answer."""
        first = next(
            name for name in self.daemons if self.processes[name].poll() is None
        )
        address = self.find_upstream(first)
        ran = self.run_command(
            'status', '--daemon', address, '--secret', SECRET, '--json'
        )
        if ran.returncode:
            return []
        answers = json.loads(ran.stdout).values()
        return [answer for answer in answers if 'error' not in answer]

    def find_dsn(self, daemon: str, organisation: str, database: str) -> str:
        """Return the connection string for a caller."""
        return (
            f'host=127.0.0.1 port={self.daemons[daemon][0]} '
            f'user={organisation} password={self.keys[organisation]} '
            f'dbname={database}'
        )

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        self.processes[name].kill()
        self.processes[name].wait()

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process that this cluster started."""
        os.kill(self.processes[name].pid, number)

    def restart(self, name: str) -> None:
        """Start a process again with the command it had."""
        self.spawn(name, self.commands[name])

    def stop(self) -> None:
        """Kill everything that still runs."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()


def wait_port(port: int, host: str = '127.0.0.1') -> None:
    """Wait until somebody listens on a port."""
    deadline = time.monotonic() + READY_SECONDS
    while time.monotonic() < deadline:
        with socket.socket() as sock:
            if sock.connect_ex((host, port)) == 0:
                return
        time.sleep(0.02)
    raise TimeoutError(f'nobody listens on port {port}')


def _is_ready(state: dict, daemons: int) -> bool:
    groups = state['databases'].values()
    return bool(groups) and (
        all(group['primary'] for group in groups)
        and state['is_settled']
        and len(state['live']) == daemons
        and state['share'] > 0
    )
