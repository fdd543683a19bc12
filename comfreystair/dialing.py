"""Open TCP connections from this instance's own address, and look at them."""

import select
from collections.abc import Awaitable, Callable

from curio import socket

Dial = Callable[[str], Awaitable[socket.socket]]


def build_dialer(source: str) -> Dial:
    """Return a function that connects to ``host:port``.

    :param source: IP number to connect from, empty for any.
    """

    async def dial(address: str) -> socket.socket:
        host, _, port = address.rpartition(':')
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            if source:
                sock.bind((source, 0))
            await sock.connect((host, int(port)))
        except BaseException:
            await sock.close()
            raise
        return sock

    return dial


def has_input(sock: socket.socket) -> bool:
    """Tell whether input, or the end of the connection, waits to be read."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))
