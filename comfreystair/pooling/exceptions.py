"""Exceptions of the pooling package."""

from comfreystair.exceptions import ComfreystairError
from comfreystair.sessions.statements import Failure


class PoolError(ComfreystairError):
    """No connection or concurrency slot was free in time; nothing was sent."""


class RetryLaterError(PoolError):
    """A request was rejected and may succeed later; nothing was sent."""

    def __init__(
        self, message: str, step: str, peer: str, retry_seconds: float
    ) -> None:
        """Store when the request should come back.

        :param peer: id of the target.
        :param retry_seconds: time from now.
        """
        super().__init__(message, step, peer)
        self._retry_seconds = retry_seconds

    @property
    def retry_seconds(self) -> float:
        """Return after which time the request should come back."""
        return self._retry_seconds


class ConnectionUnavailableError(RetryLaterError):
    """This instance may open no connection to the target at present."""

    def __init__(self, message: str, peer: str, retry_seconds: float) -> None:
        """Build the error of the step that takes a connection."""
        super().__init__(message, 'take', peer, retry_seconds)


class AdmissionError(RetryLaterError):
    """A request was rejected by admission control."""

    def __init__(self, message: str, peer: str, retry_seconds: float) -> None:
        """Build the error of the admission."""
        super().__init__(message, 'admit', peer, retry_seconds)


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
