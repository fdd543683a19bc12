"""Which replicas' logs must be known before a promotion."""

import unittest

from comfreystair.controllers.positions import Position
from comfreystair.controllers.replica_logs import (
    ReplicaLogs,
    ReplicaRun,
    find_durable_end,
    hold_position,
)

ONE = ReplicaRun('one', 1, is_leaving=False)
TWO = ReplicaRun('two', 1, is_leaving=False)
THREE = ReplicaRun('three', 1, is_leaving=False)
LISTED = {'a:1': ONE, 'a:2': TWO, 'a:3': THREE}
EARLY = Position(1, 3)
LATE = Position(1, 7)


class ReplicaLogsTest(unittest.TestCase):
    """A primary and two replicas, of which the second changes."""

    def setUp(self) -> None:
        """List all three."""
        self.logs = ReplicaLogs()
        self.logs.update(LISTED, 10)

    def list_unheard(self, *heard: str) -> set[str]:
        """Return the replicas' addresses that are unheard."""
        return set(self.logs.list_unheard(heard, 'one'))

    def replace_second(self, run: ReplicaRun | None, now: float) -> None:
        """List another run at the address of the second target, or none."""
        listed = {**LISTED, 'a:2': run} if run else dict(LISTED)
        if run is None:
            listed.pop('a:2')
        self.logs.update(listed, now)

    def test_primary_is_no_replica(self) -> None:
        """Its receipt acknowledges nothing."""
        self.assertEqual(self.list_unheard(), {'a:2', 'a:3'})
        self.assertEqual(self.list_unheard('a:2', 'a:3'), set())

    def test_unlisted_replica_stays_unheard(self) -> None:
        """Guards against a promotion that forgets who held the commits."""
        self.replace_second(None, 20)
        self.assertEqual(self.list_unheard('a:3'), {'a:2'})

    def test_replica_that_is_listed_again_has_its_log(self) -> None:
        """Its entry had only expired."""
        self.replace_second(None, 20)
        self.replace_second(TWO, 30)
        self.assertEqual(self.list_unheard('a:2', 'a:3'), set())

    def test_restarted_replica_has_lost_its_log(self) -> None:
        """Guards against an empty log that counts as heard."""
        self.replace_second(TWO._replace(born=2), 20)
        self.assertEqual(self.list_unheard('a:2', 'a:3'), {'a:2'})

    def test_other_target_at_the_address_of_a_crashed_one(self) -> None:
        """It has not taken over the log."""
        self.replace_second(None, 20)
        self.replace_second(ReplicaRun('new', 9, is_leaving=False), 30)
        self.assertEqual(self.list_unheard('a:2', 'a:3'), {'a:2'})

    def test_successor_of_a_leaving_target_has_its_log(self) -> None:
        """A planned replacement loses nothing."""
        self.replace_second(TWO._replace(is_leaving=True), 20)
        self.replace_second(None, 30)
        self.replace_second(ReplicaRun('new', 9, is_leaving=False), 40)
        self.assertEqual(self.list_unheard('a:2', 'a:3'), set())

    def test_settled_losses_are_forgotten(self) -> None:
        """Only those from before the primary was asked."""
        self.replace_second(None, 20)
        self.logs.settle(19)
        self.assertEqual(self.list_unheard('a:3'), {'a:2'})
        self.logs.settle(20)
        self.assertEqual(self.list_unheard('a:3'), set())
        self.logs.add_addresses(['a:2'], 30)
        self.assertEqual(self.list_unheard('a:3'), set())

    def test_address_that_another_instance_knew(self) -> None:
        """Guards against an instance that starts after a replica is gone."""
        self.logs.add_addresses(['a:3', 'a:4'], 20)
        self.assertEqual(self.list_unheard('a:2', 'a:3'), {'a:4'})


class DurableEndTest(unittest.TestCase):
    """What proves where the acknowledged commits end."""

    def test_all_replicas_prove_it(self) -> None:
        """The most advanced log holds what one of them has received."""
        self.assertEqual(find_durable_end([EARLY, LATE], 0, None, 1), LATE)

    def test_unheard_replica_leaves_it_open(self) -> None:
        """With two receipts, one replica may be unheard."""
        self.assertIsNone(find_durable_end([LATE], 1, None, 1))
        self.assertEqual(find_durable_end([LATE], 1, None, 2), LATE)
        self.assertIsNone(find_durable_end([], 0, None, 1))

    def test_log_of_the_primary_proves_it(self) -> None:
        """Of two proofs the weaker demand is enough."""
        self.assertEqual(find_durable_end([EARLY], 1, LATE, 1), LATE)
        self.assertEqual(find_durable_end([EARLY, EARLY], 0, LATE, 1), EARLY)

    def test_as_many_replicas_hold_a_position_as_acknowledge(self) -> None:
        """One of two is enough for one receipt."""
        self.assertTrue(hold_position([EARLY, LATE], LATE, 1))
        self.assertFalse(hold_position([EARLY, LATE], LATE, 2))


if __name__ == '__main__':
    unittest.main()
