"""Start a daemon with one decision replaced by the plain way.

``python -m standins.plain DECISION[,DECISION] --settings FILE``. It is the
baseline of measurements, and shows that the proofs fail without the decision.
"""

import sys
from collections.abc import Callable

from comfreystair import daemon
from comfreystair.controllers import (
    acknowledgements,
    failover_attempt,
    fair_queue,
    manifest_generation,
    quorum_positions,
    slot_allocation,
    token_lending,
)
from comfreystair.controllers.positions import ORIGIN, Position
from comfreystair.filters import authenticate
from comfreystair.manifest.index import ManifestIndex
from comfreystair.targets.pool import Pool


def acknowledge_at_once() -> None:
    """Acknowledge a write on the primary's word alone."""
    acknowledgements.evaluate_commit = lambda _commit, _seen, _majority: 'safe'


def promote_any() -> None:
    """Promote the first target that was fenced."""
    failover_attempt.choose_successor = lambda granted, _members, _leaving: min(
        granted
    )


def read_anywhere() -> None:
    """Read at any replica, whatever it has applied."""
    quorum_positions.has_reached = lambda _applied, _floor: True


def forget_floor() -> None:
    """Let a new session start without a floor."""

    def find_nothing(_self, _since: float) -> Position:
        return ORIGIN

    quorum_positions.QuorumPositionTracker.find_read_floor = find_nothing


def limit_alone() -> None:
    """Give every daemon the whole rate, as if it were alone."""

    def take_whole(self, _share: float, now: float) -> None:
        set_share(self, 1, now)

    set_share = token_lending.LendingTokenBucket.set_share
    token_lending.LendingTokenBucket.set_share = take_whole


def queue_in_order() -> None:
    """Serve requests first in, first out, without bounds."""

    def add_plainly(self, organisation: str, weight: float, is_urgent=False):
        return add(self, 'everybody', weight, is_urgent)

    add = fair_queue.FairQueue.enqueue
    fair_queue.FairQueue.enqueue = add_plainly
    slot_allocation.SlotAllocator.update_demand = lambda *_arguments: {}


def trust_login() -> None:
    """Check keys at login only."""
    authenticate.has_key = lambda _manifest, _session: True


def take_any_manifest() -> None:
    """Apply whichever manifest was heard of last."""

    def apply(self, root) -> bool:
        self._applied = root
        return True

    manifest_generation.ManifestGenerationController.apply = apply


def reuse_broken() -> None:
    """Give connections back whose exchange did not end."""

    async def release(self, connection) -> None:
        self._lent.discard(connection)
        connection._is_broken = False
        self._idle.append(connection)
        await self._wake()

    Pool.release = release


def share_keys() -> None:
    """Accept any organisation's requests on any database."""
    ManifestIndex.may_use = lambda _self, _database, _organisation: True


DECISIONS: dict[str, Callable[[], None]] = {
    'acknowledge': acknowledge_at_once,
    'promote': promote_any,
    'place': read_anywhere,
    'floor': forget_floor,
    'rate': limit_alone,
    'queue': queue_in_order,
    'keys': trust_login,
    'manifest': take_any_manifest,
    'drain': reuse_broken,
    'authorise': share_keys,
}


def main() -> None:
    """Replace the named decisions and run the daemon."""
    program, names, *arguments = sys.argv
    for name in filter(None, names.split(',')):
        DECISIONS[name]()
    sys.argv = [program, *arguments]
    daemon.main()


if __name__ == '__main__':
    main()
