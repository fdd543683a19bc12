"""When the loss of a replica's log may be forgotten."""

import unittest

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.positions import Position
from comfreystair.controllers.primary_failover import ReplicationStatus
from comfreystair.controllers.primary_tracking import PrimaryRecord
from comfreystair.controllers.replica_logs import ReplicaRun
from comfreystair.controllers.store_position import StorePosition
from comfreystair.coordination.durable_logs import LostLogSettler
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.manifest.serving import build_plan
from tests.coordination.fakes import FakeLog, FakeStore

GROUP = 'permits'
END = Position(1, 7)
STABLE = PrimaryRecord('one', 1, False, StorePosition(1, 5))


class FakeProber:
    """A primary and one replica; the other replica is lost."""

    def __init__(self, received: Position) -> None:
        """Initialise with what the replica has received."""
        self._received = received

    async def query_group(self, _group: str) -> list[ReplicationStatus]:
        """Return their reports."""
        return [
            ReplicationStatus('one', True, 1, END, False, 'a:1'),
            ReplicationStatus('two', False, 1, self._received, False, 'a:2'),
        ]


class LostLogSettlerTest(unittest.TestCase):
    """A group of three targets, of which one replica is gone."""

    def setUp(self) -> None:
        """Lose the replica."""
        self.state = FleetState(InstanceRecord('own', 'z', 'own:1', 'own'))
        self.state.plan = build_plan(1, (), (), {GROUP: 9}, 3, {GROUP: 1})
        self.logs = self.state.find_replica_logs(GROUP)
        runs = {
            f'a:{number}': ReplicaRun(f't{number}', 1, is_leaving=False)
            for number in (1, 2, 3)
        }
        self.logs.update(runs, read_clock())
        runs.pop('a:3')
        self.logs.update(runs, read_clock())
        self.tracker = self.state.find_group(GROUP).primary_tracker
        self.tracker.update(STABLE, read_clock())

    def settle(self, received: Position) -> bool:
        """Tell whether the loss is forgotten after a check."""
        store = FakeStore(self.state.store_era.observe)
        prober = FakeProber(received)
        settler = LostLogSettler(self.state, store, prober, FakeLog())
        curio.run(settler._settle, GROUP)
        return not self.logs.losses

    def test_loss_is_forgotten_when_the_other_replica_has_all(self) -> None:
        """No commit needs the lost log any more."""
        self.assertTrue(self.settle(END))

    def test_loss_is_kept_while_the_other_replica_is_behind(self) -> None:
        """Guards against a promotion that lacks commits."""
        self.assertFalse(self.settle(Position(1, 6)))

    def test_loss_is_kept_while_the_primary_is_not_proved(self) -> None:
        """Guards against the word of a primary that was replaced."""
        position = StorePosition(1, 6)
        changing = STABLE._replace(is_changing=True, position=position)
        self.tracker.update(changing, float('-inf'))
        self.assertFalse(self.settle(END))


if __name__ == '__main__':
    unittest.main()
