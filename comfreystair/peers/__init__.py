"""Messages between daemons: thrift's binary protocol in framed TCP."""

from comfreystair.peers.client import PeerClients
from comfreystair.peers.exceptions import (
    PeerError,
    PeerRefusedError,
    PeerSilentError,
    PeerUnreachedError,
)
from comfreystair.peers.server import PeerServer

__all__ = (
    'PeerClients',
    'PeerError',
    'PeerRefusedError',
    'PeerServer',
    'PeerSilentError',
    'PeerUnreachedError',
)
