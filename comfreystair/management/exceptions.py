"""Exceptions of the management package."""

from comfreystair.exceptions import ComfreystairError


class CommandError(ComfreystairError):
    """A command can't be carried out; its message is shown to the operator."""
