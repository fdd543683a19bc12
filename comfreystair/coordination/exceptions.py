"""Exceptions of the coordination package."""

from comfreystair.exceptions import ComfreystairError


class FailoverError(ComfreystairError):
    """A failover was abandoned; a later attempt may succeed."""
