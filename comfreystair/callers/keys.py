"""Check a caller's key against all verifiers of its organisation.

The verifiers of an organisation share their salt and iterations, so the
server's first message is the same for all, and the caller's proof shows which
key it has. An organisation that does not exist gets a salt made from its name,
so that the answer does not tell.
"""

import base64
import hmac
import secrets
from typing import Final

from scramp import ScramException, ScramMechanism
from scramp.core import ScramServer

from comfreystair.manifest.schema import Key, Organisation

MECHANISM: Final = 'SCRAM-SHA-256'
_SALT_BYTES: Final = 16
_KEY_BYTES: Final = 32
_NONCE_BYTES: Final = 18
_ITERATIONS: Final = 4096
_SHARED: Final = ScramMechanism(MECHANISM)


class KeyCheck:
    """One SCRAM exchange, run against each verifier in turn."""

    def __init__(
        self, organisation: Organisation | None, name: str, secret: bytes
    ) -> None:
        """Prepare an exchange.

        :param name: organisation that the caller claims to be.
        :param secret: makes the salts of organisations that do not exist.
        """
        if organisation is None or not organisation.keys:
            organisation = _invent_organisation(name, secret)
        self._organisation = organisation
        self._servers: dict[str, ScramServer] = {}

    def read_first(self, message: bytes) -> bytes:
        """Take the caller's first message and return the answer.

        :raises ScramException: when the message is malformed.
        """
        text = message.decode()
        answer = ''
        nonce = secrets.token_urlsafe(_NONCE_BYTES)
        for key in self._organisation.keys:
            info = _build_info(self._organisation, key)
            server = _SHARED.make_server(
                lambda _user, info=info: info, s_nonce=nonce
            )
            answer = _start(server, text)
            self._servers[key.id] = server
        return answer.encode()

    def read_final(self, message: bytes) -> tuple[str, bytes] | None:
        """Take the caller's proof.

        :returns: id of the key and the final answer, or nothing when no key
            fits.
        """
        for key_id, server in self._servers.items():
            try:
                server.set_client_final(message.decode())
            except (ScramException, ValueError):
                continue
            return key_id, server.get_server_final().encode()
        return None


def make_verifier(
    key: str, salt: bytes, iterations: int = _ITERATIONS
) -> tuple[str, str]:
    """Return the stored key and the server key of a key, in base64."""
    _salt, stored, server, _count = _SHARED.make_auth_info(
        key, iteration_count=iterations, salt=salt
    )
    return base64.b64encode(stored).decode(), base64.b64encode(server).decode()


def _start(server: ScramServer, text: str) -> str:
    # libpq leaves the name empty, which this codec refuses. A name stands in
    # while it parses; what gets signed is the text that was sent.
    server.set_client_first(text.replace('n=,', 'n=caller,', 1))
    server.client_first_bare = text.split(',', 2)[2]
    return server.get_server_first()


def _build_info(
    organisation: Organisation, key: Key
) -> tuple[bytes, bytes, bytes, int]:
    return (
        base64.b64decode(organisation.salt),
        base64.b64decode(key.stored_key),
        base64.b64decode(key.server_key),
        organisation.iterations,
    )


def _invent_organisation(name: str, secret: bytes) -> Organisation:
    digest = hmac.digest(secret, name.encode(), 'sha256')
    blank = base64.b64encode(digest[:_KEY_BYTES]).decode()
    return Organisation(
        name=name,
        rate=1,
        burst=1,
        salt=base64.b64encode(digest[:_SALT_BYTES]).decode(),
        keys=(Key('', blank, blank),),
    )
