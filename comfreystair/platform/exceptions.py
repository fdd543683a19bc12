"""Exceptions of the platform package."""

from comfreystair.exceptions import ComfreystairError


class PlatformError(ComfreystairError):
    """A call got no answer, so whether it took effect is unknown."""


class PlatformRefusedError(PlatformError):
    """The platform answered that it did nothing."""


class MalformedError(ComfreystairError):
    """The other side sent something that is not of the protocol."""
