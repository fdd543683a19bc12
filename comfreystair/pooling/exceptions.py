"""Exceptions of the pooling package."""

from comfreystair.exceptions import ComfreystairError
from comfreystair.sessions.statements import Failure


class PoolError(ComfreystairError):
    """No connection could be had in time; nothing was sent."""


class TargetLostError(ComfreystairError):
    """A target gave no whole answer; what it was asked may have run."""


class TargetRefusedError(ComfreystairError):
    """A target refused the connection; nothing was sent on it."""

    def __init__(self, failure: Failure, peer: str) -> None:
        """Keep the target's reason."""
        super().__init__(failure.name, 'open', peer)
        self._failure = failure

    @property
    def failure(self) -> Failure:
        """Return the target's reason."""
        return self._failure
