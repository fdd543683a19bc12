"""Serve one caller after its login, batch by batch."""

import time
from typing import Final, NamedTuple

import curio
from curio import socket
from loguru import logger

from comfreystair.callers.exceptions import CallerGoneError
from comfreystair.callers.own_settings import answer_locally, is_local
from comfreystair.callers.texts import classify_texts, find_texts
from comfreystair.conf.schema import CallersSection
from comfreystair.dialing import has_input
from comfreystair.filters import request_errors
from comfreystair.filters.exceptions import RequestError
from comfreystair.filters.request import Handler, Request
from comfreystair.filters.session import SessionState
from comfreystair.observability.traces import Trace, Tracer
from comfreystair.routing.statements import Statement
from comfreystair.targets.connection import TargetConnection
from comfreystair.targets.exceptions import TargetLostError
from comfreystair.targets.plans import Plan
from comfreystair.targets.status import query_frame
from comfreystair.wire.answers import (
    CLOSE_COMPLETE,
    FAILED_TRANSACTION,
    IDLE,
    build_command_complete,
    build_error,
    build_ready,
)
from comfreystair.wire.batches import Batch, BatchReader, is_batched
from comfreystair.wire.exceptions import FrameError
from comfreystair.wire.frames import Frame, FrameBuffer

_READ_BYTES: Final = 65536
_ROLLBACK_SECONDS: Final = 1.0
_QUIET_SECONDS: Final = 0.25
_TERMINATE: Final = b'X'
_FLUSH: Final = b'H'
_NEVER: Final = float('inf')
_COPY_FRAMES: Final = frozenset((b'd', b'c', b'f'))


class SessionContext(NamedTuple):
    """What sessions share."""

    handler: Handler
    settings: CallersSection
    tracer: Tracer


