"""Exceptions of the peers package."""

from comfreystair.exceptions import ComfreystairError


class PeerError(ComfreystairError):
    """Another daemon did not answer, or answered with an error."""


class PeerSilentError(PeerError):
    """A call was sent and nothing came back in time."""


class PeerUnreachedError(PeerError):
    """No connection could be made, so nothing was sent."""


class PeerRefusedError(PeerUnreachedError):
    """The host refused the connection, so no process listens there."""
