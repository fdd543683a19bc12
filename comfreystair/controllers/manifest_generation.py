"""Which manifest generation is in force, and when it was last confirmed.

A daemon never returns to a lower generation, whatever its source.
"""

from typing import Final

from comfreystair.manifest.chunks import Root, RootVersion
from comfreystair.manifest.schema import Policy

NO_ROOT: Final = Root(0, ())


class ManifestGenerationController:
    """Tracks the newest root, the applied root and its confirmation.

    A root names the generation of a manifest and the chunks it consists of.
    """

    def __init__(self) -> None:
        """Begin without a manifest."""
        self._newest = NO_ROOT
        self._applied = NO_ROOT
        self._confirmed_at = float('-inf')

    @property
    def newest(self) -> Root:
        """Return the newest known root."""
        return self._newest

    @property
    def applied(self) -> Root:
        """Return the root of the manifest in force."""
        return self._applied

    @property
    def pending(self) -> Root | None:
        """Return the root that is still to be fetched and applied, if any."""
        is_newer = self._newest.generation > self._applied.generation
        return self._newest if is_newer else None

    def record_root(self, root: Root) -> bool:
        """Record a root if it is newer than all known ones.

        :returns: whether it is.
        """
        if root.generation <= self._newest.generation:
            return False
        self._newest = root
        return True

    def confirm(self, version: RootVersion, at: float) -> None:
        """Record that a root was the newest at a time.

        A root that is not the newest known one is ignored. Another root can
        have its generation, if the store was restored from an older copy.

        :param at: monotonic seconds.
        """
        if version == self._newest.version:
            self._confirmed_at = max(self._confirmed_at, at)

    def is_superseded(self, root: Root) -> bool:
        """Tell whether a root read from the store can't come into force.

        That is so when its generation was given to another root before, which
        the store has lost. A root that precedes the newest known one is not
        meant: it was read before that one was shipped.
        """
        newest = self._newest
        is_newer = root.generation > newest.generation
        return not is_newer and not newest.has_shipped(root.ident)

    def apply(self, root: Root) -> bool:
        """Put a root in force if its generation is newer than the current.

        :returns: whether it is newer.
        """
        if root.generation <= self._applied.generation:
            return False
        self._applied = root
        self.record_root(root)
        return True

    def find_confirmation_age(self, now: float) -> float:
        """Return the seconds since the manifest in force was confirmed.

        The age is infinite while a newer generation is known.
        """
        if self.pending is not None:
            return float('inf')
        return now - self._confirmed_at


def may_serve(policy: Policy, age_seconds: float, is_read: bool) -> bool:
    """Return whether a request may run with a manifest of some age.

    :param age_seconds: seconds since the manifest was last confirmed.
    """
    if age_seconds <= policy.unconfirmed_seconds:
        return True
    if policy.when_unconfirmed == 'serve':
        return True
    return is_read and policy.when_unconfirmed == 'refuse_writes'
