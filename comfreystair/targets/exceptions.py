"""Exceptions of the targets package."""

from comfreystair.exceptions import ComfreystairError


class TargetConnectError(ComfreystairError):
    """No connection to the target could be opened; nothing was sent."""


class TargetBusyError(TargetConnectError):
    """The target answers, but accepts no more connections."""


class TargetLostError(ComfreystairError):
    """The connection was lost after something was sent."""


class PoolClosedError(ComfreystairError):
    """The pool is closed; nothing was sent."""
