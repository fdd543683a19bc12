"""Carry out a change of a group's primary.

The steps, all under a leased duty whose revision is the token: announce the
change in the group's record; have every instance stop, or wait until the
proofs of those that did not answer have run out; make the old primary step
down where it can be reached; let a successor catch up; promote it; publish.
"""

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.leadership import PROOF_SECONDS, Leadership
from comfreystair.controllers.positions import Position
from comfreystair.controllers.succession import (
    Standing,
    choose_successor,
    find_other_primary,
    has_caught_up,
)
from comfreystair.coordination.exceptions import ChangeFailedError
from comfreystair.coordination.notices import Notices
from comfreystair.coordination.probes import Probes
from comfreystair.coordination.records import (
    DUTIES_PREFIX,
    GROUPS_PREFIX,
    INSTANCES_PREFIX,
    Committed,
    GroupRecord,
    StoreClient,
    decode_instance,
    decode_leadership,
    encode_record,
)
from comfreystair.coordination.state import FleetState
from comfreystair.exceptions import ComfreystairError
from comfreystair.observability.decisions import DecisionLog
from comfreystair.pooling.targets import TargetReport

STEP_ANNOUNCE: Final = 'announce'
# Life of the duty, in seconds: a change renews it once, before it promotes.
_DUTY_SECONDS: Final = 5.0
# Left over when the duty's life is compared with a call's, in seconds.
_DUTY_MARGIN_SECONDS: Final = 1.2
# Added to the life of proofs when waiting for them to run out, in seconds.
_PROOF_MARGIN_SECONDS: Final = 0.1
# How long a successor may take to catch up, in seconds; longer where the old
# primary was to be replaced and still runs.
_CATCH_UP_SECONDS: Final = (1.0, 2.5)
# How long a promoted target may take to lead, in seconds.
_LEAD_SECONDS: Final = 3.0
_POLL_SECONDS: Final = 0.06

Promote = Callable[[str, str, int], Awaitable[bool]]


class Change(NamedTuple):
    """A change of primary under way.

    :param token: revision of the announcement, which fences promotions.
    :param until: when the duty ends.
    """

    group: str
    old: Leadership
    token: int
    lease: int
    until: float
    is_planned: bool


