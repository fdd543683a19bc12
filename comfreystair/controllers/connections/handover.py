"""Delay an increase of an instance's share of a target's connections.

When the list of instances changes, shares move from one instance to another.
The instances learn of the change at different times, and one whose share
decreases closes a connection only when the running statement has ended.
"""

from typing import Final

# Lists are read once a second and may come from an instance whose lists are
# 1.5 s old; the statements that run on the connections end within the rest.
HANDOVER_SECONDS: Final = 3.0


class ShareHandover:
    """The part of an instance's share that is in effect."""

    def __init__(self) -> None:
        """Start with nothing in effect."""
        self._effective = 0
        self._pending = 0
        self._pending_since: float | None = None

    def update(self, share: int, joining_share: int, now: float) -> int:
        """Return how many connections the instance may hold now.

        A decrease takes effect at once. An increase beyond the joining share
        takes effect after :data:`HANDOVER_SECONDS`, as far as the share was
        not lower in the meantime.

        :param share: according to the newest list of instances.
        :param joining_share: that an instance may hold in any case, within its
            share.
        """
        self._effective = max(self._effective, min(share, joining_share))
        if share <= self._effective:
            self._effective = share
            self._pending_since = None
            return share
        if self._pending_since is None:
            self._pending = share
            self._pending_since = now
        self._pending = min(self._pending, share)
        if now - self._pending_since >= HANDOVER_SECONDS:
            self._effective = self._pending
            self._pending_since = None
        return self._effective
