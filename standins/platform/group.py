"""One database group of the stand-in: a log, its copies, who leads."""

import time


class Copy:
    """One target's copy of the log."""

    def __init__(self, ident: str) -> None:
        """Start with an empty log."""
        self.ident = ident
        self.log: list[tuple[float, dict[str, str]]] = []
        self.term = 1
        self.is_primary = False
        self.is_up = True
        self.is_deaf = False
        self.is_busy = False
        self.is_draining = False
        self.runs: list[tuple[str, str, str]] = []

    def read(self, item: str, lag: float) -> str:
        """Return an item as this copy has applied it."""
        for _at, writes in reversed(self.list_applied(lag)):
            if item in writes:
                return writes[item]
        return 'nothing'

    def list_applied(self, lag: float) -> list[tuple[float, dict[str, str]]]:
        """Return the part of the log that reads see."""
        if self.is_primary:
            return self.log
        limit = time.monotonic() - lag
        return [entry for entry in self.log if entry[0] <= limit]


class Group:
    """Three copies; the primary's log goes to the replicas at once."""

    def __init__(self, name: str, idents: list[str], lag: float) -> None:
        """Let the first copy lead.

        :param lag: seconds between receiving and applying at replicas.
        """
        self.name = name
        self.lag = lag
        self.sync_replicas = 0
        self.copies = {ident: Copy(ident) for ident in idents}
        self.copies[idents[0]].is_primary = True

    def commit(self, copy: Copy, writes: dict[str, str]) -> bool:
        """Add an entry to the primary's log and to reachable replicas'.

        :returns: whether as many replicas have received it as must have.
        """
        copy.log.append((time.monotonic(), writes))
        receivers = [
            other
            for other in self.copies.values()
            if other.is_up and not (other.is_primary or other.is_deaf)
        ]
        for other in receivers:
            other.log = list(copy.log)
        return len(receivers) >= self.sync_replicas

    def promote(self, ident: str) -> bool:
        """Let a copy lead the next term with what it holds."""
        copy = self.copies[ident]
        if not copy.is_up:
            return False
        if copy.is_primary:
            return True
        term = max(one.term for one in self.copies.values()) + 1
        for other in self.copies.values():
            if other.is_up:
                other.is_primary = False
                other.term = term
        copy.is_primary = True
        copy.is_deaf = False
        return True

    def revive(self, ident: str) -> None:
        """Let a copy come back with its log; it follows a later leader."""
        copy = self.copies[ident]
        leaders = [
            one
            for one in self.copies.values()
            if one.is_primary and one is not copy and one.term > copy.term
        ]
        if leaders:
            copy.is_primary = False
            copy.term = leaders[0].term
            copy.log = list(leaders[0].log)
        copy.is_up = True
