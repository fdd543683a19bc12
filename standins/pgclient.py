"""A small PostgreSQL client on curio, for stand-ins and tests."""

from curio import socket
from pygwire import messages
from pygwire.connection import FrontendConnection
from scramp import ScramClient

_READ_BYTES = 65536


class QueryError(Exception):
    """The server answered with an ErrorResponse.

    :ivar fields: its fields by their one-letter codes.
    """

    def __init__(self, fields: dict[str, str]) -> None:
        """Keep the fields."""
        super().__init__(fields.get('M', ''))
        self.fields = fields


class Client:
    """One connection that runs simple queries."""

    def __init__(self, sock: socket.socket) -> None:
        """Wrap a connected socket."""
        self._sock = sock
        self._protocol = FrontendConnection()
        self.parameters: dict[str, str] = {}
        self.cancel_key = (0, b'')

    async def start(self, parameters: dict[str, str], password: str) -> None:
        """Send the startup message and authenticate."""
        scram = ScramClient(['SCRAM-SHA-256'], parameters['user'], password)
        await self._send(messages.StartupMessage(params=parameters))
        async for message in self._messages():
            reply = _answer_authentication(scram, message)
            if reply is not None:
                await self._send(reply)

    async def query(self, text: str) -> list[list[bytes | None]]:
        """Run one simple query and return its rows."""
        await self._send(messages.Query(query_string=text))
        rows = []
        async for message in self._messages():
            if isinstance(message, messages.DataRow):
                rows.append(message.columns)
        return rows

    async def close(self) -> None:
        """Close the socket."""
        await self._sock.close()

    async def _send(self, message: messages.PGMessage) -> None:
        await self._sock.sendall(self._protocol.send(message))

    async def _messages(self):
        failure = None
        while True:
            chunk = await self._sock.recv(_READ_BYTES)
            if not chunk:
                raise ConnectionError('server closed the connection')
            for message in self._protocol.receive(chunk):
                if isinstance(message, messages.ErrorResponse):
                    failure = QueryError(message.fields)
                    if self._protocol.phase.name == 'FAILED':
                        raise failure
                if isinstance(message, messages.ParameterStatus):
                    self.parameters[message.name] = message.value
                if isinstance(message, messages.BackendKeyData):
                    self.cancel_key = (message.process_id, message.secret_key)
                yield message
                if isinstance(message, messages.ReadyForQuery):
                    if failure is not None:
                        raise failure
                    return


async def connect(
    address: str,
    parameters: dict[str, str],
    password: str,
    source: str = '127.0.0.1',
) -> Client:
    """Open a connection to ``host:port`` and authenticate."""
    host, port = address.rsplit(':', 1)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        sock.bind((source, 0))
        await sock.connect((host, int(port)))
    except BaseException:
        await sock.close()
        raise
    client = Client(sock)
    try:
        await client.start(parameters, password)
    except BaseException:
        await client.close()
        raise
    return client


def _answer_authentication(
    scram: ScramClient, message: messages.PGMessage
) -> messages.PGMessage | None:
    if isinstance(message, messages.AuthenticationSASL):
        first = scram.get_client_first().encode()
        return messages.SASLInitialResponse(
            mechanism='SCRAM-SHA-256', data=first
        )
    if isinstance(message, messages.AuthenticationSASLContinue):
        scram.set_server_first(message.data.decode())
        return messages.SASLResponse(data=scram.get_client_final().encode())
    if isinstance(message, messages.AuthenticationSASLFinal):
        scram.set_server_final(message.data.decode())
    return None
