"""Accept callers, bound their number, and shut down without cutting any."""

import time
from typing import Final

import curio
from curio import socket
from loguru import logger

from comfreystair.callers.cancels import CancelKeys
from comfreystair.callers.exceptions import CallerGoneError, LoginError
from comfreystair.callers.own_settings import apply_setting
from comfreystair.callers.sessions import Session, SessionContext
from comfreystair.callers.startup import Login, LoginContext, greet
from comfreystair.filters import request_errors
from comfreystair.filters.exceptions import RequestError
from comfreystair.filters.session import SessionState
from comfreystair.listening import accept_connections
from comfreystair.wire.answers import build_error

_KEEPALIVE: Final = (
    (socket.TCP_KEEPIDLE, 30),
    (socket.TCP_KEEPINTVL, 10),
    (socket.TCP_KEEPCNT, 3),
)
_POLL_SECONDS: Final = 0.02
_EXPIRE_SECONDS: Final = 0.5
# A caller that was told that the daemon goes away has this long to close.
_LINGER_SECONDS: Final = 1.0


class CallerServer:
    """All callers of this daemon."""

    def __init__(
        self,
        context: SessionContext,
        login_context: LoginContext,
        cancel_keys: CancelKeys,
    ) -> None:
        """Take the shared parts; nothing is accepted before :meth:`run`."""
        self._context = context
        self._login_context = login_context
        self._cancel_keys = cancel_keys
        self._sessions: dict[Session, curio.Task] = {}
        self._connections = 0
        self._is_draining = False

    @property
    def connections(self) -> int:
        """Return how many callers are connected."""
        return self._connections

    @property
    def is_draining(self) -> bool:
        """Tell whether the daemon is shutting down."""
        return self._is_draining

    async def run(self, sock: socket.socket) -> None:
        """Accept callers on a listening socket until cancelled."""
        await accept_connections(sock, self._serve)

    async def expire_often(self) -> None:
        """End waits for callers that took too long, until cancelled."""
        while True:
            await curio.sleep(_EXPIRE_SECONDS)
            now = time.monotonic()
            for session in list(self._sessions):
                await session.expire(now)

    async def drain(self, seconds: float) -> int:
        """Let requests and transactions end, then close all sessions.

        :param seconds: bound; what still runs then is cut.
        :returns: how many sessions were cut.
        """
        self._is_draining = True
        deadline = time.monotonic() + seconds
        while self._sessions and time.monotonic() < deadline:
            await self._close_idle()
            await curio.sleep(_POLL_SECONDS)
        cut = 0
        for session, task in list(self._sessions.items()):
            cut += session.is_busy
            if session.leaving_since is None:
                await session.shut_down()
            await task.cancel(blocking=False)
        return cut

    async def _close_idle(self) -> None:
        """Tell idle callers to leave, and close those that have not left."""
        linger_from = time.monotonic() - _LINGER_SECONDS
        for session, task in list(self._sessions.items()):
            session.ask_to_leave()
            if session.leaving_since is None:
                is_idle = not session.is_busy and not session.has_input
                if is_idle and session.is_quiet:
                    await session.shut_down()
            elif session.leaving_since < linger_from:
                self._sessions.pop(session, None)
                await task.cancel(blocking=False)

    async def _serve(self, client: socket.socket, address: tuple) -> None:
        host = address[0]
        self._connections += 1
        try:
            async with client:
                _configure_socket(client)
                await self._serve_login(client, host)
        except (CallerGoneError, OSError) as error:
            logger.debug('event=caller_gone peer={} error="{}"', host, error)
        except Exception:
            # One session's fault must not reach the others.
            logger.exception('event=session_crashed peer={}', host)
        finally:
            self._connections -= 1

    async def _serve_login(self, client: socket.socket, host: str) -> None:
        settings = self._context.settings
        if self._is_draining or self._connections > settings.max_connections:
            await _refuse_login(
                client,
                request_errors.TOO_MANY_CONNECTIONS,
                'no more connections',
            )
            return
        try:
            greeter, login = await greet(
                client, self._login_context, settings.login_seconds
            )
            if login is None:
                return
            state = _build_state(login)
        except (LoginError, RequestError) as error:
            logger.info(
                'event=login_refused peer={} sqlstate={} error="{}"',
                host,
                error.sqlstate,
                error,
            )
            await _refuse_login(client, error.sqlstate, str(error))
            return
        await self._serve_session(greeter, state)

    async def _serve_session(self, greeter, state: SessionState) -> None:
        cancel_key = self._cancel_keys.add(state)
        session = Session(greeter.sock, self._context, state)
        self._sessions[session] = await curio.current_task()
        try:
            await greeter.welcome(cancel_key)
            await session.serve()
        finally:
            self._sessions.pop(session, None)
            self._cancel_keys.remove(cancel_key)


def _build_state(login: Login) -> SessionState:
    state = SessionState(
        database=login.database,
        organisation=login.organisation,
        key_id=login.key_id,
        floor_since=time.monotonic(),
    )
    for name, setting in login.options.items():
        apply_setting(state, name, setting)
    if 'floor' in login.options and login.options['floor'] != 'now':
        state.floor_since = None
    return state


def _configure_socket(client: socket.socket) -> None:
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, number in _KEEPALIVE:
        client.setsockopt(socket.IPPROTO_TCP, option, number)


async def _refuse_login(
    client: socket.socket, sqlstate: str, message: str
) -> None:
    frame = build_error(sqlstate, message, severity='FATAL')
    async with curio.ignore_after(1):
        await client.sendall(frame)
