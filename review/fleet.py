"""Stand-ins for the platform, its databases and clients, for the cases.

They follow the pages PROTOCOL.md and DEPLOY.md. Everything listens on
loopback. The entry processes are the project's own, started as the deploy
file says.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import resource
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = '127.0.0.1'
ZONES = ('lima-cercado', 'lima-miraflores', 'lima-norte')
SERVICE = 'permits-db'
TENANT = 'tenant-a'
KEY = 'u3f1'
START_SECONDS = 30.0
# Three heartbeats of 1.2 s.
EXPIRY_SECONDS = 3.6
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class Record:
    """What was sent, answered and run, one line each, in order."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._began_at = time.monotonic()

    def write(self, who, event, *fields):
        at = time.monotonic() - self._began_at
        shown = ' '.join(
            field if isinstance(field, str) else repr(field) for field in fields
        )
        shown = shown.replace('\r', '\\r').replace('\n', '\\n')
        self._file.write(f'{at:8.3f} {who} {event} {shown}\n')
        self._file.flush()

    def close(self):
        self._file.close()


class Run:
    """A statement that a database ran."""

    def __init__(self, target, ident, word, text, shape=''):
        self.target = target
        self.ident = ident
        self.word = word
        self.text = text
        self.shape = shape
        self.at = time.monotonic()


class Store:
    """The platform's metadata store, without I/O."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self._leases = {}
        self._numbers = itertools.count(1)

    def put(self, key, document):
        blob = json.dumps(document).encode()
        self.revision += 1
        self._write(key, base64.b64encode(blob).decode(), 0)

    def put_raw(self, key, encoded):
        self.revision += 1
        self._write(key, encoded, 0)

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)

    def answer(self, method, url, body):
        self._expire()
        query = parse_qs(url.query)
        last = url.path.rpartition('/')[2]
        if url.path == '/kv-key':
            item = self.items.get(query['Key'][0])
            return (200, item) if item else (404, {})
        if url.path == '/kv-range':
            return 200, self._list(query)
        if url.path == '/kv-txn':
            return self._change(body)
        if url.path == '/kv-lease':
            number = next(self._numbers)
            seconds = body['TtlMs'] / 1000
            self._leases[number] = (seconds, time.monotonic() + seconds)
            return 200, {'LeaseId': number, 'TtlMs': body['TtlMs']}
        if url.path.startswith('/kv-keep/'):
            lease = self._leases.get(int(last))
            if lease is None:
                return 404, {}
            self._leases[int(last)] = (lease[0], time.monotonic() + lease[0])
            return 200, {}
        if method == 'DELETE':
            self._end(int(last))
            return 200, {}
        return 404, {}

    def _list(self, query):
        prefix = query['Prefix'][0]
        after = query.get('after', [''])[0]
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return {
            'items': [self.items[key] for key in keys[:500]],
            'HasMore': len(keys) > 500,
            'AtRev': self.revision,
        }

    def _change(self, body):
        expected = body.get('Expected') or []
        for row in expected:
            item = self.items.get(row['Key'])
            if (item['Rev'] if item else 0) != row['Rev']:
                found = [self.items.get(one['Key']) for one in expected]
                return 412, {'items': [one for one in found if one]}
        writes = body.get('Writes') or []
        deletes = body.get('Deletes') or []
        for row in writes:
            lease = row.get('LeaseId', 0)
            if lease and lease not in self._leases:
                return 404, {}
        if writes or deletes:
            self.revision += 1
        for row in writes:
            self._write(row['Key'], row['Value'], row.get('LeaseId', 0))
        for key in deletes:
            self.items.pop(key, None)
        return 200, {'Rev': self.revision}

    def _write(self, key, encoded, lease):
        known = self.items.get(key)
        self.items[key] = {
            'Key': key,
            'Value': encoded,
            'Rev': self.revision,
            'CreatedRev': known['CreatedRev'] if known else self.revision,
            'LeaseId': lease,
        }

    def _end(self, lease):
        self._leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item['LeaseId'] == lease:
                self.remove(key)

    def _expire(self):
        now = time.monotonic()
        for lease, (_seconds, until) in list(self._leases.items()):
            if until <= now:
                self._end(lease)


class Database:
    """One copy of a service's data: a log that it received and applies."""

    def __init__(self, ident, zone, port, slots, queue):
        self.ident = ident
        self.zone = zone
        self.port = port
        self.born = int(time.time() * 1000)
        self.log = []
        self.term = 1
        self.held = 1
        self.is_primary = False
        self.is_up = True
        self.is_deaf = False
        self.is_draining = False
        self.sequence = 0
        self.beat_at = time.monotonic()
        self.slots = slots
        self.queue = queue
        self.busy = 0
        self.waiting = 0
        self.connections = set()
        self._turn = asyncio.Condition()

    @property
    def position(self):
        if not self.log:
            return f'{self.term}.0'
        return f'{self.log[-1]["term"]}.{self.log[-1]["number"]}'

    async def enter(self):
        """Take a slot; tell whether there was room."""
        if self.busy >= self.slots and self.waiting >= self.queue:
            return False
        async with self._turn:
            self.waiting += 1
            try:
                await self._turn.wait_for(lambda: self.busy < self.slots)
            finally:
                self.waiting -= 1
            self.busy += 1
        return True

    async def leave(self):
        async with self._turn:
            self.busy -= 1
            self._turn.notify(1)


