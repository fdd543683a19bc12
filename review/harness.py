"""Stand-ins for the platform, the databases and the clients of a small site.

One event loop runs the platform's store, its call for promotions and one
group of databases. The entry instances are the project's own programs, each
started as a process of its own with the command of the deploy file.
"""

import asyncio
import base64
import collections
import contextlib
import json
import os
import pathlib
import secrets
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
SERVICE = 'permits-db'
ZONES = ('lima-cercado', 'lima-miraflores', 'lima-norte')
TARGETS = ('i-one', 'i-three', 'i-two')
PROMOTE_SECONDS = 0.6
BEAT_SECONDS = 1.2
STORE_ANSWER_SECONDS = 0.004
LONGEST_SECONDS = 105
# The bounds of badges-lima, as its sheet gives them.
BOUNDS = {
    'key_revocation_ms': 5000,
    'configuration_ms': 3000,
    'contact_ms': 4000,
    'shutdown_ms': 6000,
    'drain_ms': 7000,
    'rate_window_ms': 5000,
}
CONTRACTS = 'base drain config cost recover sql tenants quota platform'.split()

# How a connection ends; the last one when the script does.
_ENDS = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)

has_trouble = os.environ.get('TROUBLE', '1') != '0'
_began_at = time.monotonic()


def now():
    """Return the seconds since the script began."""
    return time.monotonic() - _began_at


class CouldNotRunError(Exception):
    """The case could not be brought about."""


class Record:
    """What was sent, answered and run, in the order of its times."""

    def __init__(self, path):
        """Open the file anew."""
        self._file = open(path, 'w', encoding='utf-8')

    def write(self, what, **fields):
        """Write one line."""
        told = ' '.join(f'{name}={text}' for name, text in fields.items())
        self._file.write(f'{now():8.3f} {what} {told}\n')

    def flush(self):
        """Write the lines out."""
        self._file.flush()


