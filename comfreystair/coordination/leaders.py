"""Replace a group's primary that is gone or leaves.

The steps of a change, all under a leased duty whose revision is the token:
announce it in the group's record; have every instance stop, or wait until the
proofs of those that did not answer have run out; make the old primary step
down where it can be reached; let a successor catch up; promote it; publish.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.leadership import PROOF_SECONDS, Leadership
from comfreystair.controllers.positions import Position
from comfreystair.controllers.succession import (
    MISSED_SECONDS,
    Standing,
    choose_successor,
    find_other_primary,
    has_caught_up,
    is_missed_widely,
    parse_received,
)
from comfreystair.coordination.exceptions import ChangeFailedError
from comfreystair.coordination.proofs import from_notice, to_notice
from comfreystair.coordination.ranks import find_rank
from comfreystair.coordination.records import (
    DUTIES_PREFIX,
    GROUPS_PREFIX,
    INSTANCES_PREFIX,
    Committed,
    GroupRecord,
    InstanceRecord,
    StoreClient,
    decode_instance,
    decode_leadership,
    encode_record,
)
from comfreystair.coordination.state import FleetState, GroupState
from comfreystair.exceptions import ComfreystairError
from comfreystair.observability.decisions import DecisionLog
from comfreystair.peers import PeerClients, PeerError
from comfreystair.peers.messages import definitions
from comfreystair.pooling.members import (
    Connection,
    TargetEntry,
    TargetReport,
)

_CHECK_SECONDS: Final = 0.2
# Life of the duty, in seconds: longer than a change takes at its slowest.
_DUTY_SECONDS: Final = 5.0
# Left over when the duty's life is compared with a call's, in seconds.
_DUTY_MARGIN_SECONDS: Final = 1.2
# Added to the life of proofs when waiting for them to run out, in seconds.
_PROOF_MARGIN_SECONDS: Final = 0.1
# Bound on one question to a target, in seconds.
_ASK_SECONDS: Final = 0.3
# Bound on one instance's confirmation, in seconds.
_CONFIRM_SECONDS: Final = 0.6
# How long writes that run may finish before an instance confirms, in seconds.
_FINISH_SECONDS: Final = 0.35
# How long a successor may take to catch up, in seconds.
_CATCH_UP_SECONDS: Final = 1.0
_PLANNED_CATCH_UP_SECONDS: Final = 2.5
# How long a promoted target may take to lead, in seconds.
_LEAD_SECONDS: Final = 3.0
_POLL_SECONDS: Final = 0.06
# Each later rank waits this much longer before it starts a change.
_RANK_SECONDS: Final = 0.12
_MOST_RANKS: Final = 6
# An announced change without a holder is taken over after this, in seconds.
_STALLED_SECONDS: Final = 1.0
_ANNOUNCE: Final = 'announce'
# A duty that somebody else holds is not tried again for this long, in seconds.
_HELD_PAUSE_SECONDS: Final = 1.0
_DUTY_HELD: Final = 'somebody else holds the duty'

OpenProbe = Callable[[TargetEntry, float], Awaitable[Connection]]
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


class Leaders:
    """Watch the primaries of all groups and replace those that are gone."""

    def __init__(
        self,
        state: FleetState,
        store: StoreClient,
        peers: PeerClients,
        open_probe: OpenProbe,
        promote: Promote,
        hurry: Callable[[], Awaitable[None]],
        list_followers: Callable[[], list[str]],
        log: DecisionLog,
    ) -> None:
        """Take the parts.

        :param hurry: asks for a proof now.
        :param list_followers: addresses of those that took proofs from here.
        """
        self._list_followers = list_followers
        self._state = state
        self._store = store
        self._peers = peers
        self._open_probe = open_probe
        self._promote = promote
        self._hurry = hurry
        self._log = log
        self._reasons: dict[str, tuple[str, float]] = {}
        self._running: set[str] = set()
        self._retry_at: dict[str, float] = {}
        self._started_at = read_clock()

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            for name in list(self._state.groups):
                if name not in self._running:
                    await self._check(name)
            jitter = random.uniform(0.8, 1.2)  # noqa: S311
            await curio.sleep(_CHECK_SECONDS * jitter)

    async def take_notice(self, notice) -> object:
        """Stop using a primary that is being replaced, and confirm it."""
        group = self._state.find_group(notice.group)
        heard = read_clock() - group.answered_at
        await self._take(notice.group, from_notice(notice))
        return definitions.GroupConfirmation(
            incarnation=self._state.own.incarnation,
            heard_ms=_to_milliseconds(heard),
            followers=self._list_followers(),
        )

    async def tell_heard(self, inquiry) -> object:
        """Tell when a group's primary last answered here."""
        group = self._state.find_group(inquiry.group)
        if group.missed_since is None and read_clock() - group.answered_at > 1:
            heard = float('inf')
        else:
            heard = read_clock() - group.answered_at
        return definitions.GroupConfirmation(
            incarnation=self._state.own.incarnation,
            heard_ms=_to_milliseconds(heard),
        )

    async def _take(self, name: str, record: Leadership) -> None:
        """Take in a record that is not a proof."""
        group = self._state.find_group(name)
        group.leadership.learn(record, float('-inf'))
        if record.is_changing:
            await _finish_writes(group)
            group.leadership.confirm(record.revision)
        else:
            await self._hurry()
        await group.announce()

    async def _check(self, name: str) -> None:
        reason = await self._find_reason(name)
        now = read_clock()
        known, since = self._reasons.get(name, ('', now))
        if reason != known:
            self._reasons[name] = (reason, now)
            return
        if not reason or now < self._retry_at.get(name, now):
            return
        rank = find_rank(name, self._state.instances, self._state.own.name)
        delay = min(rank, _MOST_RANKS) * _RANK_SECONDS
        if now - since < _WAITS.get(reason, 0) + delay:
            return
        self._running.add(name)
        await curio.spawn(self._try_change, name, reason, daemon=True)

    async def _find_reason(self, name: str) -> str:
        """Return why a group's primary should be replaced; empty if not."""
        group = self._state.find_group(name)
        record = group.leadership.record
        if self._state.is_draining or not self._state.list_targets(name):
            return ''
        if group.leadership.find_proof_age(read_clock()) > PROOF_SECONDS and (
            not record.is_changing
        ):
            return '' if record.revision else self._find_first(name)
        if record.is_changing:
            return _STALLED
        if not record.primary:
            return self._find_first(name)
        entry = self._state.targets.get(record.primary)
        if entry is None:
            return _GONE
        if entry.is_leaving:
            return _LEAVING
        return await self._find_missed(group, entry)

    def _find_first(self, name: str) -> str:
        age = self._state.find_plan_age(read_clock())
        return _FIRST if age < PROOF_SECONDS else ''

    async def _find_missed(self, group: GroupState, entry: TargetEntry) -> str:
        if group.missed_since is None:
            return ''
        report = await self._ask_status(entry)
        now = read_clock()
        if report is None:
            group.miss(now)
        elif report.is_primary:
            group.hear(now)
            return ''
        else:
            return _DEPOSED
        missed = now - (group.missed_since or now)
        return _MISSED if missed >= MISSED_SECONDS else ''

    async def _try_change(self, name: str, reason: str) -> None:
        group = self._state.find_group(name)
        started_at = read_clock()
        try:
            if reason == _MISSED and not await self._is_missed_widely(name):
                raise ChangeFailedError('other instances reach it', 'ask')
            await self._change(name, reason)
        except ComfreystairError as error:
            pause = random.uniform(0.3, 0.6)  # noqa: S311
            if error.step == _ANNOUNCE:
                pause += _HELD_PAUSE_SECONDS
            self._retry_at[name] = read_clock() + pause
            self._log.write(
                'change_stopped',
                group=name,
                why=reason,
                step=error.step,
                reason=error,
                took=read_clock() - started_at,
            )
            await self._hurry()
        else:
            self._log.write(
                'change_done',
                group=name,
                why=reason,
                primary=group.leadership.record.primary,
                took=read_clock() - started_at,
            )
        finally:
            self._running.discard(name)

    async def _is_missed_widely(self, name: str) -> bool:
        inquiry = definitions.GroupInquiry(group=name)
        heard: list[float | None] = []

        async def ask(record: InstanceRecord) -> None:
            answer = await self._peers.call(
                record.address,
                'heard',
                inquiry,
                definitions.GroupConfirmation,
                _ASK_SECONDS,
            )
            milliseconds = answer.heard_ms
            heard.append(
                None if milliseconds < 0 else milliseconds / _MILLISECONDS
            )

        own = self._state.own.name
        others = [
            one for name, one in self._state.instances.items() if name != own
        ]
        await _run_side_by_side(ask, others)
        return is_missed_widely(heard)

    async def _change(self, name: str, reason: str) -> None:
        change = await self._announce(name, reason)
        await self._stop_all(change)
        change = await self._extend(change)
        end = await self._step_down(change)
        primary, term = await self._elect(change, end)
        record = GroupRecord(primary, term, is_changing=False)
        key = f'{GROUPS_PREFIX}{name}'
        outcome = await self._retry(
            change,
            lambda: self._store.change(
                {key: change.token}, {key: encode_record(record)}
            ),
        )
        if not isinstance(outcome, Committed):
            found = decode_leadership(outcome.items.get(key))
            if found.primary != primary or found.is_changing:
                raise ChangeFailedError('the record moved on', 'publish')
            revision = found.revision
        else:
            revision = outcome.revision
        await self._publish(name, Leadership(primary, term, False, revision))
        if not change.old.primary:
            # Nothing was promoted, so the next change need not wait.
            await self._store.end_lease(change.lease)

    async def _announce(self, name: str, reason: str) -> Change:
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
            raise ChangeFailedError(_DUTY_HELD, _ANNOUNCE)
        self._log.write(
            'change_announced',
            group=name,
            why=reason,
            primary=old.primary,
            term=old.term,
            token=outcome.revision,
        )
        until = asked_at + _DUTY_SECONDS
        return Change(
            name, old, outcome.revision, lease, until, reason == _LEAVING
        )

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
        if not change.old.primary:
            return
        records = await self._retry(
            change,
            lambda: self._store.list(INSTANCES_PREFIX, is_stale_ok=False),
        )
        listed = [decode_instance(item) for item in records.values()]
        others = {one.name: one for one in listed if one is not None}
        horizon = announced_at - 2 * PROOF_SECONDS
        for name, (record, seen_at) in self._state.recent.items():
            if seen_at > horizon:
                others.setdefault(name, record)
        others.pop(self._state.own.name, None)
        record = Leadership(
            change.old.primary, change.old.term, True, change.token
        )
        task = await curio.spawn(self._take, change.group, record)
        silent = await self._notify_all(
            change.group, record, {one.address for one in others.values()}
        )
        await task.join()
        is_new_here = announced_at - self._started_at < 2 * PROOF_SECONDS
        waited = 0.0
        if silent or is_new_here:
            ends = announced_at + PROOF_SECONDS + _PROOF_MARGIN_SECONDS
            waited = max(ends - read_clock(), 0)
            await curio.sleep(waited)
        self._log.write(
            'change_stopped_all',
            group=change.group,
            instances=len(others) + 1,
            silent=','.join(silent),
            waited=waited,
        )

    async def _notify_all(
        self, group: str, record: Leadership, addresses: set[str]
    ) -> list[str]:
        """Hand a record to instances and to those with proofs from them.

        :returns: the addresses that did not confirm.
        """
        waiting = addresses | set(self._list_followers())
        told = {self._state.own.address}
        silent: list[str] = []
        while waiting - told:
            round_of = waiting - told
            told |= round_of
            answers = await self._notify(group, record, round_of)
            silent.extend(round_of - answers.keys())
            for followers in answers.values():
                waiting.update(followers)
        return silent

    async def _notify(
        self, group: str, record: Leadership, addresses: set[str]
    ) -> dict[str, list[str]]:
        """Hand a record to instances.

        :returns: the followers of each that confirmed, by its address.
        """
        notice = to_notice(group, record)
        confirmed: dict[str, list[str]] = {}

        async def tell(address: str) -> None:
            answer = await self._peers.call(
                address,
                'group',
                notice,
                definitions.GroupConfirmation,
                _CONFIRM_SECONDS,
            )
            confirmed[address] = answer.followers or []

        await _run_side_by_side(tell, addresses)
        return confirmed

    async def _step_down(self, change: Change) -> Position | None:
        """Return the end of the old primary's log, if it told."""
        entry = self._state.targets.get(change.old.primary)
        if entry is None:
            return None

        async def order(connection: Connection) -> TargetReport | None:
            return await connection.step_down(change.old.term + 1, _ASK_SECONDS)

        report = await self._ask(entry, order)
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
        """Promote a successor and return it with its term."""
        bound = (
            _PLANNED_CATCH_UP_SECONDS
            if change.is_planned
            else _CATCH_UP_SECONDS
        )
        give_up_at = read_clock() + bound
        refused: set[str] = set()
        while read_clock() < change.until - _DUTY_MARGIN_SECONDS:
            standings = await self._ask_all(change.group)
            leader = find_other_primary(
                standings, change.old.primary, change.old.term
            )
            if leader is not None:
                return leader.ident, leader.term
            is_ready = read_clock() >= give_up_at or has_caught_up(
                standings, end, change.old.primary
            )
            successor = choose_successor(standings, change.old.primary, refused)
            if not change.old.primary:
                successor = _find_leader(standings)
                if successor is not None:
                    return successor.ident, successor.term
            elif is_ready and successor is not None:
                term = await self._order(change, successor)
                if term:
                    return successor.ident, term
                refused.add(successor.ident)
            await curio.sleep(_POLL_SECONDS)
        raise ChangeFailedError('no successor in time', 'elect')

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
            report = await self._ask_status(entry) if entry else None
            if report and report.is_primary:
                # A target that led before keeps its term.
                if successor.is_primary or report.term > change.old.term:
                    return report.term
            await curio.sleep(_POLL_SECONDS)
        return 0

    async def _publish(self, name: str, record: Leadership) -> None:
        task = await curio.spawn(self._take, name, record)
        addresses = {one.address for one in self._state.instances.values()}
        await self._notify(name, record, addresses - {self._state.own.address})
        await task.join()

    async def _ask_all(self, group: str) -> list[Standing]:
        standings: list[Standing] = []

        async def ask(entry: TargetEntry) -> None:
            report = await self._ask_status(entry)
            if report is not None:
                standings.append(
                    Standing(
                        entry.ident,
                        report.is_primary,
                        report.term,
                        parse_received(report.received),
                        entry.is_leaving,
                    )
                )

        await _run_side_by_side(ask, self._state.list_targets(group))
        return standings

    async def _ask_status(self, entry: TargetEntry) -> TargetReport | None:
        async def ask(connection: Connection) -> TargetReport | None:
            return await connection.ask_status(_ASK_SECONDS)

        return await self._ask(entry, ask)

    async def _ask(self, entry: TargetEntry, ask) -> TargetReport | None:
        try:
            connection = await self._open_probe(entry, _ASK_SECONDS)
        except ComfreystairError as error:
            self._log.write('probe_failed', target=entry.ident, reason=error)
            return None
        try:
            return await ask(connection)
        except ComfreystairError as error:
            self._log.write('probe_failed', target=entry.ident, reason=error)
            return None
        finally:
            await connection.close()

    async def _retry(self, change: Change, call):
        """Repeat a call that reads or is conditional, while the duty lasts."""
        while True:
            try:
                return await call()
            except ComfreystairError as error:
                if read_clock() > change.until - _DUTY_MARGIN_SECONDS:
                    raise ChangeFailedError(str(error), 'store') from error
            await curio.sleep(_POLL_SECONDS)


