"""Let a caller in: negotiation, TLS, startup message, key, first answers."""

import shlex
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import curio
from pygwire import messages
from pygwire.codec import FrontendMessageDecoder
from pygwire.constants import ConnectionPhase
from pygwire.exceptions import PygwireError
from scramp import ScramException

from comfreystair.callers.exceptions import CallerGoneError, LoginError
from comfreystair.callers.keys import MECHANISM, KeyCheck
from comfreystair.filters import request_errors
from comfreystair.manifest.index import ManifestHolder, ManifestIndex
from comfreystair.manifest.schema import PUBLIC_ORGANISATION

_READ_BYTES: Final = 4096
_MAX_LOGIN_BYTES: Final = 16384
_OWN_PREFIX: Final = 'comfreystair.'
_SERVER_PARAMETERS: Final = (
    ('server_version', '16.0'),
    ('server_encoding', 'UTF8'),
    ('client_encoding', 'UTF8'),
    ('DateStyle', 'ISO, MDY'),
    ('IntervalStyle', 'postgres'),
    ('TimeZone', 'UTC'),
    ('integer_datetimes', 'on'),
    ('standard_conforming_strings', 'on'),
)

Cancel = Callable[[int, bytes], Awaitable[None]]


class Login(NamedTuple):
    """A caller that was let in.

    :param options: own settings of the startup message, without the prefix.
    """

    database: str
    organisation: str
    key_id: str
    options: dict[str, str]


class LoginContext(NamedTuple):
    """What logins need.

    :param secret: see :class:`comfreystair.callers.keys.KeyCheck`.
    :param tls: wraps a socket, absent when no certificate is set.
    """

    holder: ManifestHolder
    cancel: Cancel
    secret: bytes
    tls: object | None = None


class Greeter:
    """The login of one connection."""

    def __init__(self, sock, context: LoginContext) -> None:
        """Take an accepted socket."""
        self._sock = sock
        self._context = context
        self._decoder = FrontendMessageDecoder()
        self._received = 0
        self._is_encrypted = False

    @property
    def sock(self):
        """Return the socket, wrapped when TLS was agreed on."""
        return self._sock

    async def log_in(self) -> Login | None:
        """Let the caller in; nothing when it only came to cancel.

        :raises LoginError: the caller is to get an error.
        :raises CallerGoneError: the caller is gone.
        """
        startup = await self._negotiate()
        if startup is None:
            return None
        login = _read_startup(startup)
        manifest = self._context.holder.current
        if manifest is None:
            raise LoginError(request_errors.NOT_RUN, 'no manifest yet')
        if login.organisation == PUBLIC_ORGANISATION:
            return _admit_public(manifest, login)
        key_id = await self._check_key(manifest, login.organisation)
        if manifest.find_service(login.database) is None:
            raise LoginError(
                '3D000', f'database "{login.database}" does not exist'
            )
        return login._replace(key_id=key_id)

    async def welcome(self, cancel_key: tuple[int, bytes]) -> None:
        """Send what follows a successful login."""
        process_id, secret_key = cancel_key
        sent: list[messages.PGMessage] = [messages.AuthenticationOk()]
        sent.extend(
            messages.ParameterStatus(name=name, value=setting)
            for name, setting in _SERVER_PARAMETERS
        )
        sent.append(
            messages.BackendKeyData(
                process_id=process_id, secret_key=secret_key
            )
        )
        sent.append(messages.ReadyForQuery())
        await self._send(*sent)

    async def _negotiate(self) -> messages.StartupMessage | None:
        while True:
            message = await self._next(ConnectionPhase.STARTUP)
            if isinstance(message, messages.StartupMessage):
                return message
            if isinstance(message, messages.CancelRequest):
                await self._context.cancel(
                    message.process_id, bytes(message.secret_key)
                )
                return None
            await self._answer_encryption(message)

    async def _answer_encryption(self, message) -> None:
        if isinstance(message, messages.SSLRequest):
            await self._answer_tls()
        elif isinstance(message, messages.GSSEncRequest):
            await self._send(messages.GSSResponse(accepted=False))
        else:
            raise LoginError(request_errors.PROTOCOL_VIOLATION, 'bad startup')

    async def _answer_tls(self) -> None:
        # Bytes sent before the handshake must not count as encrypted.
        if self._decoder.buffered or self._is_encrypted:
            raise LoginError(
                request_errors.PROTOCOL_VIOLATION, 'bad TLS request'
            )
        tls = self._context.tls
        await self._send(messages.SSLResponse(accepted=tls is not None))
        if tls is not None:
            self._sock = await tls.wrap_socket(
                self._sock, server_side=True, do_handshake_on_connect=False
            )
            await self._sock.do_handshake()
            self._is_encrypted = True

    async def _check_key(
        self, manifest: ManifestIndex, organisation: str
    ) -> str:
        check = KeyCheck(
            manifest.find_organisation(organisation),
            organisation,
            self._context.secret,
        )
        await self._send(messages.AuthenticationSASL(mechanisms=[MECHANISM]))
        first = await self._next(ConnectionPhase.AUTHENTICATING_SASL_INITIAL)
        if first.mechanism != MECHANISM:
            raise LoginError(request_errors.INVALID_KEY, 'unknown mechanism')
        try:
            answer = check.read_first(bytes(first.data))
        except (ScramException, ValueError, IndexError) as error:
            raise LoginError(
                request_errors.INVALID_KEY, 'malformed login'
            ) from error
        await self._send(messages.AuthenticationSASLContinue(data=answer))
        proof = await self._next(ConnectionPhase.AUTHENTICATING_SASL_CONTINUE)
        passed = check.read_final(bytes(proof.data))
        if passed is None:
            raise LoginError(
                request_errors.INVALID_KEY,
                f'key not accepted for organisation "{organisation}"',
            )
        key_id, final = passed
        await self._send(messages.AuthenticationSASLFinal(data=final))
        return key_id

    async def _next(self, phase: ConnectionPhase):
        self._decoder.phase = phase
        while True:
            try:
                message = next(self._decoder, None)
            except (PygwireError, ValueError) as error:
                raise LoginError(
                    request_errors.PROTOCOL_VIOLATION, str(error)
                ) from error
            if message is not None:
                return message
            await self._receive()

    async def _receive(self) -> None:
        try:
            chunk = await self._sock.recv(_READ_BYTES)
        except OSError as error:
            raise CallerGoneError(str(error), 'login') from error
        if not chunk:
            raise CallerGoneError('closed during login', 'login')
        self._received += len(chunk)
        if self._received > _MAX_LOGIN_BYTES:
            raise LoginError(
                request_errors.PROTOCOL_VIOLATION, 'login too long'
            )
        self._decoder.feed(chunk)

    async def _send(self, *sent: messages.PGMessage) -> None:
        try:
            await self._sock.sendall(b''.join(one.to_wire() for one in sent))
        except OSError as error:
            raise CallerGoneError(str(error), 'login') from error