class Changes:
    """Changes of primary that this instance carries out."""

    def __init__(
        self,
        state: FleetState,
        store: StoreClient,
        probes: Probes,
        notices: Notices,
        promote: Promote,
        log: DecisionLog,
    ) -> None:
        """Take the parts."""
        self._state = state
        self._store = store
        self._probes = probes
        self._notices = notices
        self._promote = promote
        self._log = log
        self._started_at = read_clock()

    async def carry_out(self, name: str, reason: str, is_planned: bool) -> None:
        """Find a primary for a group and publish it.

        :raises ComfreystairError: naming the step that failed.
        """
        change = await self._announce(name, reason, is_planned)
        if change.old.primary:
            await self._stop_all(change)
            change = await self._extend(change)
        end = await self._step_down(change)
        primary, term = await self._elect(change, end)
        record = await self._write(change, primary, term)
        await self._notices.publish(name, record)
        if not change.old.primary:
            # Nothing was promoted, so the next change need not wait.
            await self._store.end_lease(change.lease)

    async def _announce(
        self, name: str, reason: str, is_planned: bool
    ) -> Change:
        """Take the duty and mark the group's record, both or neither."""
        old = self._state.find_group(name).leadership.record
        asked_at = read_clock()
        lease = await self._store.grant_lease(_DUTY_SECONDS)
        duty, key = f'{DUTIES_PREFIX}{name}', f'{GROUPS_PREFIX}{name}'
        record = GroupRecord(old.primary, old.term, is_changing=True)
        outcome = await self._store.change(
            {duty: 0, key: old.revision},
            {
                duty: encode_record(self._state.own),
                key: encode_record(record),
            },
            lease,
            (duty,),
        )
        if not isinstance(outcome, Committed):
            await self._store.end_lease(lease)
            raise ChangeFailedError(
                'somebody else holds the duty', STEP_ANNOUNCE
            )
        self._log.write(
            'change_announced',
            group=name,
            why=reason,
            primary=old.primary,
            term=old.term,
            token=outcome.revision,
        )
        until = asked_at + _DUTY_SECONDS
        return Change(name, old, outcome.revision, lease, until, is_planned)

    async def _extend(self, change: Change) -> Change:
        """Renew the duty, so that a promotion stays within it."""
        asked_at = read_clock()
        is_kept = await self._retry(
            change, lambda: self._store.keep_lease(change.lease)
        )
        if not is_kept:
            raise ChangeFailedError('the duty has lapsed', 'extend')
        return change._replace(until=asked_at + _DUTY_SECONDS)

    async def _stop_all(self, change: Change) -> None:
        """Return when no instance uses the old primary any more."""
        announced_at = read_clock()
        addresses = await self._list_addresses(change, announced_at)
        record = change.old._replace(is_changing=True, revision=change.token)
        silent = await self._notices.tell_all(change.group, record, addresses)
        is_new_here = announced_at - self._started_at < 2 * PROOF_SECONDS
        waited = 0.0
        if silent or is_new_here:
            ends = announced_at + PROOF_SECONDS + _PROOF_MARGIN_SECONDS
            waited = max(ends - read_clock(), 0)
            await curio.sleep(waited)
        self._log.write(
            'change_stopped_all',
            group=change.group,
            instances=len(addresses),
            silent=','.join(silent),
            waited=waited,
        )

    async def _list_addresses(
        self, change: Change, announced_at: float
    ) -> set[str]:
        """Return where instances with a proof from before may run.

        Those that were listed lately count: the store may have dropped their
        registrations during an outage.
        """
        items = await self._retry(
            change,
            lambda: self._store.list(INSTANCES_PREFIX, is_stale_ok=False),
        )
        listed = [decode_instance(item) for item in items.values()]
        horizon = announced_at - 2 * PROOF_SECONDS
        recent = [
            record
            for record, seen_at in self._state.recent.values()
            if seen_at > horizon
        ]
        known = {one.address for one in (*listed, *recent) if one is not None}
        return known - {self._state.own.address}

    async def _step_down(self, change: Change) -> Position | None:
        """Return the end of the old primary's log, if it told."""
        entry = self._state.targets.get(change.old.primary)
        if entry is None:
            return None
        report = await self._probes.step_down(entry, change.old.term + 1)
        self._log.write(
            'change_stepped_down',
            group=change.group,
            target=entry.ident,
            is_answered=report is not None,
            received=report.received if report else None,
        )
        return report.received if report else None

    async def _elect(
        self, change: Change, end: Position | None
    ) -> tuple[str, int]:
        """Find or promote a primary and return it with its term."""
        bound = _CATCH_UP_SECONDS[change.is_planned]
        give_up_at = read_clock() + bound
        refused: set[str] = set()
        while read_clock() < change.until - _DUTY_MARGIN_SECONDS:
            standings = await self._probes.ask_all(change.group)
            leader = find_other_primary(
                standings, change.old.primary, change.old.term
            )
            if leader is not None:
                return leader.ident, leader.term
            is_ready = read_clock() >= give_up_at or has_caught_up(
                standings, end, change.old.primary
            )
            if change.old.primary and is_ready:
                elected = await self._promote_best(change, standings, refused)
                if elected is not None:
                    return elected
            await curio.sleep(_POLL_SECONDS)
        raise ChangeFailedError('no successor in time', 'elect')

    async def _promote_best(
        self, change: Change, standings: list[Standing], refused: set[str]
    ) -> tuple[str, int] | None:
        successor = choose_successor(standings, change.old.primary, refused)
        if successor is None:
            return None
        term = await self._order(change, successor)
        if not term:
            refused.add(successor.ident)
            return None
        return successor.ident, term

    async def _order(self, change: Change, successor: Standing) -> int:
        """Promote a target; return its term, 0 when it does not run."""
        is_running = await self._promote(
            change.group, successor.ident, change.token
        )
        self._log.write(
            'change_promoted',
            group=change.group,
            target=successor.ident,
            received=successor.received,
            token=change.token,
            is_running=is_running,
        )
        if not is_running:
            return 0
        give_up_at = read_clock() + _LEAD_SECONDS
        while read_clock() < give_up_at:
            entry = self._state.targets.get(successor.ident)
            report = await self._probes.ask_status(entry) if entry else None
            if _leads(report, successor, change.old.term):
                return report.term
            await curio.sleep(_POLL_SECONDS)
        return 0

    async def _write(
        self, change: Change, primary: str, term: int
    ) -> Leadership:
        """Write the group's new record and return it."""
        key = f'{GROUPS_PREFIX}{change.group}'
        content = encode_record(GroupRecord(primary, term, is_changing=False))
        outcome = await self._retry(
            change,
            lambda: self._store.change({key: change.token}, {key: content}),
        )
        if isinstance(outcome, Committed):
            return Leadership(primary, term, False, outcome.revision)
        # An answer that was lost may have been of this very change.
        found = decode_leadership(outcome.items.get(key))
        if found.primary != primary or found.is_changing:
            raise ChangeFailedError('the record moved on', 'write')
        return found

    async def _retry(self, change: Change, call):
        """Repeat a call that reads or is conditional, while the duty lasts."""
        while True:
            try:
                return await call()
            except ComfreystairError as error:
                if read_clock() > change.until - _DUTY_MARGIN_SECONDS:
                    raise ChangeFailedError(str(error), 'store') from error
            await curio.sleep(_POLL_SECONDS)


def _leads(
    report: TargetReport | None, successor: Standing, old_term: int
) -> bool:
    """Tell whether a promotion has taken effect.

    A target that led before keeps its term.
    """
    if report is None or not report.is_primary:
        return False
    return successor.is_primary or report.term > old_term
