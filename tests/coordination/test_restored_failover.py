"""Failovers after the store has lost records, leases and announcements."""

import unittest

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.positions import Position
from comfreystair.controllers.primary_failover import ReplicationStatus
from comfreystair.controllers.primary_tracking import PrimaryRecord
from comfreystair.controllers.store_position import ABSENT
from comfreystair.coordination.exceptions import FailoverError
from comfreystair.coordination.failover import FailoverCoordinator
from comfreystair.coordination.failover_notices import FailoverNotices
from comfreystair.coordination.records import (
    FAILOVER_LEASES_PREFIX,
    GROUPS_PREFIX,
    INSTANCES_PREFIX,
    GroupRecord,
    InstanceRecord,
    decode_primary_record,
    encode_record,
)
from comfreystair.coordination.restorable_store import RestorableStore
from comfreystair.coordination.state import FleetState
from comfreystair.pooling.targets import TargetEntry, TargetReport
from tests.coordination.fakes import FakeLog, FakePeers, FakeStore

GROUP = 'permits'
KEY = f'{GROUPS_PREFIX}{GROUP}'
LEASE_KEY = f'{FAILOVER_LEASES_PREFIX}{GROUP}'
END = Position(1, 7)
IDENTS = ('one', 'two', 'three')
OWN = InstanceRecord('own', 'norte', 'own:1', 'own')
PEER = InstanceRecord('peer', 'sur', 'peer:1', 'peer')


class FakeTargets:
    """A group whose targets report roles and terms.

    :ivar roles: term of each target that answers, and whether it is primary.
    :ivar busy: targets that give no status when they are queried once.
    """

    def __init__(self) -> None:
        """Initialise with the first target as primary of the first term."""
        self.roles = {one: (1, one == 'one') for one in IDENTS}
        self.busy: set[str] = set()
        self.newest_term = 1
        self.demoted: list[str] = []
        self.tokens: list[int] = []

    async def step_down(self, entry: TargetEntry, _term: int) -> None:
        """Record a demotion."""
        self.demoted.append(entry.ident)

    async def query_group(
        self, _group: str, _doubtful=(), busy_seconds: float = 0
    ) -> list:
        """Return the status of each target that answers."""
        return [
            ReplicationStatus(ident, is_primary, term, END, False)
            for ident, (term, is_primary) in self.roles.items()
            if busy_seconds or ident not in self.busy
        ]

    async def query_status(self, entry: TargetEntry) -> TargetReport:
        """Return the status of a target."""
        term, is_primary = self.roles[entry.ident]
        return TargetReport(is_primary, term, END)

    async def promote(self, _group: str, target: str, token: int) -> bool:
        """Promote a target at once."""
        self.tokens.append(token)
        self.newest_term += 1
        self.roles[target] = (self.newest_term, True)
        return True


class Instance:
    """One instance with its view, its notices and its coordinator."""

    def __init__(self, own: InstanceRecord, store, peers, targets) -> None:
        """Create an instance that serves notices."""
        self.state = FleetState(own)
        self.state.instances = {one.name: one for one in (OWN, PEER)}
        self.state.targets = {
            one: TargetEntry(one, GROUP, f'{one}:2', 'sur', 2, 1, False, False)
            for one in IDENTS
        }
        self.tracker = self.state.find_group(GROUP).primary_tracker
        self.notices = FailoverNotices(
            self.state, peers, self.ignore, lambda: []
        )
        peers.serve(own.address, 'group', self.notices.handle_notice)
        self.coordinator = FailoverCoordinator(
            self.state,
            RestorableStore(store, self.state.store_era),
            targets,
            self.notices,
            targets.promote,
            FakeLog(),
        )
        self.coordinator._started_at -= 60

    async def ignore(self) -> None:
        """Ignore a request to refresh the proofs."""


