"""Call other daemons, many calls at a time on one connection for each."""

import contextlib
import itertools
import time
from typing import Final

import curio
from curio import socket

from comfreystair.dialing import Dial
from comfreystair.peers import messages
from comfreystair.peers.exceptions import (
    PeerError,
    PeerRefusedError,
    PeerSilentError,
    PeerUnreachedError,
)
from comfreystair.peers.messages import definitions

# Bound on connecting, in seconds: a way across the fleet takes milliseconds.
_CONNECT_SECONDS: Final = 0.25


class PeerClients:
    """Connections to other daemons by address, opened when first used."""

    def __init__(self, dial: Dial, seconds: float, secret: str) -> None:
        """Start without connections.

        :param seconds: bound on each call.
        :param secret: shared by the daemons of a deployment.
        """
        self._dial = dial
        self._seconds = seconds
        self._secret = secret
        self._channels: dict[str, _Channel] = {}
        self._dialing: dict[str, curio.Lock] = {}
        self._sent_bytes = 0
        self._sent_calls = 0

    @property
    def sent_bytes(self) -> int:
        """Return the bytes sent in calls so far."""
        return self._sent_bytes

    @property
    def sent_calls(self) -> int:
        """Return the number of calls so far."""
        return self._sent_calls

    async def call(
        self,
        address: str,
        method: str,
        body: object,
        kind: type,
        seconds: float = 0,
    ):
        """Call a method and decode its answer.

        :param seconds: bound on this call, 0 for the usual one.
        :raises PeerUnreachedError: nothing was sent.
        :raises PeerError: there was no answer, or it was an error.
        """
        channel: _Channel | None = None
        bound = seconds or self._seconds
        try:
            async with curio.timeout_after(min(bound, _CONNECT_SECONDS)):
                channel = await self._find_channel(address)
            async with curio.timeout_after(bound):
                wire = messages.encode(body)
                self._sent_bytes += len(wire)
                self._sent_calls += 1
                answer = await channel.call(method, wire, self._secret)
        except (OSError, curio.TaskTimeout) as error:
            raise await self._explain(error, channel, method, address) from (
                error
            )
        return messages.decode(kind, answer)

    def is_stalled(self, address: str, seconds: float) -> bool:
        """Tell whether calls are waiting and none was answered for a while."""
        channel = self._channels.get(address)
        return channel is not None and channel.is_stalled(seconds)

    async def close(self) -> None:
        """Close all connections."""
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()

    async def _drop_silent(self, address: str) -> None:
        """Give up a connection on which no answer came for a whole call."""
        channel = self._channels.get(address)
        if channel is not None and channel.is_silent(self._seconds):
            self._channels.pop(address)
            await channel.close()

    async def _explain(
        self,
        error: BaseException,
        channel: '_Channel | None',
        method: str,
        address: str,
    ) -> PeerError:
        """Return what to raise for a call that failed."""
        if isinstance(error, ConnectionRefusedError):
            return PeerRefusedError('refused', method, address)
        if channel is None:
            return PeerUnreachedError('no connection', method, address)
        if isinstance(error, curio.TaskTimeout):
            await self._drop_silent(address)
            return PeerSilentError('no answer in time', method, address)
        return PeerError(str(error), method, address)

    async def _find_channel(self, address: str) -> '_Channel':
        channel = self._channels.get(address)
        if channel is not None and not channel.is_closed:
            return channel
        lock = self._dialing.setdefault(address, curio.Lock())
        async with lock:
            channel = self._channels.get(address)
            if channel is None or channel.is_closed:
                channel = await _open_channel(self._dial, address)
                self._channels[address] = channel
        return channel


class _Channel:
    """One connection with calls under way on it."""

    def __init__(self, sock: socket.socket, address: str) -> None:
        self._sock = sock
        self._address = address
        self._numbers = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._lock = curio.Lock()
        self._is_closed = False
        self._heard_at = time.monotonic()

    def is_silent(self, seconds: float) -> bool:
        """Tell whether nothing was received for some seconds."""
        return time.monotonic() - self._heard_at >= seconds

    def is_stalled(self, seconds: float) -> bool:
        """Tell whether a call waits that long and nothing was received."""
        since = time.monotonic() - seconds
        oldest = next(iter(self._pending.values()), None)
        is_waiting = oldest is not None and oldest.sent_at < since
        return is_waiting and self._heard_at < since

    @property
    def is_closed(self) -> bool:
        """Tell whether the connection is gone."""
        return self._is_closed

    async def call(self, method: str, body: bytes, secret: str) -> bytes:
        """Send a call and wait for its reply."""
        number = next(self._numbers)
        call = definitions.Call(
            number=number,
            method=method,
            body=body,
            mac=messages.sign(secret, number, method, body),
        )
        pending = _Pending()
        self._pending[number] = pending
        try:
            await self._send(messages.frame(messages.encode(call)))
            await pending.event.wait()
        finally:
            self._pending.pop(number, None)
        if pending.reply is None:
            raise PeerError('connection lost', method, self._address)
        if pending.reply.error:
            raise PeerError(pending.reply.error, method, self._address)
        return pending.reply.body or b''

    async def read_replies(self) -> None:
        """Hand each reply to its call until the connection ends."""
        stream = self._sock.as_stream()
        try:
            while True:
                content = await messages.read_frame(stream)
                if not content:
                    return
                self._heard_at = time.monotonic()
                reply = messages.decode(definitions.Reply, content)
                pending = self._pending.get(reply.number)
                if pending is not None:
                    await pending.finish(reply)
        except (OSError, EOFError, PeerError):
            return
        finally:
            await self._close_socket()

    async def close(self) -> None:
        """End the calls under way; the reading task closes the connection."""
        self._is_closed = True
        for pending in list(self._pending.values()):
            await pending.finish(None)
        await shut_down(self._sock)

    async def _close_socket(self) -> None:
        await self.close()
        # Nobody may wait on a socket that is closed: the loop would fail when
        # its number is used again.
        async with self._lock:
            await self._sock.close()

    async def _send(self, wire: bytes) -> None:
        is_sent = False
        async with self._lock:
            try:
                await self._sock.sendall(wire)
                is_sent = True
            finally:
                # A message sent in part would garble all that follow.
                self._is_closed = self._is_closed or not is_sent


async def shut_down(sock: socket.socket) -> None:
    """End both directions, which wakes every task that waits on them."""
    with contextlib.suppress(OSError):
        await sock.shutdown(socket.SHUT_RDWR)


class _Pending:
    """A call that waits for its reply."""

    def __init__(self) -> None:
        self.event = curio.Event()
        self.reply = None
        self.sent_at = time.monotonic()

    async def finish(self, reply) -> None:
        """Set the reply, absent when the connection was lost."""
        self.reply = reply
        await self.event.set()


async def _open_channel(dial: Dial, address: str) -> _Channel:
    channel = _Channel(await dial(address), address)
    await curio.spawn(channel.read_replies, daemon=True)
    return channel
