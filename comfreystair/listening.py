"""Accept connections for the life of a process."""

import resource
from collections.abc import Awaitable, Callable
from typing import Final

import curio
from curio import socket
from loguru import logger

from comfreystair.tasks import contain_errors

# Delay after a connection could not be accepted, as when there is no free
# descriptor, in seconds.
_RETRY_DELAY_SECONDS: Final = 0.1
# Descriptors that the platform keeps for files.
_FILE_DESCRIPTORS: Final = 200
# Share of the others that callers may use; targets, other instances, the store
# and callers that are turned away need the rest.
_CALLERS_SHARE: Final = 0.7

Handle = Callable[[socket.socket, tuple], Awaitable[None]]


async def accept_connections(sock: socket.socket, handle: Handle) -> None:
    """Accept connections until cancelled, each served by a task of its own.

    :param handle: serves a connection, given its socket and its far end, and
        closes it.
    """
    async with sock:
        while True:
            try:
                client, address = await sock.accept()
            except OSError as error:
                logger.warning('event=accept_failed reason="{}"', error)
                await curio.sleep(_RETRY_DELAY_SECONDS)
            else:
                await curio.spawn(_serve, handle, client, address, daemon=True)


def find_most_callers(descriptors: int) -> int:
    """Return how many callers may be connected at the same time.

    :param descriptors: limit of the settings, 0 for that of the process alone.
    """
    limit, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors:
        limit = min(limit, descriptors)
    return max(int((limit - _FILE_DESCRIPTORS) * _CALLERS_SHARE), 1)


async def _serve(handle: Handle, client: socket.socket, address: tuple) -> None:
    with contain_errors('serve_connection', address):
        await handle(client, address)
