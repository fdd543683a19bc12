"""Frames and answers of the PostgreSQL protocol, version 3."""

from comfreystair.wire.answers import (
    build_error,
    build_parameter_status,
    build_ready,
)
from comfreystair.wire.exceptions import FrameError
from comfreystair.wire.frames import Frame, FrameBuffer

__all__ = (
    'Frame',
    'FrameBuffer',
    'FrameError',
    'build_error',
    'build_parameter_status',
    'build_ready',
)