class Store:
    """The platform's store."""

    def __init__(self, record):
        """Start with revision 100, without keys."""
        self.record = record
        self.items = {}
        self.rev = 100
        # How many seconds old the answers to reads with AllowStale are.
        self.stale_seconds = 0.0
        self._snapshots = collections.deque([(now(), {}, 100)])
        # Called with the id of each lease that is renewed.
        self.on_renewal = None
        self._leases = {}
        self._lease_ids = iter(range(1000, 10**9))

    def put(self, key, value, lease=0):
        """Write one key with a revision of its own."""
        self.rev += 1
        self._set(key, value, lease)
        self._remember()

    def put_json(self, key, document):
        """Write a document."""
        blob = json.dumps(document).encode()
        self.put(key, base64.b64encode(blob).decode())

    def read_json(self, key):
        """Return a document, or nothing."""
        item = self.items.get(key)
        return json.loads(base64.b64decode(item['Value'])) if item else None

    def remove(self, key):
        """Remove a key."""
        self.rev += 1
        self.items.pop(key, None)
        self._remember()

    async def expire(self):
        """End leases until cancelled."""
        while True:
            for ident, (ends_at, _ttl) in list(self._leases.items()):
                if ends_at <= now():
                    self._end(ident)
            await asyncio.sleep(0.02)

    def answer(self, method, path, query, body, caller):
        """Return the status and the body for a call."""
        if path == '/kv-key':
            item = self._view(query)[0].get(query['Key'])
            return (200, item) if item else (404, {})
        if path == '/kv-range':
            items, rev = self._view(query)
            found = [
                items[key]
                for key in sorted(items)
                if key.startswith(query['Prefix'])
            ]
            return 200, {'items': found, 'HasMore': False, 'AtRev': rev}
        if path == '/kv-txn':
            return self._change(body, caller)
        if path == '/kv-lease':
            ident = next(self._lease_ids)
            ttl = body['TtlMs'] / 1000
            self._leases[ident] = (now() + ttl, ttl)
            return 200, {'LeaseId': ident, 'TtlMs': body['TtlMs']}
        ident = int(path.rpartition('/')[2])
        if path.startswith('/kv-keep/'):
            if ident not in self._leases:
                return 404, {}
            if self.on_renewal:
                self.on_renewal(ident)
            ttl = self._leases[ident][1]
            self._leases[ident] = (now() + ttl, ttl)
            return 200, {'TtlMs': int(ttl * 1000)}
        self._end(ident)
        return 200, {}

    def _view(self, query):
        if not query.get('AllowStale') or not self.stale_seconds:
            return self.items, self.rev
        wanted = now() - self.stale_seconds
        found = self._snapshots[0]
        for snapshot in self._snapshots:
            if snapshot[0] > wanted:
                break
            found = snapshot
        return found[1], found[2]

    def _change(self, body, caller):
        expected = body.get('Expected') or []
        is_met = all(
            (self.items.get(one['Key']) or {'Rev': 0})['Rev'] == one['Rev']
            for one in expected
        )
        if not is_met:
            found = [
                self.items[one['Key']]
                for one in expected
                if one['Key'] in self.items
            ]
            return 412, {'items': found}
        writes = body.get('Writes') or []
        for one in writes:
            if one.get('LeaseId') and one['LeaseId'] not in self._leases:
                return 404, {}
        if not writes and not body.get('Deletes'):
            return 200, {'Rev': self.rev}
        self.rev += 1
        for one in writes:
            self._set(one['Key'], one['Value'], one.get('LeaseId', 0))
        for key in body.get('Deletes') or []:
            self.items.pop(key, None)
        self._remember()
        for one in writes:
            value = base64.b64decode(one['Value']).decode()
            self.record.write(
                'stored', by=caller, rev=self.rev, key=one['Key'], value=value
            )
        return 200, {'Rev': self.rev}

    def _set(self, key, value, lease):
        old = self.items.get(key)
        self.items[key] = {
            'Key': key,
            'Value': value,
            'Rev': self.rev,
            'CreatedRev': old['CreatedRev'] if old else self.rev,
            'LeaseId': lease,
        }

    def _end(self, ident):
        self._leases.pop(ident, None)
        gone = [k for k, v in self.items.items() if v['LeaseId'] == ident]
        if gone:
            self.rev += 1
            for key in gone:
                self.items.pop(key)
                self.record.write('lease_ended', key=key)
            self._remember()

    def _remember(self):
        self._snapshots.append((now(), dict(self.items), self.rev))
        while self._snapshots[1][0] < now() - 30:
            self._snapshots.popleft()


class Entry:
    """One committed write of a log."""

    def __init__(self, term, number, writes):
        """Take the position and the pairs of item and data."""
        self.term = term
        self.number = number
        self.writes = writes
        self.at = now()


class Target:
    """One backend."""

    def __init__(self, ident, zone, port):
        """Start as a replica with an empty log."""
        self.ident = ident
        self.zone = zone
        self.port = port
        self.is_primary = False
        self.term = 1
        self.log = []
        self.state = 'ready'
        # It takes connections and answers nothing.
        self.is_dark = False
        # Its process has crashed: connections are refused.
        self.down_since = None
        self.server = None
        # It can't reach the store; the instances and the others reach it.
        self.is_cut_from_store = False
        self.written_at = now()
        # How long a commit takes to reach it, in seconds.
        self.receive_seconds = 0.0
        self.up_since = 0.0
        # It receives nothing from the primary.
        self.is_deaf = False
        # How long STATUS and STEPDOWN wait for a slot.
        self.status_seconds = 0.002
        self.step_down_seconds = 0.002
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.connections = set()
        self.slots = asyncio.Semaphore(4)

    @property
    def is_up(self):
        """Tell whether it runs and can be reached."""
        return not self.is_dark and self.down_since is None

    @property
    def position(self):
        """Return TERM.NUMBER of the log's end."""
        if not self.log:
            return f'{self.term}.0'
        return f'{self.log[-1].term}.{self.log[-1].number}'

    def holds(self, position):
        """Tell whether the log holds a position."""
        wanted = tuple(int(part) for part in position.split('.'))
        own = tuple(int(part) for part in self.position.split('.'))
        return own >= wanted

    def find(self, item):
        """Return the newest data of an item."""
        for entry in reversed(self.log):
            for name, data in reversed(entry.writes):
                if name == item:
                    return data
        return 'none'


