"""Connections to targets, their pools, and the state of database groups."""

from comfreystair.targets.connection import Answer, TargetConnection
from comfreystair.targets.exceptions import (
    PoolClosedError,
    TargetConnectError,
    TargetLostError,
)
from comfreystair.targets.groups import DatabaseGroup
from comfreystair.targets.pool import Pool

__all__ = (
    'Answer',
    'DatabaseGroup',
    'Pool',
    'PoolClosedError',
    'TargetConnectError',
    'TargetConnection',
    'TargetLostError',
)
