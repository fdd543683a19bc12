"""Exceptions of the filters package."""

from comfreystair.exceptions import ComfreystairError


class RequestError(ComfreystairError):
    """A request failed with an error that is reported to the caller.

    :param sqlstate: SQLSTATE of five characters, see docs/ref/errors.md.
    :param step: name of the filter in which the request failed.
    :param peer: target or group that the error is about, empty for none.
    :param hint: what the caller can do about it.
    :param is_fatal: whether the connection to the caller is closed.
    """

    def __init__(
        self,
        sqlstate: str,
        message: str,
        *,
        step: str,
        peer: str = '',
        hint: str = '',
        is_fatal: bool = False,
    ) -> None:
        """Store the fields of the error message that the caller receives."""
        super().__init__(message, step, peer)
        self._sqlstate = sqlstate
        self._hint = hint
        self._is_fatal = is_fatal

    @property
    def sqlstate(self) -> str:
        """Return the SQLSTATE, five characters."""
        return self._sqlstate

    @property
    def hint(self) -> str:
        """Return what the caller can do about the error."""
        return self._hint

    @property
    def is_fatal(self) -> bool:
        """Tell whether the connection is closed after the error."""
        return self._is_fatal


class TargetUnavailableError(ComfreystairError):
    """The selected target can't complete the request.

    Another target may be selected: either nothing ran at this one, or the
    request is a read on a route that allows repetition.
    """


class ReadInterruptedError(TargetUnavailableError):
    """The connection was lost while a read ran that may be repeated."""
