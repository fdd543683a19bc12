"""Exceptions of the manifest package."""

from comfreystair.exceptions import ComfreystairError


class ManifestError(ComfreystairError):
    """The manifest can't be decoded."""


class ChunkError(ComfreystairError):
    """The chunks of a manifest are missing or don't match their hashes."""