def _read_startup(startup: messages.StartupMessage) -> Login:
    fields = startup.params
    organisation = fields.get('user', '')
    if not organisation:
        raise LoginError(
            request_errors.INVALID_KEY, 'no organisation in the login'
        )
    if fields.get('replication', 'false') not in {'false', 'off', '0'}:
        raise LoginError(
            request_errors.NOT_SUPPORTED, 'replication connections'
        )
    database = fields.get('database') or organisation
    options = _read_options(fields.get('options', ''))
    return Login(database, organisation, '', options)


def _read_options(text: str) -> dict[str, str]:
    """Read ``-c name=setting`` pairs; only the project's own are allowed."""
    words = iter(shlex.split(text))
    options = {}
    for word in words:
        pair = next(words, '') if word == '-c' else word.removeprefix('-c')
        name, _, setting = pair.removeprefix('--').partition('=')
        if not name.startswith(_OWN_PREFIX):
            raise LoginError(
                request_errors.NOT_SUPPORTED,
                f'startup option "{name}" is not supported',
            )
        options[name.removeprefix(_OWN_PREFIX)] = setting
    return options


def _admit_public(manifest: ManifestIndex, login: Login) -> Login:
    if not manifest.has_open_route(login.database):
        raise LoginError(
            request_errors.INVALID_KEY,
            f'database "{login.database}" has no route open to all',
        )
    return login


async def greet(
    sock, context: LoginContext, seconds: float
) -> tuple[Greeter, Login | None]:
    """Run a login within a bound.

    :raises LoginError: the caller is to get an error.
    :raises CallerGoneError: the caller is gone or too slow.
    """
    greeter = Greeter(sock, context)
    try:
        async with curio.timeout_after(seconds):
            return greeter, await greeter.log_in()
    except curio.TaskTimeout as error:
        raise CallerGoneError('login took too long', 'login') from error
