"""Answer GET requests with short texts: readiness and metrics."""

from collections.abc import Callable
from typing import Final

import curio
import h11
from curio import socket
from loguru import logger

from comfreystair.listening import accept_connections

_READ_BYTES: Final = 4096
# Bound on one connection's rest between requests, in seconds.
_IDLE_SECONDS: Final = 30.0

Page = Callable[[], tuple[int, str]]


async def serve_pages(sock: socket.socket, page: Page) -> None:
    """Answer every request on a listening socket with a page."""

    async def handle(client: socket.socket, _address: tuple) -> None:
        await _serve(client, page)

    await accept_connections(sock, handle)


async def _serve(client: socket.socket, page: Page) -> None:
    async with client:
        try:
            await _answer(client, page)
        except (OSError, h11.ProtocolError, curio.TaskTimeout) as error:
            logger.debug('event=probe_lost reason="{}"', error)


async def _answer(client: socket.socket, page: Page) -> None:
    http = h11.Connection(h11.SERVER)
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            async with curio.timeout_after(_IDLE_SECONDS):
                http.receive_data(await client.recv(_READ_BYTES))
        elif isinstance(event, h11.EndOfMessage):
            await client.sendall(_format(http, *page()))
            if http.our_state is not h11.DONE:
                return
            http.start_next_cycle()
        elif not isinstance(event, h11.Request | h11.Data):
            return


def _format(http: h11.Connection, status: int, text: str) -> bytes:
    payload = text.encode()
    response = h11.Response(
        status_code=status,
        headers=[
            ('Content-Type', 'text/plain; charset=utf-8'),
            ('Content-Length', str(len(payload))),
        ],
    )
    return b''.join(
        (
            http.send(response),
            http.send(h11.Data(data=payload)),
            http.send(h11.EndOfMessage()),
        )
    )
