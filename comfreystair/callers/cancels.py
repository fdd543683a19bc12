"""Cancel keys of sessions, and finding the session of one."""

import itertools
import secrets
from typing import Final

import xxhash

from comfreystair.dialing import Dial
from comfreystair.filters.session import SessionState

_SECRET_BYTES: Final = 4
_COUNTER_BITS: Final = 16
_COUNTER_MASK: Final = (1 << _COUNTER_BITS) - 1
_INSTANCE_MASK: Final = 0x7FFF
_CANCEL_SECONDS: Final = 0.5


class CancelKeys:
    """Keys of this daemon's sessions.

    The upper half of a process id names the daemon, as a caller's balancer
    may bring a cancel request to another one.
    """

    def __init__(self, instance: str, dial: Dial) -> None:
        """Start without sessions."""
        self._prefix = hash_instance(instance)
        self._dial = dial
        self._counter = itertools.count(1)
        self._sessions: dict[tuple[int, bytes], SessionState] = {}

    def add(self, session: SessionState) -> tuple[int, bytes]:
        """Return the process id and secret of a new session."""
        low = next(self._counter) & _COUNTER_MASK
        process_id = (self._prefix << _COUNTER_BITS) | low
        key = (process_id, secrets.token_bytes(_SECRET_BYTES))
        self._sessions[key] = session
        return key

    def remove(self, key: tuple[int, bytes]) -> None:
        """Forget a session that ended."""
        self._sessions.pop(key, None)

    def is_own(self, process_id: int) -> bool:
        """Tell whether a process id was given out by this daemon."""
        return names_instance(process_id, self._prefix)

    async def cancel(self, process_id: int, secret_key: bytes) -> bool:
        """Cancel what a session runs; tell whether it was found."""
        session = self._sessions.get((process_id, secret_key))
        if session is None:
            return False
        if session.running_connection is not None:
            await session.running_connection.cancel(self._dial, _CANCEL_SECONDS)
        return True


def names_instance(process_id: int, prefix: int) -> bool:
    """Tell whether a process id has a daemon's prefix."""
    return process_id >> _COUNTER_BITS == prefix


def hash_instance(instance: str) -> int:
    """Return the half of a process id that names a daemon."""
    return xxhash.xxh3_64_intdigest(instance.encode()) & _INSTANCE_MASK
