"""Search for a group's primary after a restore of the store.

The record in the store may lack later failovers. What instances and targets
know is not lost: the term of the log rises with each promotion.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from comfreystair.controllers.primary_failover import (
    find_undisputed_primary,
    is_failover_lost,
)
from comfreystair.controllers.primary_tracking import PrimaryRecord
from comfreystair.coordination.failover_notices import FailoverNotices
from comfreystair.coordination.state import FleetState
from comfreystair.coordination.target_prober import TargetProber
from comfreystair.observability.decisions import DecisionLog

# For how long a busy target is queried again. No new request uses the primary
# meanwhile, so it soon has a free slot.
_BUSY_SECONDS: Final = 1.0


class FoundPrimary(NamedTuple):
    """What a search has shown.

    :param known: the record of the newest term that any instance knows.
    :param primary: id of the present primary; empty when it does not answer,
        or when a later one may exist.
    :param term: term of the present primary.
    """

    known: PrimaryRecord
    primary: str = ''
    term: int = 0


class RestoredPrimaryFinder:
    """Asks instances and targets which primary a group has."""

    def __init__(
        self,
        state: FleetState,
        notices: FailoverNotices,
        prober: TargetProber,
        log: DecisionLog,
    ) -> None:
        """Initialise a finder.

        :param state: this instance's view of the fleet.
        :param notices: reaches the other instances.
        :param prober: queries the targets.
        :param log: receives an event with the result of each search.
        """
        self._state = state
        self._notices = notices
        self._prober = prober
        self._log = log

    async def find(
        self,
        group: str,
        own_record: PrimaryRecord,
        announced: PrimaryRecord,
        recipients: Iterable[str],
    ) -> FoundPrimary:
        """Have all instances stop using primaries of a group, and find it.

        The present primary is undisputed if no later term is known to any
        instance, or to any of the group's targets. All of one kind must have
        answered. It must be the targets if a failover was lost before any
        instance could hear of its end.

        :param own_record: the record that this instance knew before.
        :param announced: the changing record, as it was written.
        :param recipients: addresses of the other instances.
        """
        broadcast = await self._notices.broadcast(
            group, announced, set(recipients)
        )
        records = (own_record, *broadcast.known)
        known = max((announced, *records), key=lambda one: one.term)
        is_lost = is_failover_lost(records, announced.position.era)
        statuses = await self._prober.query_group(
            group, busy_seconds=_BUSY_SECONDS
        )
        primary = find_undisputed_primary(statuses, known.term)
        targets = self._state.list_targets(group)
        is_complete = len(statuses) == len(targets) or not (
            broadcast.unconfirmed or is_lost
        )
        self._log.write(
            'primary_searched',
            group=group,
            primary=primary.ident if primary else '',
            known_term=known.term,
            silent=','.join(broadcast.unconfirmed),
            is_failover_lost=is_lost,
            reports=len(statuses),
        )
        if primary is None or not is_complete:
            return FoundPrimary(known)
        return FoundPrimary(known, primary.ident, primary.term)