class Group:
    """The backends of one service."""

    def __init__(self, record, store):
        """Make three targets, of which the first one leads."""
        self.record = record
        self.store = store
        ports = find_ports(len(TARGETS))
        self.targets = {
            ident: Target(ident, zone, port)
            for ident, zone, port in zip(TARGETS, ZONES, ports, strict=True)
        }
        self.targets[TARGETS[0]].is_primary = True
        # Every statement that ran: time, target, id, text, tenant.
        self.runs = []
        self.promotions = []
        # How many replicas must have received a commit.
        self.sync_replicas = 0
        # Called with the target and the caller's address at each STEPDOWN.
        self.on_step_down = None

    async def serve(self):
        """Listen at all targets."""
        for target in self.targets.values():
            await self.start(target)

    async def start(self, target):
        """Start a target, which has the log that it had."""
        target.server = await asyncio.start_server(
            lambda reader, writer: self._accept(target, reader, writer),
            '127.0.0.1',
            target.port,
            limit=2**21,
        )
        target.down_since = None
        target.up_since = now()
        primary = self.primary
        if target.is_primary and primary is not target:
            target.is_primary = False
        self.record.write('backend_up', target=target.ident)

    def crash(self, target):
        """End a target's process; its connections are reset."""
        target.down_since = now()
        target.server.close()
        for writer in list(target.connections):
            writer.transport.abort()
        self.record.write('backend_down', target=target.ident)

    async def replicate(self):
        """Send new commits to the replicas until cancelled."""
        while True:
            await asyncio.sleep(0.005)
            primary = self.primary
            if primary is None or not primary.is_up:
                continue
            for target in self.targets.values():
                is_behind = target.term <= primary.term
                if target is primary or not target.is_up or target.is_deaf:
                    continue
                if is_behind and not target.is_primary:
                    self._receive(target, primary)

    def _receive(self, target, primary):
        """Give a replica what has had the time to reach it."""
        before = now() - target.receive_seconds
        if primary.up_since > before:
            return
        target.term = primary.term
        target.log = [
            entry
            for entry in primary.log
            if entry.at <= before or entry in target.log
        ]

    async def register(self):
        """Write the entries of the targets until cancelled."""
        while True:
            for target in self.targets.values():
                self.beat(target)
            await asyncio.sleep(BEAT_SECONDS)

    async def expire(self):
        """Remove the entries of silent targets until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            for target in self.targets.values():
                key = f'servers/{target.ident}'
                is_silent = now() - target.written_at > 3 * BEAT_SECONDS
                if is_silent and key in self.store.items:
                    self.store.remove(key)
                    self.record.write('entry_removed', target=target.ident)

    def beat(self, target):
        """Write a target's entry, if it runs and reaches the store."""
        if not target.is_up or target.is_cut_from_store:
            return
        target.written_at = now()
        target.seq += 1
        self.store.put_json(
            f'servers/{target.ident}',
            {
                'Service': SERVICE,
                'Addr': f'127.0.0.1:{target.port}',
                'Zone': target.zone,
                'Version': 'v1',
                'Slots': 4,
                'State': target.state,
                'ColdLeftMs': 0,
                'Seq': target.seq,
                'DbRole': 'primary' if target.is_primary else 'replica',
                'born': target.born,
            },
        )

    @property
    def primary(self):
        """Return the primary of the newest term."""
        leading = [one for one in self.targets.values() if one.is_primary]
        return max(leading, key=lambda one: one.term, default=None)

    def promote(self, ident):
        """Order a promotion; tell whether the target runs."""
        target = self.targets[ident]
        if not target.is_up:
            return False
        if target is not self.primary:
            asyncio.get_running_loop().call_later(
                PROMOTE_SECONDS, self._lead, target
            )
        return True

    def _lead(self, target):
        if not target.is_up or target is self.primary:
            return
        target.term = max(one.term for one in self.targets.values()) + 1
        old = [one for one in self.targets.values() if one.is_primary]
        target.is_primary = True
        self.record.write(
            'leads', target=target.ident, term=target.term, at=target.position
        )
        self.beat(target)
        for one in old:
            if one is not target:
                # It learns of the new primary after a second.
                asyncio.get_running_loop().call_later(1, self._yield, one)

    def _yield(self, target):
        primary = self.primary
        if primary is not target and target.is_up:
            target.is_primary = False
            self.beat(target)

    async def _accept(self, target, reader, writer):
        connection = Connection(self, target, reader, writer)
        target.connections.add(writer)
        try:
            await connection.run()
        except _ENDS:
            pass
        finally:
            target.connections.discard(writer)
            writer.close()


