"""Logs: one line of key=value pairs for each event, on standard error."""

import sys
from typing import Final

from loguru import logger

_FORMAT: Final = (
    'time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level.name} {message}'
)


def configure_logs(level: str, instance: str) -> None:
    """Send events of a level and above to standard error."""
    logger.remove()
    logger.add(
        sys.stderr,
        level=level,
        format=f'{_FORMAT} instance={instance}',
        backtrace=False,
        diagnose=False,
    )
