"""Watch groups' primaries, and have those that are gone or leave replaced."""

from collections.abc import Awaitable, Callable
from typing import Final

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.leadership import PROOF_SECONDS
from comfreystair.controllers.succession import MISSED_SECONDS
from comfreystair.coordination.exceptions import FailoverError
from comfreystair.coordination.failover import (
    STEP_ANNOUNCE,
    FailoverCoordinator,
)
from comfreystair.coordination.failover_notices import FailoverNotices
from comfreystair.coordination.jitter import add_jitter
from comfreystair.coordination.rendezvous import find_rank
from comfreystair.coordination.state import FleetState, GroupState
from comfreystair.coordination.target_prober import TargetProber
from comfreystair.exceptions import ComfreystairError
from comfreystair.observability.decisions import DecisionLog

_CHECK_SECONDS: Final = 0.2
# Lists of targets and instances may be this old, in seconds: they are read
# once a second.
_LISTS_SECONDS: Final = 2.5
# Each later rank waits this much longer before it starts a change.
_RANK_SECONDS: Final = 0.12
_MOST_RANKS: Final = 6
# Pauses after a change that failed, in seconds; longer where somebody else
# holds the duty.
_RETRY_SECONDS: Final = 0.45
_HELD_PAUSE_SECONDS: Final = 1.4

_FIRST: Final = 'no primary known'
_STALLED: Final = 'change stalled'
_GONE: Final = 'primary is gone'
_LEAVING: Final = 'primary leaves'
_MISSED: Final = 'primary does not answer'
_DEPOSED: Final = 'primary is no primary'
# How long a reason must last before a change starts, in seconds; an announced
# change gets time to go on.
_WAITS: Final = {  # noqa: WPS407
    _FIRST: 0.3,
    _STALLED: 1.0,
    _GONE: 0.3,
}


class PrimaryMonitor:
    """Watch the primaries of all groups."""

    def __init__(
        self,
        state: FleetState,
        changes: FailoverCoordinator,
        probes: TargetProber,
        notices: FailoverNotices,
        hurry: Callable[[], Awaitable[None]],
        log: DecisionLog,
    ) -> None:
        """Take the parts.

        :param hurry: asks for a proof now.
        """
        self._state = state
        self._changes = changes
        self._probes = probes
        self._notices = notices
        self._hurry = hurry
        self._log = log
        self._reasons: dict[str, tuple[str, float]] = {}
        self._running: set[str] = set()
        self._retry_at: dict[str, float] = {}

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            for name in list(self._state.groups):
                if name not in self._running:
                    await self._check(name)
            await curio.sleep(add_jitter(_CHECK_SECONDS))

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
        record = group.primary_tracker.record
        if not self._may_judge(name):
            return ''
        if record.is_changing:
            return _STALLED
        age = group.primary_tracker.find_proof_age(read_clock())
        if not record.primary:
            age = self._state.find_plan_age(read_clock())
        if age > PROOF_SECONDS:
            return ''
        if not record.primary:
            return _FIRST
        return await self._find_fault(group, record.primary)

    def _may_judge(self, name: str) -> bool:
        """Tell whether the lists here are young enough to act on.

        An instance back from a partition must not take a primary that it has
        not heard of for one that is gone.
        """
        age = read_clock() - self._state.lists_read_at
        is_listed = bool(self._state.list_targets(name))
        return (
            is_listed and age < _LISTS_SECONDS and not (self._state.is_draining)
        )

    async def _find_fault(self, group: GroupState, primary: str) -> str:
        """Return what is wrong with a primary; empty for nothing."""
        entry = self._state.targets.get(primary)
        if entry is None:
            return _GONE
        if entry.is_leaving:
            return _LEAVING
        if group.unreachable_since is None:
            return ''
        report = await self._probes.query_status(entry)
        now = read_clock()
        if report is None:
            group.record_failure(now)
            missed = now - (group.unreachable_since or now)
            return _MISSED if missed >= MISSED_SECONDS else ''
        if report.is_primary:
            group.record_answer(now)
            return ''
        return _DEPOSED

    async def _try_change(self, name: str, reason: str) -> None:
        group = self._state.find_group(name)
        started_at = read_clock()
        try:
            if (
                reason == _MISSED
                and not await self._notices.is_widely_unreachable(name)
            ):
                raise FailoverError('other instances reach it', 'ask')
            await self._changes.fail_over(name, reason, reason == _LEAVING)
        except ComfreystairError as error:
            is_held = error.step == STEP_ANNOUNCE
            pause = _HELD_PAUSE_SECONDS if is_held else _RETRY_SECONDS
            self._retry_at[name] = read_clock() + add_jitter(pause)
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
                primary=group.primary_tracker.record.primary,
                took=read_clock() - started_at,
            )
        finally:
            self._running.discard(name)