class Connection:
    """One connection to a target."""

    def __init__(self, group, target, reader, writer):
        """Start without a transaction."""
        self.group = group
        self.target = target
        self.reader = reader
        self.writer = writer
        self.caller = writer.get_extra_info('peername')[0]
        self.tenant = ''
        self.prepared = {}
        # Writes of the open transaction; nothing outside of one.
        self.pending = None
        self.is_read_only = False
        self.has_failed = False

    async def run(self):
        """Serve until the connection ends."""
        line = await self._read()
        word, _, rest = line.partition(' ')
        service, tenant, ident = (rest.split(' ') + [''])[:3]
        if word != 'STARTUP' or service != SERVICE:
            return self._write('ERROR WRONGNODE -')
        if ident and ident != self.target.ident:
            return self._write('ERROR WRONGNODE -')
        self.tenant = tenant
        await asyncio.sleep(0.012)
        self._write(f'READY I {self.target.position}')
        while True:
            line = await self._read()
            if line == 'BYE':
                return None
            _, ident, text = line.split(' ', 2)
            lines = await self._answer(ident, text)
            await self._wait_while_dark()
            state = 'I' if self.pending is None else 'T'
            state = 'E' if self.has_failed else state
            lines.append(f'READY {state} {self.target.position}')
            self._write(*lines)

    async def _wait_while_dark(self):
        while self.target.is_dark:
            await asyncio.sleep(0.01)

    async def _read(self):
        line = await self.reader.readuntil(b'\r\n')
        await self._wait_while_dark()
        return line[:-2].decode()

    def _write(self, *lines):
        self.writer.write(''.join(f'{one}\r\n' for one in lines).encode())

    async def _answer(self, ident, text):
        word, _, rest = text.partition(' ')
        target = self.target
        if word == 'AFTER':
            floor, _, text = rest.partition(' ')
            word, _, rest = text.partition(' ')
            if not target.holds(floor):
                return ['ERROR LAGGING -']
        if word == 'STATUS':
            await asyncio.sleep(target.status_seconds)
            await self._wait_while_dark()
            return [self._report(), 'COMPLETE -']
        if word == 'STEPDOWN':
            if self.group.on_step_down:
                self.group.on_step_down(target, self.caller)
            await asyncio.sleep(target.step_down_seconds)
            await self._wait_while_dark()
            if target.term < int(rest) and target.is_primary:
                target.is_primary = False
                self.group.beat(target)
            return [self._report(), 'COMPLETE -']
        if word in {'SET', 'CLOSE', 'RESET', 'PREPARE'}:
            if word == 'PREPARE':
                name, mode, _shape = rest.split(' ', 2)
                self.prepared[name] = mode
            return ['COMPLETE -']
        return await self._run(ident, text, word, rest)

    async def _run(self, ident, text, word, rest):
        target = self.target
        if word == 'ROLLBACK':
            self.pending, self.has_failed = None, False
            return ['COMPLETE -']
        if self.has_failed:
            return ['ERROR MALFORMED -']
        if word == 'BEGIN':
            self.is_read_only = rest == 'READ'
            if not self.is_read_only and not target.is_primary:
                return ['ERROR READONLY -']
            self.pending = []
            return ['COMPLETE -']
        mode = word
        if word == 'EXECUTE':
            name, _, rest = rest.partition(' ')
            mode = self.prepared.get(name, 'NOSTMT')
            if mode == 'NOSTMT':
                return ['ERROR NOSTMT -']
        is_write = mode == 'WRITE' or (mode == 'COMMIT' and self.pending)
        is_plain = self.pending is not None and not self.is_read_only
        if (is_write or is_plain) and not target.is_primary:
            self.has_failed = self.pending is not None
            return [f'ERROR READONLY {target.ident}']
        async with target.slots:
            await asyncio.sleep(0.003)
        await self._wait_while_dark()
        if is_write and not target.is_primary:
            self.has_failed = self.pending is not None
            return [f'ERROR READONLY {target.ident}']
        item, _, data = rest.partition(' ')
        self.group.runs.append((now(), target, ident, text, self.tenant))
        self.group.record.write(
            'ran', target=target.ident, tenant=self.tenant, id=ident, text=text
        )
        rows = []
        if mode == 'READ':
            rows = [f'ROW {target.find(item)}']
        elif mode == 'WRITE' and self.pending is not None:
            self.pending.append((item, data))
        elif mode == 'WRITE':
            await self._commit([(item, data)])
        elif mode == 'COMMIT':
            if self.pending:
                await self._commit(self.pending)
            self.pending = None
        return [*rows, f'COMPLETE {target.ident}.{secrets.token_hex(6)}']

    async def _commit(self, writes):
        log = self.target.log
        number = log[-1].number + 1 if log else 1
        entry = Entry(self.target.term, number, writes)
        log.append(entry)
        while self._count_receipts(entry) < self.group.sync_replicas:
            await asyncio.sleep(0.005)

    def _count_receipts(self, entry):
        return sum(
            entry in one.log
            for one in self.group.targets.values()
            if one is not self.target
        )

    def _report(self):
        target = self.target
        self.group.record.write(
            'reported',
            target=target.ident,
            to=self.caller,
            is_primary=target.is_primary,
            term=target.term,
            at=target.position,
        )
        role = 'primary' if target.is_primary else 'replica'
        return (
            f'ROW {role} {target.term} {target.position} 0 0 0 '
            f'{len(target.connections)}'
        )