class Session:
    """One logged-in caller."""

    def __init__(
        self, sock, context: SessionContext, state: SessionState
    ) -> None:
        """Take the caller's socket and its state."""
        self._sock = sock
        self._context = context
        self._state = state
        self._frames = FrameBuffer(context.settings.max_message_bytes)
        self._batches = BatchReader()
        self._is_busy = False
        self._is_over = False
        self._skips_to_sync = False
        self._is_expired = False
        self._is_asked_to_leave = False
        self._leaving_since: float | None = None
        self._answered_at = time.monotonic()
        self._is_writing = False
        self._deadline = _NEVER

    @property
    def is_busy(self) -> bool:
        """Tell whether a request runs or a transaction is open."""
        return self._is_busy or self._state.pinned_transaction is not None

    @property
    def leaving_since(self) -> float | None:
        """Return when the caller was told that the daemon goes away.

        Nothing if it was not told. In monotonic seconds.
        """
        return self._leaving_since

    @property
    def is_quiet(self) -> bool:
        """Tell whether the caller has had time to read the last answer.

        A notice that it reads together with an answer is lost: its driver
        expects nothing more at that time.
        """
        return time.monotonic() - self._answered_at > _QUIET_SECONDS

    @property
    def has_input(self) -> bool:
        """Tell whether the caller sent something that was not read yet."""
        return has_input(self._sock)

    async def serve(self) -> None:
        """Serve until the caller leaves or an error ends the session.

        :raises CallerGoneError: the caller is gone.
        """
        try:
            while not self._is_over:
                frame = await self._next_frame()
                # What arrives after the notice that the daemon goes away is
                # read, so that closing does not reset the connection, which
                # could destroy the notice on its way. It does not run.
                if self._leaving_since is None:
                    await self._take_frame(frame)
        except FrameError as error:
            await self._end(request_errors.PROTOCOL_VIOLATION, str(error))
        except UnicodeDecodeError as error:
            await self._end('22021', str(error))
        except (IndexError, ValueError) as error:
            await self._end(request_errors.PROTOCOL_VIOLATION, str(error))
        finally:
            await self._abandon()

    async def expire(self, now: float) -> None:
        """End a wait for the caller that took too long."""
        if now <= self._deadline:
            return
        self._deadline = _NEVER
        self._is_expired = True
        try:
            # A blocked write ends only when both directions are closed.
            direction = socket.SHUT_RDWR if self._is_writing else socket.SHUT_RD
            await self._sock.shutdown(direction)
        except OSError:
            # The caller closed it first.
            return

    def ask_to_leave(self) -> None:
        """Answer the next request outside a transaction with the notice."""
        self._is_asked_to_leave = True

    async def shut_down(self) -> None:
        """Tell an idle caller that the daemon goes away.

        From now on nothing that it sends runs. :meth:`serve` returns when it
        closes the connection.
        """
        self._leaving_since = time.monotonic()
        frame = build_error(
            request_errors.SHUTTING_DOWN,
            'the daemon is shutting down',
            severity='FATAL',
        )
        try:
            await self._send(frame)
            await self._sock.shutdown(socket.SHUT_WR)
        except (CallerGoneError, OSError) as error:
            logger.debug('event=caller_gone error="{}"', error)

    async def _take_frame(self, frame: Frame) -> None:
        if frame.kind == _TERMINATE:
            self._is_over = True
        elif self._skips_to_sync:
            await self._skip(frame)
        elif is_batched(frame):
            await self._add_to_batch(frame)
        else:
            await self._take_other(frame)

    async def _add_to_batch(self, frame: Frame) -> None:
        batch = self._batches.add(frame)
        if batch is None:
            return
        if self._is_asked_to_leave and not self.is_busy:
            await self.shut_down()
        else:
            await self._answer(batch)

    async def _take_other(self, frame: Frame) -> None:
        if frame.kind == _FLUSH:
            await self._refuse_flush()
        elif frame.kind not in _COPY_FRAMES:
            raise FrameError(f'unexpected message {frame.kind!r}', 'read')

    async def _skip(self, frame: Frame) -> None:
        if frame.kind == b'S':
            self._skips_to_sync = False
            await self._send(build_ready(self._state.status))

    async def _refuse_flush(self) -> None:
        error = request_errors.build_unsupported_error('Flush before Sync')
        self._batches = BatchReader()
        self._skips_to_sync = True
        await self._send(_build_refusal(error, ''))

    async def _next_frame(self) -> Frame:
        frame = self._frames.next_frame()
        while frame is None:
            self._frames.feed(await self._receive())
            frame = self._frames.next_frame()
        return frame

    async def _receive(self) -> bytes:
        self._deadline = self._find_read_deadline()
        try:
            chunk = await self._sock.recv(_READ_BYTES)
        except OSError as error:
            raise CallerGoneError(str(error), 'read') from error
        finally:
            self._deadline = _NEVER
        if not chunk and self._is_expired:
            await self._end(
                request_errors.IDLE_TRANSACTION, 'the caller was idle too long'
            )
        if not chunk:
            raise CallerGoneError('closed by the caller', 'read')
        return chunk

    def _find_read_deadline(self) -> float:
        settings = self._context.settings
        if self._state.pinned_transaction is not None:
            return time.monotonic() + settings.idle_transaction_seconds
        if self._frames.has_partial or not self._batches.is_empty:
            return time.monotonic() + settings.partial_seconds
        return _NEVER

    async def _answer(self, batch: Batch) -> None:
        self._is_busy = True
        trace = self._context.tracer.start()
        try:
            frames = await self._run(batch, trace)
        except RequestError as error:
            await self._refuse(error, trace)
        else:
            await self._send(frames + build_ready(self._state.status))
        finally:
            self._is_busy = False
            self._answered_at = time.monotonic()

    async def _run(self, batch: Batch, trace: Trace) -> bytes:
        state = self._state
        texts = find_texts(state, batch)
        is_executed = not batch.is_extended or any(
            frame.kind == b'E' for frame in batch.frames
        )
        statement = classify_texts(texts, is_executed)
        if (
            state.status == FAILED_TRANSACTION
            and state.pinned_transaction is None
        ):
            return self._answer_failed(statement)
        if _only_closes(batch):
            return CLOSE_COMPLETE * (len(batch.frames) - 1)
        if is_executed and is_local(statement):
            return answer_locally(state, batch, statement)
        request = Request(
            state,
            batch,
            texts,
            statement,
            trace,
            time.monotonic(),
            sink=self._send,
        )
        answer = await self._context.handler(request)
        state.status = answer.status
        return answer.frames

    def _answer_failed(self, statement: Statement) -> bytes:
        """Answer in a transaction that was lost with its connection."""
        if statement.kinds == ('end',):
            self._state.status = IDLE
            return build_command_complete('ROLLBACK')
        raise RequestError(
            request_errors.FAILED_TRANSACTION,
            'current transaction is aborted, commands ignored until its end',
            step='route',
        )

    async def _refuse(self, error: RequestError, trace: Trace) -> None:
        state = self._state
        was_open = state.status != IDLE
        await self._abandon()
        is_ended = error.sqlstate == request_errors.OUTCOME_UNKNOWN
        state.status = FAILED_TRANSACTION if was_open else IDLE
        if is_ended:
            state.status = IDLE
        frames = _build_refusal(error, trace.ident)
        if error.is_fatal:
            self._is_over = True
            await self._send(frames)
        else:
            await self._send(frames + build_ready(state.status))

    async def _abandon(self) -> None:
        """Roll back an open transaction and give its connection back."""
        pinned = self._state.pinned_transaction
        if pinned is None:
            return
        self._state.pinned_transaction = None
        connection = pinned.connection
        try:
            async with curio.ignore_after(_ROLLBACK_SECONDS):
                await _roll_back(connection)
        except TargetLostError:
            await connection.close()
        finally:
            await pinned.selected_target.pool.release(connection)

    async def _end(self, sqlstate: str, message: str) -> None:
        self._is_over = True
        frame = build_error(sqlstate, message, severity='FATAL')
        try:
            await self._send(frame)
        except CallerGoneError:
            return

    async def _send(self, frames: bytes) -> None:
        seconds = self._context.settings.write_seconds
        self._deadline = time.monotonic() + seconds
        self._is_writing = True
        try:
            await self._sock.sendall(frames)
        except OSError as error:
            raise CallerGoneError(str(error), 'write') from error
        finally:
            self._is_writing = False
            self._deadline = _NEVER


def _only_closes(batch: Batch) -> bool:
    """Tell whether a batch only closes prepared statements, or nothing."""
    return batch.is_extended and all(
        frame.kind == b'S' or (frame.kind == b'C' and frame.payload[:1] == b'S')
        for frame in batch.frames
    )


async def _roll_back(connection: TargetConnection) -> None:
    if connection.is_broken:
        return
    rolled_back = await connection.exchange(Plan(query_frame('ROLLBACK')))
    if rolled_back.status != IDLE:
        await connection.close()


def _build_refusal(error: RequestError, trace_ident: str) -> bytes:
    detail = f'step {error.step}'
    if error.peer:
        detail = f'{detail}, peer {error.peer}'
    if trace_ident:
        detail = f'{detail}, comfreystair trace {trace_ident}'
    return build_error(
        error.sqlstate,
        str(error),
        severity='FATAL' if error.is_fatal else 'ERROR',
        hint=error.hint,
        detail=detail,
    )