class Service:
    """One primary and its replicas."""

    def __init__(self, record, databases, work_seconds, sync=0):
        self.record = record
        self.databases = {one.ident: one for one in databases}
        self.work_seconds = work_seconds
        self.sync = sync
        self.lag_seconds = 0.06
        self.promote_seconds = 0.6
        self.runs = []
        self.promotions = []
        self.new_item = None
        databases[0].is_primary = True

    def primary(self):
        """Return the database that leads the newest term."""
        leaders = [one for one in self.databases.values() if one.is_primary]
        return max(leaders, key=lambda one: one.term, default=None)

    def add_run(self, database, ident, word, text, shape=''):
        self.runs.append(Run(database.ident, ident, word, text, shape))
        self.record.write(database.ident, 'ran', ident, word, text, shape)

    def list_applied(self, database):
        if database.is_primary:
            return database.log
        limit = time.monotonic() - self.lag_seconds
        return [one for one in database.log if one['at'] <= limit]

    def read(self, database, item):
        for entry in reversed(self.list_applied(database)):
            if item in entry['writes']:
                return entry['writes'][item]
        return 'nothing'

    async def commit(self, database, ident, writes):
        """Append to the primary's log and send it to the replicas."""
        last = database.log[-1]['number'] if database.log else 0
        entry = {
            'term': database.term,
            'number': last + 1,
            'writes': dict(writes),
            'ident': ident,
            'at': time.monotonic(),
        }
        database.log.append(entry)
        await asyncio.sleep(0.002)
        received = [
            one
            for one in self.databases.values()
            if one is not database and one.term == database.term
            if one.is_up and not one.is_deaf and not one.is_primary
        ]
        for one in received:
            one.log = list(database.log)
        while self.sync and not received and database.is_up:
            await asyncio.sleep(0.02)
            received = [
                one
                for one in self.databases.values()
                if one is not database and entry in one.log
            ]

    def step_down(self, database, term):
        if database.is_primary and term > database.term:
            database.is_primary = False

    async def promote(self, ident, holder, token):
        database = self.databases.get(ident)
        self.promotions.append((ident, holder, token))
        if database is None or not database.is_up:
            return 409
        if self.primary() is database:
            return 200
        asyncio.get_running_loop().call_later(
            self.promote_seconds, self._take_over, database
        )
        return 200

    def _take_over(self, database):
        if not database.is_up:
            return
        term = max(one.term for one in self.databases.values()) + 1
        for other in self.databases.values():
            if other.is_up and other is not database:
                other.is_primary = False
                other.term = term
                other.log = list(database.log)
        database.term = term
        database.is_primary = True
        database.is_deaf = False
        kept = [entry['ident'] for entry in database.log]
        self.record.write(
            database.ident, 'leads', term, database.position, len(kept)
        )