_FIRST: Final = 'no primary known'
_STALLED: Final = 'change stalled'
_GONE: Final = 'primary is gone'
_LEAVING: Final = 'primary leaves'
_MISSED: Final = 'primary does not answer'
_DEPOSED: Final = 'primary is no primary'
_WAITS: Final = {  # noqa: WPS407
    _FIRST: 0.3,
    _STALLED: _STALLED_SECONDS,
    _GONE: 0.3,
}
_MILLISECONDS: Final = 1000


def _find_leader(standings: list[Standing]) -> Standing | None:
    leaders = [one for one in standings if one.is_primary]
    return max(leaders, key=lambda one: one.term, default=None)


def _to_milliseconds(seconds: float) -> int:
    if seconds == float('inf'):
        return -1
    return int(seconds * _MILLISECONDS)


async def _finish_writes(group: GroupState) -> None:
    give_up_at = read_clock() + _FINISH_SECONDS
    while group.writes and read_clock() < give_up_at:
        await curio.sleep(0.01)


async def _run_side_by_side(call, subjects) -> None:
    """Run a call for each subject; those that fail are left out."""

    async def run(subject) -> None:
        try:
            await call(subject)
        except PeerError:
            return

    tasks = [await curio.spawn(run, subject) for subject in subjects]
    for task in tasks:
        await task.join()
