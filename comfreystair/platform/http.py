"""HTTP/1.1 with JSON bodies over connections that are kept open."""

from collections.abc import AsyncIterator, Mapping
from typing import Final, NamedTuple

import curio
import h11
import msgspec
from curio import socket

from comfreystair.dialing import Dial
from comfreystair.platform.exceptions import PlatformError

_READ_BYTES: Final = 65536
# Connections that rest between calls; calls side by side open more.
_MOST_RESTING: Final = 3
# Bound on an answer, in bytes: a range has at most 1 MB, in base64.
_MAX_BODY_BYTES: Final = 4194304


class Reply(NamedTuple):
    """A whole answer.

    :param headers: values by name in lower case.
    """

    status: int
    body: bytes
    headers: Mapping[str, str]


class HttpClient:
    """Calls to one address."""

    def __init__(self, dial: Dial, address: str) -> None:
        """Start without connections."""
        self._dial = dial
        self._address = address
        self._resting: list[_Exchange] = []

    async def call(
        self,
        method: str,
        path: str,
        seconds: float,
        body: object = None,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Reply:
        """Send a request and return the whole answer.

        :param seconds: bound on the call.
        :raises PlatformError: there was none, the outcome is unknown.
        """
        payload = b'' if body is None else msgspec.json.encode(body)
        request = h11.Request(
            method=method,
            target=path,
            headers=[
                ('Host', self._address),
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(payload))),
                *headers,
            ],
        )
        try:
            async with curio.timeout_after(seconds):
                return await self._exchange(request, payload)
        except curio.TaskTimeout as error:
            await self.drop()
            raise PlatformError('no answer', path, self._address) from error
        except (OSError, h11.ProtocolError) as error:
            raise PlatformError(str(error), path, self._address) from error

    async def drop(self) -> None:
        """Close resting connections, which may be silent for good."""
        resting = self._resting
        self._resting = []
        for exchange in resting:
            await exchange.sock.close()

    async def _exchange(self, request: h11.Request, payload: bytes) -> Reply:
        if self._resting:
            exchange = self._resting.pop()
        else:
            exchange = _Exchange(await self._dial(self._address))
        is_reusable = False
        try:
            reply = await exchange.run(request, payload)
            is_reusable = exchange.try_rest()
        finally:
            if not is_reusable:
                await exchange.sock.close()
        if is_reusable and len(self._resting) < _MOST_RESTING:
            self._resting.append(exchange)
        elif is_reusable:
            await exchange.sock.close()
        return reply


class _Exchange:
    """One connection, one call at a time."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._http = h11.Connection(h11.CLIENT)

    async def run(self, request: h11.Request, payload: bytes) -> Reply:
        """Send a request and read its answer."""
        wire = self._http.send(request)
        if payload:
            wire += self._http.send(h11.Data(data=payload))
        wire += self._http.send(h11.EndOfMessage())
        await self.sock.sendall(wire)
        status, body = 0, bytearray()
        headers: dict[str, str] = {}
        async for event in self._read_events():
            if isinstance(event, h11.Response):
                status = event.status_code
                headers = {
                    name.decode('latin-1'): text.decode('latin-1')
                    for name, text in event.headers
                }
            elif isinstance(event, h11.Data):
                body += event.data
            if len(body) > _MAX_BODY_BYTES:
                raise OSError('answer too long')
        return Reply(status, bytes(body), headers)

    def try_rest(self) -> bool:
        """Make ready for the next call; tell whether there can be one."""
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    async def _read_events(self) -> AsyncIterator[h11.Event]:
        """Yield the events of an answer up to its end."""
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self.sock.recv(_READ_BYTES))
            elif isinstance(event, h11.EndOfMessage):
                return
            elif isinstance(event, h11.Event):
                yield event
            else:
                raise OSError('connection closed before the answer')
