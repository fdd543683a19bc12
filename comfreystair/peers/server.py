"""Answer the calls of other daemons and of the command line."""

import hmac
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import curio
from curio import socket
from loguru import logger

from comfreystair.exceptions import ComfreystairError
from comfreystair.listening import accept_connections
from comfreystair.peers import messages
from comfreystair.peers.client import shut_down
from comfreystair.peers.exceptions import PeerError
from comfreystair.peers.messages import definitions
from comfreystair.tasks import describe_error


class Method(NamedTuple):
    """A method that peers may call.

    :param request: structure that the call carries.
    :param handle: returns the structure of the reply.
    """

    request: type
    handle: Callable[..., Awaitable[object]]


class PeerServer:
    """Serve methods by their names."""

    def __init__(self, methods: dict[str, Method], secret: str) -> None:
        """Take the methods; nothing is served before :meth:`run`."""
        self._methods = methods
        self._secret = secret

    async def run(self, sock: socket.socket) -> None:
        """Accept connections on a listening socket until cancelled."""
        await accept_connections(sock, self._serve)

    async def _serve(self, client: socket.socket, _address: tuple) -> None:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        lock = curio.Lock()
        async with client:
            try:
                await self._serve_calls(client, lock)
            except (OSError, EOFError, PeerError) as error:
                logger.debug('event=peer_lost error="{}"', error)
            await shut_down(client)
            async with lock:
                # No answer is being sent any more.
                return

    async def _serve_calls(
        self, client: socket.socket, lock: curio.Lock
    ) -> None:
        stream = client.as_stream()
        content = await messages.read_frame(stream)
        while content:
            call = messages.decode(definitions.Call, content)
            await curio.spawn(self._answer, client, lock, call, daemon=True)
            content = await messages.read_frame(stream)

    async def _answer(
        self, client: socket.socket, lock: curio.Lock, call
    ) -> None:
        reply = await self._handle(call)
        wire = messages.frame(messages.encode(reply))
        try:
            async with lock:
                await client.sendall(wire)
        except OSError as error:
            logger.debug('event=peer_lost error="{}"', error)

    async def _handle(self, call):
        expected = messages.sign(
            self._secret, call.number, call.method, call.body or b''
        )
        if not hmac.compare_digest(expected, call.mac or b''):
            return definitions.Reply(number=call.number, error='wrong code')
        method = self._methods.get(call.method)
        if method is None:
            return definitions.Reply(
                number=call.number, error=f'no method {call.method}'
            )
        try:
            request = messages.decode(method.request, call.body or b'')
            answer = await method.handle(request)
            body = messages.encode(answer)
        except ComfreystairError as error:
            return definitions.Reply(number=call.number, error=str(error))
        except Exception as error:
            # The caller is told at once instead of waiting for an answer.
            reason = describe_error(error)
            logger.error(
                'event=item_failed step="{}" error="{}"', call.method, reason
            )
            return definitions.Reply(number=call.number, error=reason)
        return definitions.Reply(number=call.number, error='', body=body)
