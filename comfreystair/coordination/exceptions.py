"""Exceptions of the coordination package."""

from comfreystair.exceptions import ComfreystairError


class FailoverError(ComfreystairError):
    """A change of primary could not go on; another attempt may."""
