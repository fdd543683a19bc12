"""Which logs of a group prove where the acknowledged commits end.

With synchronous replication a commit is acknowledged once a number of replicas
have received it. Any one of them may be the only one that still holds it, so a
failover may promote a target only up to a proved end:

- the end of the old primary's log, once it can't commit any more, or
- the most advanced of the replicas' logs, if fewer replicas than the number of
  receipts are unheard. Then each acknowledged commit is in a log that was
  heard.

A replica that is no longer listed, or was restarted without its log, counts as
unheard. It stops counting when the others have received everything that the
primary had written after that.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from comfreystair.controllers.positions import Position


class ReplicaRun(NamedTuple):
    """One run of the process that keeps the log at an address.

    :param ident: id of the target; empty when it is not known.
    :param born: changes when the process restarts under the same id.
    :param is_leaving: it is shutting down; a target that starts at its address
        takes over its log.
    """

    ident: str
    born: int
    is_leaving: bool


class ReplicaLogs:
    """The places where a group's log was kept, and those that were lost."""

    def __init__(self) -> None:
        """Initialise without any place."""
        self._runs: dict[str, ReplicaRun] = {}
        self._gone: dict[str, float] = {}
        self._lost: dict[str, float] = {}
        self._settled: set[str] = set()

    @property
    def addresses(self) -> frozenset[str]:
        """Return the addresses where logs are or may be kept."""
        return frozenset(self._runs)

    @property
    def losses(self) -> dict[str, float]:
        """Return by address since when a log is missing or lost.

        Times are readings of the monotonic clock, in seconds.
        """
        return {**self._gone, **self._lost}

    def add_addresses(self, addresses: Iterable[str], now: float) -> None:
        """Add places that another instance knew; unlisted ones are missing."""
        for address in addresses:
            if address not in self._runs.keys() | self._settled:
                self._runs[address] = ReplicaRun('', 0, is_leaving=False)
                self._gone[address] = now

    def update(self, listed: dict[str, ReplicaRun], now: float) -> None:
        """Take the runs that are listed at present, by address."""
        for address in self._runs.keys() - listed.keys():
            self._gone.setdefault(address, now)
        self._settled -= listed.keys()
        for address, run in listed.items():
            known = self._runs.get(address)
            self._gone.pop(address, None)
            if known is not None and _has_taken_over(run, known):
                self._lost.pop(address, None)
            elif known is not None and not _keeps_log(run, known):
                self._lost[address] = now
            self._runs[address] = run

    def list_unheard(
        self, heard: Collection[str], old_primary: str
    ) -> frozenset[str]:
        """Return the addresses of replicas whose logs are not known.

        :param heard: addresses of the targets that reported their logs.
        :param old_primary: id of the primary; it is no replica.
        """
        losses = self.losses
        return frozenset(
            address
            for address, run in self._runs.items()
            if run.ident != old_primary
            and (address not in heard or address in losses)
        )

    def settle(self, asked_at: float) -> None:
        """Forget the losses that happened up to a time.

        To be called when the other replicas have received all that the primary
        had written when it was asked at that time.
        """
        for address, gone_at in list(self._gone.items()):
            if gone_at <= asked_at:
                self._settled.add(address)
                self._gone.pop(address)
                self._lost.pop(address, None)
                self._runs.pop(address)
        for address, lost_at in list(self._lost.items()):
            if lost_at <= asked_at:
                self._lost.pop(address)


def find_durable_end(
    received: Collection[Position],
    unheard: int,
    log_end: Position | None,
    sync_replicas: int,
) -> Position | None:
    """Return a position up to which a log holds every acknowledged commit.

    :param received: ends of the replicas' logs that were heard.
    :param unheard: number of replicas whose logs are not known.
    :param log_end: end of the old primary's log after its last commit; nothing
        when it is not known.
    :param sync_replicas: receipts of replicas that acknowledge a commit.
    :returns: nothing when no such position is proved.
    """
    proved = [] if log_end is None else [log_end]
    if received and unheard < sync_replicas:
        proved.append(max(received))
    return min(proved, default=None)


def hold_position(
    received: Iterable[Position], position: Position, sync_replicas: int
) -> bool:
    """Tell whether as many replicas hold a position as acknowledge it."""
    return sum(one >= position for one in received) >= sync_replicas


def _has_taken_over(run: ReplicaRun, known: ReplicaRun) -> bool:
    return known.is_leaving and run.ident != known.ident


def _keeps_log(run: ReplicaRun, known: ReplicaRun) -> bool:
    is_same = (run.ident, run.born) == (known.ident, known.born)
    return is_same or not known.ident
