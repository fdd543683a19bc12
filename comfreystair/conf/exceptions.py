"""Exceptions of the conf package."""

from comfreystair.exceptions import ComfreystairError


class SettingsError(ComfreystairError):
    """The settings file can't be read or does not fit the schema."""
