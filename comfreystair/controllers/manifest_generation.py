"""Which manifest is in force, and how surely it is the newest.

A daemon never goes back to a lower generation, whoever offers one.
"""

from typing import Final

from comfreystair.manifest.chunks import Root
from comfreystair.manifest.schema import Policy

NO_ROOT: Final = Root(0, ())


class ManifestGenerationController:
    """Know the newest root, the applied one, and when it was confirmed."""

    def __init__(self) -> None:
        """Start without a manifest."""
        self._newest = NO_ROOT
        self._applied = NO_ROOT
        self._confirmed_at = float('-inf')

    @property
    def newest(self) -> Root:
        """Return the newest root heard of."""
        return self._newest

    @property
    def applied(self) -> Root:
        """Return the root in force."""
        return self._applied

    @property
    def pending(self) -> Root | None:
        """Return the root to fetch and apply next, if there is one."""
        is_newer = self._newest.generation > self._applied.generation
        return self._newest if is_newer else None

    def record_root(self, root: Root) -> bool:
        """Take in a root; tell whether it is newer than any known."""
        if root.generation <= self._newest.generation:
            return False
        self._newest = root
        return True

    def confirm(self, generation: int, at: float) -> None:
        """Take in that a generation was the newest at a time."""
        if generation == self._newest.generation:
            self._confirmed_at = max(self._confirmed_at, at)

    def apply(self, root: Root) -> bool:
        """Put a root in force; tell whether it was allowed to be."""
        if root.generation <= self._applied.generation:
            return False
        self._applied = root
        self.record_root(root)
        return True

    def find_confirmation_age(self, now: float) -> float:
        """Return seconds since the manifest in force was confirmed."""
        if self.pending is not None:
            return float('inf')
        return now - self._confirmed_at


def may_serve(policy: Policy, age_seconds: float, is_read: bool) -> bool:
    """Tell whether a request may run with a manifest confirmed long ago."""
    if age_seconds <= policy.unconfirmed_seconds:
        return True
    if policy.when_unconfirmed == 'serve':
        return True
    return is_read and policy.when_unconfirmed == 'refuse_writes'
