"""Exceptions of the filters package."""

from comfreystair.exceptions import ComfreystairError


class RequestError(ComfreystairError):
    """A request ends with an error that the caller can act on.

    :param sqlstate: as docs/ref/errors.md lists it.
    :param hint: what the caller can do.
    :param is_fatal: whether the connection is closed.
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
        """Keep what the error frame is built from."""
        super().__init__(message, step, peer)
        self._sqlstate = sqlstate
        self._hint = hint
        self._is_fatal = is_fatal

    @property
    def sqlstate(self) -> str:
        """Return the five characters of the SQLSTATE."""
        return self._sqlstate

    @property
    def hint(self) -> str:
        """Return what the caller can do."""
        return self._hint

    @property
    def is_fatal(self) -> bool:
        """Tell whether the connection is closed after the error."""
        return self._is_fatal


class TargetUnavailableError(ComfreystairError):
    """The chosen target can't run the request; nothing ran there."""
