"""Exceptions of the pooling package."""

from comfreystair.exceptions import ComfreystairError
from comfreystair.sessions.statements import Failure


class PoolError(ComfreystairError):
    """No connection or concurrency slot was free in time; nothing was sent."""


class TargetLostError(ComfreystairError):
    """A target gave no complete answer; the statement may have run there."""


class TargetEndedError(TargetLostError):
    """The connection to a target ended while it was opened, or was refused.

    The target may have been restarted.
    """


class TargetRefusedError(ComfreystairError):
    """A target refused the connection; nothing was sent on it."""

    def __init__(self, failure: Failure, peer: str) -> None:
        """Build the message from the target's reason.

        :param failure: that the target gave.
        :param peer: address or id of the target.
        """
        super().__init__(failure.name, 'open', peer)
        self._failure = failure

    @property
    def failure(self) -> Failure:
        """Return why the target refused the connection."""
        return self._failure