class Platform:
    """HTTP calls to the store and for promotions."""

    def __init__(self, record, store, group):
        """Choose a port."""
        self.record = record
        self.store = store
        self.group = group
        self.port = find_ports(1)[0]
        # Time, holder, token and target of each promotion that was asked for.
        self.promotions = []

    async def serve(self):
        """Listen."""
        await asyncio.start_server(self._accept, '127.0.0.1', self.port)

    async def _accept(self, reader, writer):
        with contextlib.suppress(*_ENDS):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                first, *lines = head.decode().split('\r\n')
                headers = {
                    name.lower(): text.strip()
                    for name, _, text in (one.partition(':') for one in lines)
                }
                size = int(headers.get('content-length', 0))
                body = await reader.readexactly(size)
                method, target, _ = first.split(' ')
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                document = json.loads(body) if body else {}
                caller = writer.get_extra_info('peername')[0]
                await asyncio.sleep(STORE_ANSWER_SECONDS)
                if url.path == '/promote':
                    status, answer = self._promote(headers, document)
                else:
                    status, answer = self.store.answer(
                        method, url.path, query, document, caller
                    )
                payload = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(payload)}\r\n\r\n'.encode()
                    + payload
                )
                await writer.drain()
        writer.close()

    def _promote(self, headers, document):
        holder = headers['x-comfreystair-lease-holder']
        token = int(headers['x-comfreystair-fencing-token'])
        ident = document['Id']
        self.promotions.append((now(), holder, token, ident))
        self.record.write('promote', holder=holder, token=token, target=ident)
        return (200 if self.group.promote(ident) else 409), {}


