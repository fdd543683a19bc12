"""Exceptions of the coordination package."""

from comfreystair.exceptions import ComfreystairError


class StoreRestoredError(ComfreystairError):
    """The store returned from an older copy while a call was under way."""


class FailoverError(ComfreystairError):
    """A failover was abandoned; a later attempt may succeed."""
