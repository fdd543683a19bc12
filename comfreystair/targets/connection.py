"""One connection to a target: startup, exchanges, cancel."""

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import curio
from curio import socket
from pygwire import messages
from pygwire.connection import FrontendConnection
from scramp import ScramClient, ScramException

from comfreystair.controllers.positions import TargetStatus
from comfreystair.dialing import Dial
from comfreystair.targets import status as commands
from comfreystair.targets.exceptions import (
    TargetBusyError,
    TargetConnectError,
    TargetLostError,
)
from comfreystair.targets.plans import Plan, Step
from comfreystair.wire.exceptions import FrameError
from comfreystair.wire.frames import FrameBuffer

_READ_BYTES: Final = 65536
_FLUSH_FRAMES: Final = 512
_MAX_FRAME_BYTES: Final = 1073741824
_COMPLETIONS: Final = frozenset(
    (b'1', b'2', b'3', b'n', b'T', b'C', b'I', b's')
)
_REFUSED_COPIES: Final = frozenset((b'G', b'H', b'W'))
_COPY_FAIL: Final = messages.CopyFail(
    error_message='COPY is not supported'
).to_wire()
_READY_BYTES: Final = 6
_TOO_MANY: Final = '53300'
_MECHANISM: Final = 'SCRAM-SHA-256'

Sink = Callable[[bytes], Awaitable[None]]


class Use(NamedTuple):
    """What a lent connection is used for.

    :param term: of the primary that the request was placed at, 0 for reads.
    :param is_repeatable: the request may run again elsewhere.
    :param deadline: monotonic seconds at which the exchange is ended.
    """

    term: int = 0
    is_repeatable: bool = False
    deadline: float = float('inf')


class Answer(NamedTuple):
    """The whole answer to a batch.

    :param frames: for the caller, without ReadyForQuery.
    :param status: transaction status, one byte.
    :param error: the last ErrorResponse frame, empty when there was none.
    :param position: the target's status asked for right after the batch.
    """

    frames: bytes
    status: bytes
    error: bytes = b''
    position: TargetStatus | None = None


class TargetConnection:
    """A started connection; runs one exchange at a time."""

    def __init__(
        self,
        sock: socket.socket,
        address: str,
        buffer: FrameBuffer,
        cancel_key: tuple[int, bytes],
    ) -> None:
        """Wrap a socket whose startup is done."""
        self._sock = sock
        self._address = address
        self._buffer = buffer
        self._cancel_key = cancel_key
        self._is_broken = False
        self._is_aborted = False
        self._prepared: dict[str, None] = {}
        self._use = Use()

    @property
    def use(self) -> Use:
        """Return what the connection is lent for."""
        return self._use

    @use.setter
    def use(self, use: Use) -> None:
        """Set what the connection is lent for."""
        self._use = use

    @property
    def address(self) -> str:
        """Return ``host:port`` of the target."""
        return self._address

    @property
    def is_broken(self) -> bool:
        """Tell whether the connection can't be used any more."""
        return self._is_broken

    @property
    def prepared(self) -> dict[str, None]:
        """Return the names of statements prepared here."""
        return self._prepared

    async def exchange(
        self,
        plan: Plan,
        wants_position: bool = False,
        sink: Sink | None = None,
    ) -> Answer:
        """Send a batch and read its whole answer.

        A connection whose exchange did not end is broken, so that a late
        answer never reaches anyone else.

        :param wants_position: ask for the target's status right after it.
        :param sink: takes parts of a large answer while it comes in.
        :raises TargetLostError: the outcome may not be known.
        """
        was_broken = self._is_broken
        self._is_broken = True
        if was_broken:
            raise TargetLostError('already broken', 'send', self._address)
        wire = plan.wire
        if wants_position:
            wire += commands.query_frame(commands.STATUS_SQL)
        try:
            await self._sock.sendall(wire)
            answer = await self._read_answer(plan.steps, sink)
            if wants_position:
                decoded = await self._read_status()
                if decoded is not None:
                    answer = answer._replace(position=decoded[1])
        except (OSError, FrameError) as error:
            raise TargetLostError(
                str(error), 'exchange', self._address
            ) from error
        # An abort in the meantime leaves it broken for good.
        self._is_broken = self._is_aborted
        return answer

    async def command(self, sql: str) -> tuple[bool, TargetStatus]:
        """Run a command of the database group.

        :raises TargetLostError: it may have taken effect.
        """
        was_broken = self._is_broken
        self._is_broken = True
        if was_broken:
            raise TargetLostError('already broken', 'send', self._address)
        try:
            await self._sock.sendall(commands.query_frame(sql))
            decoded = await self._read_status()
        except (OSError, FrameError) as error:
            raise TargetLostError(
                str(error), 'command', self._address
            ) from error
        if decoded is None:
            raise TargetLostError('no status', 'command', self._address)
        self._is_broken = self._is_aborted
        return decoded

    async def cancel(self, dial: Dial, seconds: float) -> None:
        """Ask the target to cancel what runs here; it may come too late."""
        process_id, secret_key = self._cancel_key
        request = messages.CancelRequest(
            process_id=process_id, secret_key=secret_key
        )
        async with curio.ignore_after(seconds):
            sock = await dial(self._address)
            async with sock:
                await sock.sendall(request.to_wire())

    async def abort(self) -> None:
        """End an exchange that waits for a target that does not answer."""
        self._is_aborted = True
        self._is_broken = True
        try:
            await self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The target closed it first; the exchange ends all the same.
            return

    async def close(self) -> None:
        """Close the socket."""
        self._is_broken = True
        await self._sock.close()

    async def _next_frame(self):
        frame = self._buffer.next_frame()
        while frame is None:
            chunk = await self._sock.recv(_READ_BYTES)
            if not chunk:
                raise ConnectionResetError('target closed the connection')
            self._buffer.feed(chunk)
            frame = self._buffer.next_frame()
        return frame

    async def _read_answer(
        self, steps: tuple[Step, ...], sink: Sink | None
    ) -> Answer:
        plain = None if steps else await self._read_plain()
        if plain is not None:
            return plain
        return await self._read_frames(steps, sink)

    async def _read_frames(
        self, steps: tuple[Step, ...], sink: Sink | None
    ) -> Answer:
        parts: list[bytes] = []
        pending = list(reversed(steps))
        error = b''
        frame = await self._next_frame()
        while frame.kind != b'Z':
            if frame.kind == b'E':
                error = frame.raw
            if frame.kind in _REFUSED_COPIES:
                await self._refuse_copy(frame.kind)
            elif not pending or self._follow_steps(frame, pending, parts):
                parts.append(frame.raw)
            if sink is not None and len(parts) > _FLUSH_FRAMES:
                await sink(b''.join(parts))
                parts.clear()
            frame = await self._next_frame()
        if not error:
            _insert_frames(pending, parts)
        return Answer(b''.join(parts), frame.raw[-1:], error)

    async def _read_plain(self) -> Answer | None:
        """Read an answer that came in one piece and holds nothing special."""
        if not self._buffer.has_partial:
            chunk = await self._sock.recv(_READ_BYTES)
            if not chunk:
                raise ConnectionResetError('target closed the connection')
            self._buffer.feed(chunk)
        whole = self._buffer.take_plain_answer()
        if whole is None:
            return None
        return Answer(whole[:-_READY_BYTES], whole[-1:])

    def _follow_steps(
        self, frame, pending: list[Step], parts: list[bytes]
    ) -> bool:
        """Apply the next step of a plan; tell whether to keep the frame."""
        _insert_frames(pending, parts)
        if frame.kind not in _COMPLETIONS or not pending:
            return True
        step = pending.pop()
        if step.learned:
            self._prepared[step.learned] = None
        return step.action != 'drop'

    async def _refuse_copy(self, kind: bytes) -> None:
        if kind == b'G':
            await self._sock.sendall(_COPY_FAIL)
            return
        raise ConnectionResetError('target started an unsupported COPY')

    async def _read_status(self) -> tuple[bool, TargetStatus] | None:
        decoded = None
        while True:
            frame = await self._next_frame()
            if frame.kind == b'D':
                decoded = commands.decode_row(frame.raw)
            if frame.kind == b'Z':
                return decoded


