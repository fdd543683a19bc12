"""Exceptions of the wire package."""

from comfreystair.exceptions import ComfreystairError


class FrameError(ComfreystairError):
    """The bytes received are not a frame, or the frame is too large."""
