"""Failovers of a group whose commits one replica must have received.

The primary crashes while its two replicas are in every pair of states.
"""

import itertools
import unittest
from typing import NamedTuple

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.positions import Position
from comfreystair.controllers.primary_failover import ReplicationStatus
from comfreystair.controllers.primary_tracking import PrimaryRecord
from comfreystair.coordination.failover import FailoverCoordinator
from comfreystair.coordination.failover_notices import FailoverNotices
from comfreystair.coordination.records import (
    GROUPS_PREFIX,
    GroupRecord,
    InstanceRecord,
    encode_record,
)
from comfreystair.coordination.state import FleetState
from comfreystair.exceptions import ComfreystairError
from comfreystair.manifest.serving import build_plan
from comfreystair.pooling.targets import TargetEntry, TargetReport
from tests.coordination.fakes import FakeLog, FakePeers, FakeStore

GROUP = 'permits'
OWN = InstanceRecord('own', 'z', 'own:1', 'own')
BEFORE = Position(1, 3)
LATEST = Position(1, 7)
# Rounds of queries in which a busy target gives no report.
BUSY_ROUNDS = 4
STATES = ('healthy', 'draining', 'deaf', 'busy', 'crashed')


class Replica(NamedTuple):
    """A replica in one of the states."""

    ident: str
    state: str

    @property
    def received(self) -> Position:
        """Return the end of its log; a deaf one lacks the last commits."""
        return BEFORE if self.state == 'deaf' else LATEST

    def report(self, round_number: int) -> ReplicationStatus | None:
        """Return what it reports in a round of queries, if anything."""
        is_busy = self.state == 'busy' and round_number < BUSY_ROUNDS
        if is_busy or self.state == 'crashed':
            return None
        is_leaving = self.state == 'draining'
        return ReplicationStatus(
            self.ident, False, 1, self.received, is_leaving, f'{self.ident}:2'
        )


class FakeGroup:
    """Targets whose primary has crashed, and may come back."""

    def __init__(self, replicas: tuple[Replica, ...], is_back: bool) -> None:
        """Initialise with the states of the replicas.

        :param is_back: the primary is back with its log.
        """
        self.replicas = replicas
        self.is_back = is_back
        self.promoted = ''
        self._round = 0

    async def step_down(self, _entry: TargetEntry, _term: int):
        """Do not answer, as the crash was a moment ago."""

    async def query_group(
        self, _group: str, *_options: object, **_settings: object
    ) -> list[ReplicationStatus]:
        """Return the reports of this round."""
        self._round += 1
        reports = [one.report(self._round) for one in self.replicas]
        if self.is_back:
            reports.append(
                ReplicationStatus('one', False, 1, LATEST, False, 'one:2')
            )
        return [one for one in reports if one is not None]

    async def query_status(self, entry: TargetEntry) -> TargetReport:
        """Report the promoted target as primary."""
        is_primary = entry.ident == self.promoted
        return TargetReport(is_primary, 1 + is_primary, LATEST)

    async def promote(self, _group: str, target: str, _token: int) -> bool:
        """Promote a target at once."""
        self.promoted = target
        return True


class SyncFailoverTest(unittest.TestCase):
    """A group of three targets with one synchronous replica."""

    def build(self, group: FakeGroup) -> FailoverCoordinator:
        """Return a coordinator of the group, which was in use before."""
        state = FleetState(OWN)
        store = FakeStore(state.store_era.observe)
        leaving = {one.ident: one.state for one in group.replicas}
        targets = {
            ident: TargetEntry(
                ident,
                GROUP,
                f'{ident}:2',
                'z',
                2,
                1,
                is_leaving=leaving.get(ident) == 'draining',
                claims_primary=ident == 'one',
            )
            for ident in ('one', 'two', 'three')
        }
        state.update_targets(targets, read_clock())
        state.plan = build_plan(1, (), (), {GROUP: 9}, 3, {GROUP: 1})
        position = store.put(
            f'{GROUPS_PREFIX}{GROUP}',
            encode_record(GroupRecord('one', 1, is_changing=False, era=1)),
        )
        state.find_group(GROUP).primary_tracker.update(
            PrimaryRecord('one', 1, False, position), read_clock()
        )
        notices = FailoverNotices(
            state, FakePeers(), self.refresh_now, lambda: []
        )
        coordinator = FailoverCoordinator(
            state, store, group, notices, group.promote, FakeLog()
        )
        coordinator._started_at -= 60
        return coordinator

    async def refresh_now(self) -> None:
        """Ignore the request."""

    def fail_over(self, is_back: bool) -> list[FakeGroup]:
        """Run the failovers of all pairs at the same time."""
        groups = [
            FakeGroup(
                (Replica('two', second), Replica('three', third)), is_back
            )
            for second, third in itertools.product(STATES, STATES)
        ]

        async def run(group: FakeGroup) -> None:
            try:
                await self.build(group).fail_over(GROUP, 'test', False)
            except ComfreystairError as error:
                self.assertEqual(error.step, 'elect')

        async def run_all() -> None:
            tasks = [await curio.spawn(run, group) for group in groups]
            for task in tasks:
                await task.join()

        curio.run(run_all)
        return groups

    def test_every_pair_keeps_acknowledged_commits(self) -> None:
        """Guards against the promotion of a log without a proof.

        With both replicas deaf, the last commits were not acknowledged. A
        crashed replica may hold more than the one that is heard.
        """
        for group in self.fail_over(is_back=False):
            states = {one.state for one in group.replicas}
            with self.subTest(states=states):
                if 'crashed' in states:
                    self.assertEqual(group.promoted, '')
                    continue
                found = [
                    one.received
                    for one in group.replicas
                    if one.ident == group.promoted
                ]
                end = BEFORE if states == {'deaf'} else LATEST
                self.assertEqual(found, [end])

    def test_healthy_replica_is_preferred_to_a_leaving_one(self) -> None:
        """A target that leaves leads only if no other one may."""
        for group in self.fail_over(is_back=False):
            promoted = {
                one.state
                for one in group.replicas
                if one.ident == group.promoted
            }
            states = {one.state for one in group.replicas}
            if promoted == {'draining'}:
                self.assertLessEqual(states, {'draining', 'deaf'})

    def test_log_of_the_old_primary_is_a_proof(self) -> None:
        """Guards against waiting for replicas that nobody needs."""
        for group in self.fail_over(is_back=True):
            with self.subTest(replicas=group.replicas):
                found = {one.ident: one.received for one in group.replicas}
                found['one'] = LATEST
                self.assertEqual(found.get(group.promoted), LATEST)


if __name__ == '__main__':
    unittest.main()
