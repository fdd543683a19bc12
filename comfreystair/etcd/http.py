"""POST JSON over HTTP/1.1, one call for each connection."""

import json
from collections.abc import AsyncIterator
from typing import Final

import curio
import h11
from curio import socket

from comfreystair.dialing import Dial
from comfreystair.etcd.exceptions import PlatformError

_READ_BYTES: Final = 65536
_OK: Final = 200


async def post_json(
    dial: Dial, address: str, path: str, body: object, seconds: float
) -> dict:
    """Send a request and decode the whole answer.

    :param seconds: bound on the whole call.
    :raises PlatformError: when it fails, or its outcome can't be known.
    """
    try:
        async with curio.timeout_after(seconds):
            return await _post(dial, address, path, body)
    except curio.TaskTimeout as error:
        raise PlatformError('no answer in time', path, address) from error
    except (OSError, h11.ProtocolError, ValueError) as error:
        raise PlatformError(str(error), path, address) from error


async def stream_json(
    dial: Dial, address: str, path: str, body: object
) -> AsyncIterator[dict]:
    """Send a request and yield each line of an endless answer.

    :raises PlatformError: when the connection ends.
    """
    try:
        sock = await dial(address)
        async with sock:
            http = await _send(sock, address, path, body)
            buffer = b''
            async for chunk in _read_body(sock, http):
                *lines, buffer = (buffer + chunk).split(b'\n')
                for line in lines:
                    yield json.loads(line)
    except (OSError, h11.ProtocolError, ValueError) as error:
        raise PlatformError(str(error), path, address) from error
    raise PlatformError('stream ended', path, address)


async def _post(dial: Dial, address: str, path: str, body: object) -> dict:
    sock = await dial(address)
    async with sock:
        http = await _send(sock, address, path, body)
        content = b''.join([chunk async for chunk in _read_body(sock, http)])
    return json.loads(content)


async def _send(
    sock: socket.socket, address: str, path: str, body: object
) -> h11.Connection:
    http = h11.Connection(h11.CLIENT)
    payload = json.dumps(body).encode()
    request = h11.Request(
        method='POST',
        target=path,
        headers=[
            ('Host', address),
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(payload))),
        ],
    )
    wire = http.send(request)
    wire += http.send(h11.Data(data=payload))
    wire += http.send(h11.EndOfMessage())
    await sock.sendall(wire)
    return http


async def _read_body(
    sock: socket.socket, http: h11.Connection
) -> AsyncIterator[bytes]:
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await sock.recv(_READ_BYTES))
        elif isinstance(event, h11.Response):
            _check_status(event)
        elif isinstance(event, h11.Data):
            yield bytes(event.data)
        else:
            return


def _check_status(response: h11.Response) -> None:
    if response.status_code != _OK:
        raise OSError(f'status {response.status_code}')