class RestoredFailoverTest(unittest.TestCase):
    """Two instances whose store has returned from an older copy."""

    def setUp(self) -> None:
        """Have both instances know the first primary."""
        self.peers = FakePeers()
        self.targets = FakeTargets()
        self.store = FakeStore(self.observe)
        self.own, self.peer = (
            Instance(one, self.store, self.peers, self.targets)
            for one in (OWN, PEER)
        )
        self.store.put(f'{INSTANCES_PREFIX}{PEER.name}', encode_record(PEER))
        self.write('one', 1)
        for instance in (self.own, self.peer):
            instance.tracker.update(self.read(), read_clock())
        self.store.save()

    def observe(self, era: int, source: str) -> None:
        """Tell the instance that calls the store of its era."""
        self.own.state.store_era.observe(era, source)

    def write(self, primary: str, term: int) -> None:
        """Write the group's record in the store's present era."""
        record = GroupRecord(primary, term, False, era=self.store.era)
        self.store.put(KEY, encode_record(record))

    def read(self) -> PrimaryRecord:
        """Return the group's record as it is stored."""
        return decode_primary_record(self.store.items[KEY])

    def restore(self) -> None:
        """Lose what was written, and have the instance read the record."""
        self.store.restore()
        self.observe(self.store.era, 'store')
        self.own.tracker.update(self.read(), read_clock())

    def fail_over(self) -> PrimaryRecord:
        """Run a failover and return the record that it has written."""
        curio.run(self.own.coordinator.fail_over, GROUP, 'test', False)
        return self.read()

    def lose_failover(self, *witnesses: Instance) -> None:
        """Promote the second target; the store loses the record of it."""
        self.write('two', 2)
        for witness in witnesses:
            witness.tracker.update(self.read(), read_clock())
        self.targets.newest_term = 2
        self.targets.roles['two'] = (2, True)
        self.restore()

    # Guards against: the old primary is used again, because the store has lost
    # the record of its replacement and it answers as primary.
    def test_lost_failover_is_recorded_again(self) -> None:
        """The instance that ran it knows the new primary."""
        self.lose_failover(self.own)
        record = self.fail_over()
        self.assertEqual((record.primary, record.term), ('two', 2))
        self.assertFalse(record.is_restored)
        self.assertEqual(self.targets.tokens, [])

    # Guards against: the same, when the instance that records the primary
    # again has not heard of the lost failover.
    def test_failover_that_only_a_peer_knows_is_recorded(self) -> None:
        """The new primary can't be reached, but another instance knows it."""
        self.lose_failover(self.peer)
        self.targets.roles.pop('two')
        record = self.fail_over()
        self.assertNotEqual(record.primary, 'one')
        self.assertGreater(record.term, 2)

    # Guards against: the old primary is used beside a new one, which was
    # promoted in the lost seconds and which nobody can ask.
    def test_unfinished_failover_needs_all_targets(self) -> None:
        """Instances that only know its announcement prove nothing."""
        announced = self.read()._replace(
            is_changing=True,
            position=self.store.put('other', b''),
        )
        for instance in (self.own, self.peer):
            with self.subTest(instance=instance.state.own.name):
                self.setUp()
                witness = self.own if instance.state.own == OWN else self.peer
                witness.tracker.update(announced, float('-inf'))
                self.targets.roles.pop('two')
                self.restore()
                self.assertNotEqual(self.fail_over().primary, 'one')

    def test_undisputed_primary_is_kept(self) -> None:
        """It is neither demoted nor promoted, and both instances use it."""
        self.restore()
        record = self.fail_over()
        self.assertEqual((record.primary, record.term), ('one', 1))
        self.assertEqual((self.targets.demoted, self.targets.tokens), ([], []))
        self.assertEqual(self.peer.tracker.record, record)

    # Guards against: a healthy primary is demoted after a restore, because it
    # was too busy to give its status.
    def test_busy_primary_is_kept(self) -> None:
        """It is queried until it gives its status."""
        self.targets.busy.add('one')
        self.restore()
        self.assertEqual(self.fail_over().primary, 'one')
        self.assertEqual(self.targets.tokens, [])

    # Guards against: a target is promoted with a lower token than an earlier
    # holder has used, as the store gives out revisions again.
    def test_fencing_tokens_rise_over_eras(self) -> None:
        """The token of a later failover is higher."""
        for _ in range(5):
            self.store.put('other', b'')
        self.targets.roles.pop('one')
        self.own.tracker.update(self.read(), read_clock())
        self.fail_over()
        self.restore()
        self.targets.roles.clear()
        self.targets.roles['three'] = (2, False)
        self.own.state.store_era.restored_at -= 60
        self.fail_over()
        self.assertEqual(self.targets.tokens, sorted(set(self.targets.tokens)))
        self.assertEqual(len(self.targets.tokens), 2)

    # Guards against: two instances promote at the same time, because the store
    # has lost the lease of the first one.
    def test_lost_lease_stops_the_promotion(self) -> None:
        """The holder notices the restore before it orders the promotion."""
        self.targets.roles.pop('one')
        read_group = self.targets.query_group

        async def query_group(group: str, *options, **settings) -> list:
            self.store.restore()
            self.observe(self.store.era, 'store')
            return await read_group(group, *options, **settings)

        self.targets.query_group = query_group
        with self.assertRaises(FailoverError):
            self.fail_over()
        self.assertEqual(self.targets.tokens, [])

    # Guards against: no primary for the rest of a failover lease that was held
    # when the copy was made.
    def test_leftover_lease_does_not_delay(self) -> None:
        """A lease of an earlier era is replaced at once."""
        self.store.put(LEASE_KEY, encode_record(PEER), 99)
        self.store.save()
        self.restore()
        self.assertEqual(self.fail_over().primary, 'one')

    # Guards against: a group without a record in the restored store never gets
    # a proof again.
    def test_missing_record_is_written_again(self) -> None:
        """The record was first written after the copy was made."""
        self.store.items.pop(KEY)
        self.store.save()
        self.store.restore()
        self.observe(self.store.era, 'store')
        absent = PrimaryRecord(position=ABSENT._replace(era=self.store.era))
        self.own.tracker.update(absent, read_clock())
        self.assertTrue(self.own.tracker.record.is_restored)
        self.assertEqual(self.fail_over().primary, 'one')

    # Guards against: an instance whose promotion may still take effect confirms
    # that another one may promote.
    def test_ordered_promotion_withholds_confirmation(self) -> None:
        """The notice is answered once the outcome is known."""
        self.peer.state.find_group(GROUP).is_promoting = True

        async def confirm() -> bool:
            async with curio.ignore_after(0.1):
                await self.own.notices.broadcast(
                    GROUP, self.read(), {PEER.address}
                )
                return True
            return False

        self.assertFalse(curio.run(confirm))


if __name__ == '__main__':
    unittest.main()