class Connection:
    """One connection to a database."""

    def __init__(self, service, database, reader, writer):
        self._service = service
        self._database = database
        self._reader = reader
        self._writer = writer
        self._values = {}
        self._prepared = {}
        self._writes = None
        self._is_read_only = False
        self._has_failed = False
        self._tenant = ''

    async def serve(self):
        database = self._database
        database.connections.add(self._writer)
        try:
            if await self._start():
                await self._serve_queries()
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            database.connections.discard(self._writer)
            self._writer.close()

    async def _read_line(self):
        line = await self._reader.readuntil(b'\r\n')
        return line[:-2].decode()

    async def _start(self):
        word, _, rest = (await self._read_line()).partition(' ')
        fields = [*rest.split(' '), '', ''][:3]
        is_expected = fields[2] in ('', self._database.ident)
        service = fields[0]
        if word != 'STARTUP' or service != SERVICE or not is_expected:
            await self._send(f'ERROR WRONGNODE {self._database.ident}\r\n')
            return False
        self._tenant = fields[1]
        if await self._database.enter():
            await asyncio.sleep(0.012)
            await self._database.leave()
        await self._send(f'READY I {self._database.position}\r\n')
        return True

    async def _serve_queries(self):
        while self._database.is_up:
            line = await self._read_line()
            if line == 'BYE':
                return
            _word, ident, text = line.split(' ', 2)
            answer = await self._answer(ident, text)
            if not self._database.is_up:
                return
            await self._send(answer)

    async def _send(self, text):
        self._writer.write(text.encode())
        await self._writer.drain()

    async def _answer(self, ident, text):
        if text.startswith('AFTER '):
            _after, floor, text = text.split(' ', 2)
            if not self._holds(floor):
                return self._fail('LAGGING')
        word, _, rest = text.partition(' ')
        if self._has_failed and word not in ('ROLLBACK', 'COMMIT'):
            return self._fail('MALFORMED')
        handle = getattr(self, f'_do_{word.lower()}', None)
        if handle is None:
            return self._fail('MALFORMED')
        return await handle(ident, rest)

    async def _work(self, handle):
        database = self._database
        if not await database.enter():
            return self._fail('BUSY')
        try:
            await asyncio.sleep(self._service.work_seconds)
            if not database.is_up:
                raise EOFError
            return await handle()
        finally:
            await database.leave()

    async def _do_read(self, ident, item, shape='', word='READ'):
        async def read():
            self._service.add_run(self._database, ident, word, item, shape)
            pending = (self._writes or {}).get(item)
            row = pending or self._service.read(self._database, item)
            return self._done(ident, row)

        return await self._work(read)

    async def _do_write(self, ident, rest, shape='', word='WRITE'):
        item, _, data = rest.partition(' ')

        async def write():
            if not self._database.is_primary or self._is_read_only:
                return self._fail('READONLY')
            self._service.add_run(self._database, ident, word, rest, shape)
            if self._writes is not None:
                self._writes[item] = data
                return self._done(ident)
            await self._service.commit(self._database, ident, {item: data})
            return self._done(ident)

        return await self._work(write)

    async def _do_execute(self, ident, rest):
        name, _, argument = rest.partition(' ')
        if name not in self._prepared:
            return self._fail('NOSTMT')
        mode, shape = self._prepared[name]
        handle = self._do_read if mode == 'READ' else self._do_write
        return await handle(ident, argument, shape, f'EXECUTE-{mode}')

    async def _do_begin(self, _ident, rest):
        if rest != 'READ' and not self._database.is_primary:
            return self._fail('READONLY')
        self._is_read_only = rest == 'READ'
        self._writes = {}
        return self._done('-')

    async def _do_commit(self, ident, _rest):
        writes, self._writes = self._writes, None
        self._is_read_only = False
        if self._has_failed:
            self._has_failed = False
            return self._fail('ABORTED')

        async def commit():
            if writes and not self._database.is_primary:
                return self._fail('READONLY')
            self._service.add_run(self._database, ident, 'COMMIT', '')
            if writes:
                await self._service.commit(self._database, ident, writes)
            return self._done(ident)

        return await self._work(commit)

    async def _do_rollback(self, _ident, _rest):
        self._writes = None
        self._is_read_only = False
        self._has_failed = False
        return self._done('-')

    async def _do_set(self, _ident, rest):
        name, _, text = rest.partition(' ')
        self._values[name] = text
        return self._done('-')

    async def _do_reset(self, _ident, _rest):
        self._values.clear()
        self._prepared.clear()
        return self._done('-')

    async def _do_prepare(self, _ident, rest):
        name, mode, shape = rest.split(' ', 2)
        self._prepared[name] = (mode, shape)
        return self._done('-')

    async def _do_close(self, _ident, rest):
        self._prepared.pop(rest, None)
        return self._done('-')

    async def _do_stepdown(self, _ident, rest):
        self._service.step_down(self._database, int(rest))
        return self._done('-', self._status())

    async def _do_status(self, _ident, _rest):
        async def tell():
            return self._done('-', self._status())

        database = self._database
        if not await database.enter():
            self._service.record.write(database.ident, 'status', 'BUSY')
            return self._fail('BUSY')
        try:
            return await tell()
        finally:
            await database.leave()

    def _status(self):
        one = self._database
        role = 'primary' if one.is_primary else 'replica'
        return (
            f'{role} {one.term} {one.position} {one.held} 0 {one.busy} '
            f'{len(one.connections)}'
        )

    def _holds(self, floor):
        term, _, number = floor.partition('.')
        applied = self._service.list_applied(self._database)
        last = applied[-1] if applied else {'term': 0, 'number': 0}
        return (last['term'], last['number']) >= (int(term), int(number))

    def _done(self, ident, row=None):
        signature = '-' if ident == '-' else f'{self._database.ident}.{ident}'
        shown = '' if row is None else f'ROW {row}\r\n'
        return f'{shown}COMPLETE {signature}\r\n{self._ready()}'

    def _fail(self, code):
        if self._writes is not None and code != 'BUSY':
            self._has_failed = True
        return f'ERROR {code} {self._database.ident}\r\n{self._ready()}'

    def _ready(self):
        state = 'I' if self._writes is None else 'T'
        if self._has_failed:
            state = 'E'
        applied = self._service.list_applied(self._database)
        last = applied[-1] if applied else {'term': 0, 'number': 0}
        return f'READY {state} {last["term"]}.{last["number"]}\r\n'