def _insert_frames(pending: list[Step], parts: list[bytes]) -> None:
    while pending and pending[-1].action == 'insert':
        parts.append(pending.pop().frame)


async def open_connection(
    dial: Dial, address: str, user: str, password: str, database: str
) -> TargetConnection:
    """Connect, authenticate, and wait until the target is ready.

    :raises TargetConnectError: nothing of any caller was sent.
    """
    try:
        sock = await dial(address)
    except OSError as error:
        raise TargetConnectError(str(error), 'connect', address) from error
    try:
        return await _start(sock, address, user, password, database)
    except (OSError, ScramException, FrameError) as error:
        await sock.close()
        raise TargetConnectError(str(error), 'startup', address) from error
    except BaseException:
        await sock.close()
        raise


async def _start(
    sock: socket.socket,
    address: str,
    user: str,
    password: str,
    database: str,
) -> TargetConnection:
    protocol = FrontendConnection()
    scram = ScramClient([_MECHANISM], user, password)
    startup = messages.StartupMessage(
        params={'user': user, 'database': database}
    )
    await sock.sendall(protocol.send(startup))
    cancel_key = (0, b'')
    while True:
        chunk = await sock.recv(_READ_BYTES)
        if not chunk:
            raise ConnectionResetError('target closed the connection')
        for message in protocol.receive(chunk):
            if isinstance(message, messages.BackendKeyData):
                cancel_key = (message.process_id, message.secret_key)
            if isinstance(message, messages.ReadyForQuery):
                buffer = FrameBuffer(_MAX_FRAME_BYTES)
                return TargetConnection(sock, address, buffer, cancel_key)
            reply = _answer_startup(scram, message)
            if reply is not None:
                await sock.sendall(protocol.send(reply))


def _answer_startup(
    scram: ScramClient, message: messages.PGMessage
) -> messages.PGMessage | None:
    if isinstance(message, messages.ErrorResponse):
        fields = message.fields
        if fields.get('C') == _TOO_MANY:
            raise TargetBusyError(fields.get('M', ''), 'startup')
        raise ConnectionRefusedError(
            f'{fields.get("C", "")} {fields.get("M", "")}'
        )
    if isinstance(message, messages.AuthenticationSASL):
        return messages.SASLInitialResponse(
            mechanism=_MECHANISM, data=scram.get_client_first().encode()
        )
    if isinstance(message, messages.AuthenticationSASLContinue):
        scram.set_server_first(message.data.decode())
        return messages.SASLResponse(data=scram.get_client_final().encode())
    if isinstance(message, messages.AuthenticationSASLFinal):
        scram.set_server_final(message.data.decode())
    return None
