"""Open TCP connections from this instance's own address, and look at them."""

import select
from collections.abc import Awaitable, Callable
from typing import Final

from curio import socket

_MAX_PORT: Final = 65535

Dial = Callable[[str], Awaitable[socket.socket]]


def build_dialer(source: str) -> Dial:
    """Return a function that connects to ``host:port``.

    :param source: IP number to connect from, empty for any.
    """

    async def dial(address: str) -> socket.socket:
        host, port = split_address(address)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            if source:
                sock.bind((source, 0))
            await sock.connect((host, port))
        except BaseException:
            await sock.close()
            raise
        return sock

    return dial


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address.

    :raises OSError: when it can't be connected to.
    """
    host, _, port = address.rpartition(':')
    is_number = port.isascii() and port.isdecimal()
    is_port = is_number and len(port) <= len(str(_MAX_PORT))
    if not host.isascii() or not is_port or int(port) > _MAX_PORT:
        raise OSError(f'not an address: {address!r:.60}')
    return host, int(port)


def has_input(sock: socket.socket) -> bool:
    """Tell whether input, or the end of the connection, waits to be read."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))
