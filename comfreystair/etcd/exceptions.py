"""Exceptions of the etcd package."""

from comfreystair.exceptions import ComfreystairError


class PlatformError(ComfreystairError):
    """The platform did not answer, or answered with an error."""