class Fleet:
    """The platform, one service, and the project's entry processes."""

    def __init__(self, record, instances=3, **options):
        self.record = record
        self.store = Store()
        self._count = instances
        self._options = options
        ports = find_ports(2 + 3 + 4 * instances)
        self._store_port, self._cloud_port, *rest = ports
        slots = options.get('slots', 2)
        queue = options.get('queue', 16)
        databases = [
            Database(f'i-{index}a91c', zone, rest.pop(), slots, queue)
            for index, zone in enumerate(ZONES)
        ]
        self.service = Service(
            record,
            databases,
            options.get('work_seconds', 0.014),
            options.get('sync', 0),
        )
        self._ports = [
            rest[4 * number : 4 * number + 4] for number in range(instances)
        ]
        self._directory = tempfile.TemporaryDirectory()
        self._processes = {}
        self._servers = []
        self._tasks = []

    def front(self, number):
        """Return the port for clients of an entry process."""
        return self._ports[number][0]

    async def start(self):
        """Start the platform, then the entry processes, until all are ready.

        If that fails, what was started is ended.
        """
        try:
            await self._start()
        except BaseException:
            await self.stop()
            raise

    async def _start(self):
        for port, handle in (
            (self._store_port, self._serve_http),
            (self._cloud_port, self._serve_http),
        ):
            server = await asyncio.start_server(handle, HOST, port)
            self._servers.append(server)
        for database in self.service.databases.values():
            await self._listen_database(database)
        self._tasks.append(asyncio.create_task(self._register()))
        self.store.put('op/config', build_config(1, self._options))
        for number in range(self._count):
            await self.start_instance(number)
        give_up_at = time.monotonic() + START_SECONDS
        for number in range(self._count):
            while not await self.is_ready(number):
                if time.monotonic() > give_up_at:
                    raise TimeoutError(f'entry process {number} is not ready')
                await asyncio.sleep(0.1)
        # Connections to a zone's keeper and the second reading of the lists.
        await asyncio.sleep(3)

    async def start_instance(self, number):
        """Start an entry process with the command of the deploy file."""
        front, ready, peer, metrics = self._ports[number]
        zone = ZONES[number % len(ZONES)]
        path = pathlib.Path(self._directory.name) / f'node-{number}.json'
        settings = {
            'instance': {
                'name': f'front-{zone}-{number}',
                'zone': zone,
                'address': HOST,
            },
            'zones': dict.fromkeys(ZONES, 'lima'),
            'listen': {
                'callers': f'{HOST}:{front}',
                'ready': f'{HOST}:{ready}',
                'peer_port': peer,
                'metrics_port': metrics,
            },
            'store': {
                'address': f'{HOST}:{self._store_port}',
                'least_lease_ms': 1000,
            },
            'promotion': {'address': f'{HOST}:{self._cloud_port}'},
            'bounds': {
                'key_revocation_ms': 5000,
                'configuration_ms': 3000,
                'contact_ms': 4000,
                'shutdown_ms': 6000,
                'drain_ms': 7000,
                'rate_window_ms': 5000,
            },
        }
        path.write_text(json.dumps(settings))
        log = pathlib.Path(self._directory.name) / f'node-{number}.log'
        with open(log, 'ab') as output:
            self._processes[number] = await asyncio.create_subprocess_exec(
                'python3',
                '-m',
                'comfreystair.entry',
                cwd=ROOT,
                env=build_environment(COMFREYSTAIR_SETTINGS=str(path)),
                preexec_fn=self._limit_files,
                stdout=output,
                stderr=output,
            )
        self.record.write(f'front-{number}', 'started')

    def _limit_files(self):
        files = self._options.get('files')
        if files:
            resource.setrlimit(resource.RLIMIT_NOFILE, (files, files))

    def send_signal(self, number, wanted):
        self.record.write(f'front-{number}', 'signal', wanted.name)
        self._processes[number].send_signal(wanted)

    def has_ended(self, number):
        return self._processes[number].returncode is not None

    def read_log(self, number):
        path = pathlib.Path(self._directory.name) / f'node-{number}.log'
        return path.read_text()

    async def wait_for_end(self, number):
        await self._processes[number].wait()
        self.record.write(f'front-{number}', 'ended')

    async def is_ready(self, number):
        """Ask an entry process once whether it is ready."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    HOST, self._ports[number][1]
                )
                writer.write(b'GET /ready HTTP/1.1\r\nHost: front\r\n\r\n')
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line

    async def crash(self, database):
        """Stop a database without a word."""
        self.record.write(database.ident, 'crashed', database.position)
        database.is_up = False
        for writer in list(database.connections):
            writer.transport.abort()
        database.server.close()

    async def stop(self):
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        for process in self._processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        for server in self._servers:
            server.close()
        self._directory.cleanup()

    async def _listen_database(self, database):
        async def handle(reader, writer):
            await Connection(self.service, database, reader, writer).serve()

        database.server = await asyncio.start_server(
            handle, HOST, database.port, limit=2**21
        )
        self._servers.append(database.server)

    async def _register(self):
        """Have the databases write their entries, as often as they beat."""
        while True:
            for database in self.service.databases.values():
                if database.is_up:
                    self._write_entry(database)
                elif time.monotonic() - database.beat_at > EXPIRY_SECONDS:
                    self.store.items.pop(f'servers/{database.ident}', None)
            await asyncio.sleep(0.3)

    def _write_entry(self, database):
        database.sequence += 1
        database.beat_at = time.monotonic()
        entry = {
            'Service': SERVICE,
            'Addr': f'{HOST}:{database.port}',
            'Zone': database.zone,
            'Version': 'v1',
            'Slots': database.slots,
            'State': 'draining' if database.is_draining else 'ready',
            'ColdLeftMs': 0,
            'Seq': database.sequence,
            'DbRole': 'primary' if database.is_primary else 'replica',
            'born': database.born,
        }
        self.store.put(f'servers/{database.ident}', entry)

    async def _serve_http(self, reader, writer):
        with contextlib.suppress(OSError, EOFError, ValueError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode().split('\r\n')
                method, target, _version = lines[0].split(' ')
                headers = {
                    name.lower(): text.strip()
                    for name, _, text in (
                        line.partition(':') for line in lines[1:] if line
                    )
                }
                size = int(headers.get('content-length', 0))
                body = await reader.readexactly(size)
                document = json.loads(body) if body else {}
                status, answer = await self._answer_http(
                    method, urlsplit(target), document, headers
                )
                payload = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {status} OK\r\n'
                    f'Content-Type: application/json\r\n'
                    f'Content-Length: {len(payload)}\r\n\r\n'.encode()
                    + payload
                )
                await writer.drain()
        writer.close()

    async def _answer_http(self, method, url, document, headers):
        await asyncio.sleep(0.004)
        if url.path == '/promote':
            holder = headers.get('x-comfreystair-lease-holder', '')
            token = headers.get('x-comfreystair-fencing-token', '')
            self.record.write('platform', 'promote', document, holder, token)
            status = await self.service.promote(document['Id'], holder, token)
            return status, {}
        return self.store.answer(method, url, document)


class Client:
    """A client's session."""

    _numbers = itertools.count(1)

    def __init__(self, record, name):
        self._record = record
        self.name = name
        self._reader = None
        self._writer = None
        self.sent = {}

    async def connect(self, port, database, key=KEY):
        """Introduce the client; return the first line of the answer."""
        self._reader, self._writer = await asyncio.open_connection(
            HOST, port, limit=2**21
        )
        self._writer.write(f'STARTUP {database} {key}\r\n'.encode())
        line = await self._read_line()
        self._record.write(self.name, 'connected', database, line)
        return line

    async def ask(self, text, seconds=10.0):
        """Send a statement; return its id and the lines of the answer.

        Without a whole answer the last line is empty.
        """
        ident = f'{next(self._numbers):016x}'
        self.sent[ident] = text
        self._record.write(self.name, 'sent', ident, text)
        lines = []
        try:
            async with asyncio.timeout(seconds):
                self._writer.write(f'QUERY {ident} {text}\r\n'.encode())
                await self._writer.drain()
                while not lines or not lines[-1].startswith('READY'):
                    lines.append(await self._read_line())
        except (OSError, EOFError, TimeoutError) as error:
            lines.append('')
            self._record.write(self.name, 'unanswered', ident, repr(error))
        self._record.write(self.name, 'answered', ident, *map(repr, lines))
        return ident, lines

    def close(self):
        if self._writer is not None:
            self._writer.close()

    async def _read_line(self):
        line = await self._reader.readuntil(b'\r\n')
        return line[:-2].decode()


