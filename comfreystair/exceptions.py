"""Exceptions that any package of the project may raise."""


class ComfreystairError(Exception):
    """Base class of all errors, with the step that failed and the peer.

    :param message: what went wrong, in one sentence.
    :param step: the step that failed, such as ``place`` or ``startup``.
    :param peer: address or name of the other side, empty when there is none.
    """

    def __init__(self, message: str, step: str = '', peer: str = '') -> None:
        """Store the step and the peer, apart from the message."""
        super().__init__(message)
        self._step = step
        self._peer = peer

    @property
    def step(self) -> str:
        """Return the step that failed."""
        return self._step

    @property
    def peer(self) -> str:
        """Return the peer with which the step failed."""
        return self._peer
