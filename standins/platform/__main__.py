"""Run the stand-in: ``python -m standins.platform FILE``.

FILE names the ports; commands come as POST requests to ``/test``.
"""

import base64
import json
import sys
from urllib.parse import parse_qs, urlsplit

import curio
import h11
import msgspec

from standins.platform.group import Group
from standins.platform.keyspace import Keyspace
from standins.platform.wire import serve_target


class Platform:
    """The store, the promote call and the targets of one deployment."""

    def __init__(self, shape: dict) -> None:
        """Build what the file describes."""
        self._shape = shape
        self._advertised = shape.get('advertised', {})
        self._keyspace = Keyspace()
        self._saved = self._keyspace.copy()
        self._plan = ''
        self._is_down = False
        self._promotions: list[tuple[str, str, str]] = []
        self._groups = {
            name: Group(name, list(targets), shape['lag'])
            for name, targets in shape['groups'].items()
        }

    async def run(self) -> None:
        """Serve until killed."""
        for name, targets in self._shape['groups'].items():
            for ident, port in targets.items():
                await curio.spawn(self._serve, name, ident, port)
        await curio.spawn(self._register)
        await curio.tcp_server('127.0.0.1', self._shape['port'], self._http)

    async def _serve(self, name: str, ident: str, port: int) -> None:
        group = self._groups[name]

        async def handle(client, _address) -> None:
            await serve_target(client, group, group.copies[ident])

        await curio.tcp_server('127.0.0.1', port, handle)

    async def _register(self) -> None:
        while True:
            for name, targets in self._shape['groups'].items():
                for ident, port in targets.items():
                    self._write_entry(name, ident, port)
            await curio.sleep(0.2)

    def _write_entry(self, name: str, ident: str, port: int) -> None:
        copy = self._groups[name].copies[ident]
        if not copy.is_up:
            return
        entry = {
            'Service': name,
            'Addr': f'127.0.0.1:{self._advertised.get(ident, port)}',
            'Zone': self._shape['zones'].get(ident, 'lima-a'),
            'Version': 'v1',
            'Slots': 4,
            'State': 'draining' if copy.is_draining else 'ready',
            'ColdLeftMs': 0,
            'Seq': 1,
            'DbRole': 'primary' if copy.is_primary else 'replica',
            'born': 1,
        }
        self._keyspace.put_changed(f'servers/{ident}', _encode(entry))

    async def _http(self, client, _address) -> None:
        http = h11.Connection(h11.SERVER)
        request, body = None, b''
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await client.recv(65536))
            elif isinstance(event, h11.Request):
                request, body = event, b''
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                status, answer = self._answer(request, body)
                era = self._keyspace.era
                await client.sendall(_format(http, status, answer, era))
                http.start_next_cycle()
            else:
                return

    def _answer(self, request: h11.Request, body: bytes) -> tuple[int, dict]:
        url = urlsplit(request.target.decode())
        read = json.loads(body) if body else {}
        if url.path == '/test':
            return 200, self._command(read)
        if self._is_down:
            return 503, {}
        if url.path == '/promote':
            token = dict(request.headers)[b'x-comfreystair-fencing-token']
            self._promotions.append(
                (read['Service'], read['Id'], token.decode())
            )
            group = self._groups[read['Service']]
            return (200 if group.promote(read['Id']) else 409), {}
        return self._store(url, read)

    def _store(self, url, read: dict) -> tuple[int, dict]:
        keyspace = self._keyspace
        if url.path == '/kv-key':
            item = keyspace.find(parse_qs(url.query)['Key'][0])
            return (200, item) if item else (404, {})
        last = url.path.rpartition('/')[2]
        if url.path == '/kv-range':
            prefix = parse_qs(url.query)['Prefix'][0]
            found = keyspace.list(prefix)
            return 200, {'items': found, 'HasMore': False}
        if url.path == '/kv-txn':
            return keyspace.change(read)
        if url.path == '/kv-lease':
            return 200, keyspace.grant(read['TtlMs'])
        if url.path.startswith('/kv-keep/'):
            return (200 if keyspace.keep(int(last)) else 404), {}
        keyspace.end(int(last))
        return 200, {}

    def _command(self, read: dict) -> dict:
        """Do what a test asks for."""
        if 'plan' in read:
            for service in read['plan']['Services']:
                self._groups[service['Name']].sync_replicas = service[
                    'SyncReplicas'
                ]
            self._plan = _encode(read['plan'])
            self._keyspace.put('op/config', self._plan)
        for key, value in read.get('put', {}).items():
            self._keyspace.put(key, value)
        for removed in read.get('remove', ()):
            self._keyspace.remove(removed)
        if 'save' in read:
            self._saved = self._keyspace.copy()
        if 'restore' in read:
            self._restore()
        if 'down' in read:
            self._is_down = read['down']
        self._change_targets(read)
        return {
            'revision': self._keyspace.revision,
            'primaries': [
                ident
                for group in self._groups.values()
                for ident, copy in group.copies.items()
                if copy.is_primary and copy.is_up
            ],
            'promotions': self._promotions,
            'runs': {
                ident: copy.runs
                for group in self._groups.values()
                for ident, copy in group.copies.items()
            },
        }

    def _change_targets(self, read: dict) -> None:
        """Kill or revive a target, or change how it behaves."""
        if 'kill' in read:
            for group in self._groups.values():
                if read['kill'] in group.copies:
                    group.copies[read['kill']].is_up = False
                    self._keyspace.remove(f'servers/{read["kill"]}')
        for word in ('deaf', 'busy', 'draining'):
            for group in self._groups.values():
                if read.get(word) in group.copies:
                    copy = group.copies[read[word]]
                    setattr(copy, f'is_{word}', not read.get('is_over'))
        if 'revive' in read:
            for group in self._groups.values():
                if read['revive'] in group.copies:
                    group.revive(read['revive'])

    def _restore(self) -> None:
        """Return to the saved copy; the operators' newest plan stays."""
        era = self._keyspace.era + 1
        self._keyspace = self._saved.copy()
        self._keyspace.era = era
        self._keyspace.put_changed('op/config', self._plan)


def _encode(document: dict) -> str:
    return base64.b64encode(msgspec.json.encode(document)).decode()


def _format(http: h11.Connection, status: int, answer: dict, era: int) -> bytes:
    payload = json.dumps(answer).encode()
    headers = [('Content-Length', str(len(payload))), ('Store-Era', str(era))]
    wire = http.send(h11.Response(status_code=status, headers=headers))
    wire += http.send(h11.Data(data=payload))
    return wire + http.send(h11.EndOfMessage())


if __name__ == '__main__':
    with open(sys.argv[1]) as shape_file:
        curio.run(Platform(json.load(shape_file)).run)