def build_config(version, options):
    """Return the operator's configuration with a route of each kind."""
    return {
        'Version': version,
        'Routes': [
            build_route('strict', 'primary', 0),
            build_route('loose', 'bounded_stale', 1500),
            build_route('own', 'read_your_writes', 2500),
        ],
        'Services': [
            {
                'Name': SERVICE,
                'MaxConns': 34,
                'SyncReplicas': options.get('sync', 0),
            }
        ],
        'Limits': {'TxIdleMs': 3000},
        'Tenants': [
            {
                'Name': TENANT,
                'ApiKeys': [KEY],
                'RatePerS': 5000,
                'Burst': 5000,
            }
        ],
    }


def build_route(database, kind, stale_ms):
    return {
        'Name': f'r-{database}',
        'Host': database,
        'Type': kind,
        'TimeoutMs': 800 if kind != 'bounded_stale' else 1500,
        'TargetLatencyMs': 400,
        'Prio': 1,
        'Service': SERVICE,
        'MaxStaleMs': stale_ms,
        'Public': False,
    }


def build_environment(**extra):
    """Return what the platform passes on, and where the build put libraries."""
    kept = {
        name: os.environ[name]
        for name in ('PATH', 'HOME', 'LANG')
        if name in os.environ
    }
    libraries = str(ROOT / 'target' / 'deps')
    return {
        **kept,
        'PYTHONPATH': libraries,
        'PYTHONDONTWRITEBYTECODE': '1',
        **extra,
    }


def find_ports(count):
    """Return free ports, below those that outgoing connections use."""
    ports = []
    for port in random.sample(range(10000, 30000), 2000):
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise OSError('not enough free ports')


def run_case(play, folder):
    """Play a case and exit: 1 rule broken, 0 rule held, 2 could not run."""
    record = Record(pathlib.Path(folder) / 'record.txt')
    record.write('case', 'trouble', 'yes' if HAS_TROUBLE else 'no')
    try:
        findings = asyncio.run(_play_bounded(play, record))
    except BaseException as error:
        record.write('case', 'could not run', repr(error))
        print(f'could not run: {error!r}')
        sys.exit(2)
    for found in findings:
        record.write('case', 'BROKEN', found)
        print(f'broken: {found}')
    record.write('case', 'verdict', 'broken' if findings else 'held')
    record.close()
    print('rule broken' if findings else 'rule held')
    sys.exit(1 if findings else 0)


async def _play_bounded(play, record):
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    async with asyncio.timeout(110):
        return await play(record)
