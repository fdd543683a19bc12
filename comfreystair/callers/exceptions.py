"""Exceptions of the callers package."""

from comfreystair.exceptions import ComfreystairError


class LoginError(ComfreystairError):
    """A caller can't be let in.

    :param sqlstate: of the error that the caller gets.
    """

    def __init__(self, sqlstate: str, message: str, peer: str = '') -> None:
        """Keep the SQLSTATE."""
        super().__init__(message, 'login', peer)
        self._sqlstate = sqlstate

    @property
    def sqlstate(self) -> str:
        """Return the five characters of the SQLSTATE."""
        return self._sqlstate


class CallerGoneError(ComfreystairError):
    """The caller closed its connection, or broke the protocol."""
