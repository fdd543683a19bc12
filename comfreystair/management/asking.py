"""Ask running daemons, starting from one of them."""

import curio
import msgspec

from comfreystair.dialing import build_dialer
from comfreystair.fleet.diagnostics import STATUS_SUBJECT
from comfreystair.management.output import EXIT_UNAVAILABLE, fail
from comfreystair.peers import PeerClients, PeerError
from comfreystair.peers.messages import definitions


async def ask_daemon(
    clients: PeerClients, address: str, subject: str
) -> object:
    """Ask one daemon for a document.

    :raises PeerError: when it does not answer.
    """
    answer = await clients.call(
        address,
        'inquire',
        definitions.Inquiry(subject=subject),
        definitions.Document,
    )
    return msgspec.json.decode(answer.content)


async def ask_fleet(
    address: str, subject: str, secret: str, seconds: float
) -> dict[str, object]:
    """Ask a daemon and all peers that it knows.

    :returns: documents by address; the error text of those that failed.
    """
    clients = PeerClients(build_dialer(''), seconds, secret)
    try:
        first = await ask_daemon(clients, address, STATUS_SUBJECT)
        peers = first.get('peers', []) if isinstance(first, dict) else []
        return {
            peer: await _ask_or_tell(clients, peer, subject)
            for peer in (address, *peers)
        }
    finally:
        await clients.close()


async def _ask_or_tell(
    clients: PeerClients, address: str, subject: str
) -> object:
    try:
        return await ask_daemon(clients, address, subject)
    except PeerError as error:
        return {'error': str(error)}


def ask(
    address: str, subject: str, secret: str, seconds: float
) -> dict[str, object]:
    """Run :func:`ask_fleet`; end the command when nobody answers."""
    try:
        return curio.run(ask_fleet, address, subject, secret, seconds)
    except PeerError as error:
        fail(f'{address}: {error}', EXIT_UNAVAILABLE)
