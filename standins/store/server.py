"""Serve the keyspace over HTTP, with faults that tests can order."""

import collections
import json
import time
import traceback

import curio
import h11

from standins.store.keyspace import Keyspace

_READ_BYTES = 65536
_POLL_SECONDS = 0.005
_MEGABYTE = 1 << 20


class Platform:
    """The store, the list of instances, and the faults in force."""

    def __init__(self, list_lag_seconds: float) -> None:
        """Start healthy and empty."""
        self.keyspace = Keyspace()
        self.calls: collections.Counter[str] = collections.Counter()
        self.mode = 'up'
        self.delay_seconds = 0.0
        self._lag = list_lag_seconds
        self._lists: list[tuple[float, list]] = [(0.0, [])]

    def set_fault(self, fault: dict) -> dict:
        """Set the mode (``up``, ``down``, ``lose_...``) and the delay."""
        self.mode = fault.get('mode', 'up')
        self.delay_seconds = fault.get('delay_ms', 0) / 1000
        return {'mode': self.mode}

    def set_instances(self, instances: list) -> dict:
        """Replace the list; callers see it after the lag."""
        self._lists.append((time.monotonic(), instances))
        return {'count': len(instances)}

    def list_instances(self) -> dict:
        """Return the list as it was before the lag."""
        limit = time.monotonic() - self._lag
        visible = [one for at, one in self._lists if at <= limit]
        return {'instances': visible[-1] if visible else []}


async def serve_connection(platform: Platform, sock) -> None:
    """Serve HTTP requests on one connection until it closes."""
    http = h11.Connection(h11.SERVER)
    try:
        await _serve_requests(platform, sock, http)
    except (OSError, h11.ProtocolError):
        return
    except Exception:
        traceback.print_exc()


async def _serve_requests(platform: Platform, sock, http) -> None:
    while True:
        request = await _read_request(sock, http)
        if request is None:
            return
        path, body = request
        if platform.mode == 'down' and not path.startswith('/admin'):
            return
        await _answer(platform, sock, http, path, body)
        if http.our_state is h11.MUST_CLOSE:
            return
        http.start_next_cycle()


async def _read_request(sock, http) -> tuple[str, bytes] | None:
    path = ''
    body = bytearray()
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await sock.recv(_READ_BYTES))
        elif isinstance(event, h11.Request):
            path = event.target.decode()
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return path, bytes(body)
        else:
            return None


async def _answer(platform: Platform, sock, http, path: str, body) -> None:
    request = json.loads(body or b'{}')
    platform.calls[path] += 1
    if platform.delay_seconds and not path.startswith('/admin'):
        await curio.sleep(platform.delay_seconds)
    if path == '/v3/watch':
        await _watch(platform, sock, http, request['create_request'])
        return
    status, answer = _route(platform, path, request)
    loses_all = platform.mode == 'lose_answers'
    loses_write = platform.mode == 'lose_writes' and path == '/v3/kv/txn'
    if (loses_all or loses_write) and not path.startswith('/admin'):
        raise OSError('answer lost')
    payload = json.dumps(answer).encode()
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(payload))),
    ]
    await _send(sock, http, h11.Response(status_code=status, headers=headers))
    await _send(sock, http, h11.Data(data=payload))
    await _send(sock, http, h11.EndOfMessage())


def _route(platform: Platform, path: str, request) -> tuple[int, dict]:
    keyspace = platform.keyspace
    routes = {
        '/v3/kv/range': keyspace.range,
        '/v3/kv/put': keyspace.put,
        '/v3/kv/deleterange': keyspace.delete,
        '/v3/kv/txn': keyspace.txn,
        '/v3/lease/grant': keyspace.grant,
        '/v3/lease/keepalive': keyspace.keep_alive,
        '/v3/lease/revoke': keyspace.revoke,
        '/admin/fault': platform.set_fault,
        '/admin/instances': platform.set_instances,
        '/admin/calls': lambda _request: dict(platform.calls),
        '/instances': lambda _request: platform.list_instances(),
    }
    handler = routes.get(path)
    if handler is None:
        return 404, {'error': 'no such path'}
    if len(str(request)) > 2 * _MEGABYTE:
        return 400, {'error': 'request is too large'}
    try:
        return 200, handler(request)
    except KeyError as error:
        return 400, {'error': str(error)}


async def _watch(platform: Platform, sock, http, create: dict) -> None:
    headers = [('Transfer-Encoding', 'chunked')]
    await _send(sock, http, h11.Response(status_code=200, headers=headers))
    await _send_line(sock, http, {'result': {'created': True}})
    keyspace = platform.keyspace
    start = int(create.get('start_revision') or keyspace.revision + 1)
    index = _find_event(keyspace, start)
    while platform.mode != 'down':
        keyspace.expire()
        fresh = keyspace.events[index:]
        index = len(keyspace.events)
        wanted = [one for one in fresh if _is_watched(one.key, create)]
        if wanted:
            await _send_line(sock, http, _build_events(wanted))
        await curio.sleep(_POLL_SECONDS)
    raise OSError('store went down')


def _find_event(keyspace: Keyspace, start: int) -> int:
    for index, event in enumerate(keyspace.events):
        if event.revision >= start:
            return index
    return len(keyspace.events)


def _is_watched(key: str, create: dict) -> bool:
    return key == create['key']


def _build_events(events: list) -> dict:
    return {
        'result': {
            'header': {'revision': str(events[-1].revision)},
            'events': [
                {
                    'type': 'DELETE' if one.content is None else 'PUT',
                    'kv': {
                        'key': one.key,
                        'value': one.content or '',
                        'mod_revision': str(one.revision),
                    },
                }
                for one in events
            ],
        }
    }


async def _send_line(sock, http, line: dict) -> None:
    payload = json.dumps(line).encode() + b'\n'
    await _send(sock, http, h11.Data(data=payload))


async def _send(sock, http, event) -> None:
    await sock.sendall(http.send(event))