class Instance:
    """One process of the system."""

    def __init__(self, number, zone, port, directory):
        """Write its settings, as the template of the deploy file has them."""
        self.name = f'front-{zone}-{number}'
        self.address = f'127.0.2.{number + 1}'
        ports = find_ports(4, self.address)
        self.callers_port, self.ready_port = ports[:2]
        self.path = directory / f'{self.name}.json'
        self.output = directory / f'{self.name}.log'
        self.process = None
        self.path.write_text(
            json.dumps(
                {
                    'instance': {
                        'name': self.name,
                        'zone': zone,
                        'address': self.address,
                    },
                    'zones': dict.fromkeys(ZONES, 'lima'),
                    'listen': {
                        'callers': f'{self.address}:{ports[0]}',
                        'ready': f'{self.address}:{ports[1]}',
                        'peer_port': ports[2],
                        'metrics_port': ports[3],
                    },
                    'store': {
                        'address': f'127.0.0.1:{port}',
                        'least_lease_ms': 1000,
                    },
                    'promotion': {'address': f'127.0.0.1:{port}'},
                    'bounds': BOUNDS,
                    'limits': {'descriptors': 1605},
                    'overload': {'contracts': CONTRACTS},
                }
            )
        )

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['entry']['run'])
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['COMFREYSTAIR_SETTINGS'] = str(self.path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with open(self.output, 'ab') as output:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def signal(self, number):
        """Send the process a signal."""
        self.process.send_signal(number)

    async def is_ready(self):
        """Tell whether it answers the platform's question with 200."""
        try:
            reader, writer = await asyncio.open_connection(
                self.address, self.ready_port
            )
            writer.write(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b' 200 ' in line


class Client:
    """One session of a client."""

    def __init__(self, site, instance, database, key):
        """Start without a connection."""
        self.site = site
        self.instance = instance
        self.database = database
        self.key = key
        self.reader = self.writer = None

    async def open(self):
        """Connect; return the first line of the answer."""
        self.reader, self.writer = await asyncio.open_connection(
            self.instance.address, self.instance.callers_port
        )
        self.writer.write(f'STARTUP {self.database} {self.key}\r\n'.encode())
        return await self._read()

    async def ask(self, text):
        """Run a statement; return its id and the lines of the answer.

        Without lines there was no answer.
        """
        ident = secrets.token_hex(8)
        self.site.record.write(
            'sent', to=self.instance.name, id=ident, text=text
        )
        lines = []
        try:
            self.writer.write(f'QUERY {ident} {text}\r\n'.encode())
            while not lines or not lines[-1].startswith('READY'):
                lines.append(await asyncio.wait_for(self._read(), 10))
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            lines = []
        self.site.record.write(
            'answered', id=ident, answer=' / '.join(lines) or '(none)'
        )
        return ident, lines

    def close(self):
        """End the session."""
        if self.writer is not None:
            self.writer.close()

    async def _read(self):
        line = await self.reader.readuntil(b'\r\n')
        return line[:-2].decode()


class Site:
    """A small deployment."""

    def __init__(self, folder, instances=3):
        """Make the stand-ins; nothing is started yet."""
        self.record = Record(pathlib.Path(folder) / 'record.txt')
        self._temporary = tempfile.TemporaryDirectory()
        directory = pathlib.Path(self._temporary.name)
        self.directory = directory
        self.store = Store(self.record)
        self.group = Group(self.record, self.store)
        self.platform = Platform(self.record, self.store, self.group)
        self.instances = [
            Instance(
                number,
                ZONES[number % len(ZONES)],
                self.platform.port,
                directory,
            )
            for number in range(instances)
        ]
        self._tasks = []

    async def start(self, plan):
        """Start everything and wait until all instances are ready."""
        await self.platform.serve()
        await self.group.serve()
        self.write_plan(plan)
        for call in (
            self.store.expire,
            self.group.replicate,
            self.group.register,
            self.group.expire,
        ):
            self.spawn(call())
        await asyncio.sleep(0.1)
        for instance in self.instances:
            instance.start()
        await self.wait_until_served()

    async def wait_until_served(self):
        """Wait until a write is served at each instance."""
        for instance in self.instances:
            give_up_at = now() + 30
            while not (await instance.is_ready() and await self._try(instance)):
                if now() > give_up_at:
                    raise CouldNotRunError(f'{instance.name} did not start')
                await asyncio.sleep(0.2)

    async def _try(self, instance):
        client = Client(self, instance, 'strict', 'key-blue')
        try:
            if not (await client.open()).startswith('READY'):
                return False
            _ident, lines = await client.ask('WRITE first x')
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            client.close()
        return bool(lines) and lines[0].startswith('COMPLETE')

    def write_plan(self, plan):
        """Have the operator write a configuration."""
        self.store.put_json('op/config', plan)
        self.group.sync_replicas = plan['Services'][0]['SyncReplicas']
        self.record.write('config', version=plan['Version'])

    def spawn(self, coroutine):
        """Run a task until the end."""
        self._tasks.append(asyncio.ensure_future(coroutine))

    def stop(self):
        """End every process that was started."""
        self.record.flush()
        for instance in self.instances:
            if instance.process is not None:
                instance.process.kill()
                instance.process.wait()
        for instance in self.instances:
            if os.environ.get('KEEP_LOGS') and instance.output.exists():
                kept = pathlib.Path(os.environ['KEEP_LOGS'])
                text = instance.output.read_text(errors='replace')
                (kept / instance.output.name).write_text(text)
        self._temporary.cleanup()


def build_plan(version=1, tenants=None, sync_replicas=0):
    """Return a configuration with one route of each kind."""
    kinds = {
        'strict': ('primary', 0, 800),
        'loose': ('bounded_stale', 1500, 1500),
        'own': ('read_your_writes', 2500, 800),
    }
    tenants = tenants or {'blue': ['key-blue'], 'green': ['key-green']}
    return {
        'Version': version,
        'Routes': [
            {
                'Name': f'r-{host}',
                'Host': host,
                'Type': kind,
                'TimeoutMs': timeout,
                'TargetLatencyMs': 400,
                'Prio': 1,
                'Service': SERVICE,
                'MaxStaleMs': stale,
                'Public': False,
            }
            for host, (kind, stale, timeout) in kinds.items()
        ],
        'Services': [
            {'Name': SERVICE, 'MaxConns': 34, 'SyncReplicas': sync_replicas}
        ],
        'Limits': {'TxIdleMs': 3000},
        'Tenants': [
            {
                'Name': name,
                'ApiKeys': keys,
                'RatePerS': 1000,
                'Burst': 1000,
            }
            for name, keys in tenants.items()
        ],
    }


def find_ports(count, host='127.0.0.1'):
    """Return free ports of an address."""
    held = [socket.socket() for _ in range(count)]
    for one in held:
        one.bind((host, 0))
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


def main(folder, case, instances=3):
    """Run a case; exit with 1 if a rule was broken, 0 if not, 2 if not run.

    :param case: given the site, returns why the rule was broken, or nothing.
    """

    sites = []

    async def run():
        site = Site(folder, instances)
        sites.append(site)
        found = await asyncio.wait_for(case(site), LONGEST_SECONDS)
        site.record.write('result', broken=found or 'no')
        return found

    def end(_number, _frame):
        raise CouldNotRunError('it took too long')

    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGALRM, end)
    signal.alarm(LONGEST_SECONDS + 3)
    status = 2
    loop = asyncio.new_event_loop()
    try:
        found = loop.run_until_complete(run())
        status = 1 if found else 0
        sys.stdout.write(f'broken: {found}\n' if found else 'held\n')
    except (CouldNotRunError, TimeoutError, OSError) as error:
        sys.stdout.write(f'could not run: {error!r}\n')
    finally:
        for site in sites:
            site.stop()
        sys.stdout.flush()
        # The stand-ins end with the process.
        os._exit(status)
