"""Simulation of failover with crashed targets, delays and lost messages."""

import random
import unittest

from comfreystair.controllers.acknowledgements import evaluate_commit
from comfreystair.controllers.failover_attempt import Fence, Promote
from comfreystair.controllers.group_failover import (
    FailoverController,
    FailoverSettings,
    Follow,
    GroupMember,
)
from comfreystair.controllers.positions import Position, TargetStatus

SETTINGS = FailoverSettings(0.3, 1.5, 0.06)
MEMBERS = tuple(GroupMember(f't{one}', f'10.0.0.{one}:1') for one in range(3))
STEP_SECONDS = 0.02
SEEDS = range(16)


class FakeTarget:
    """A target that models terms, promises and its log, and nothing else."""

    def __init__(self, name: str, is_primary: bool) -> None:
        """Begin in term 1 with one log entry."""
        self.name = name
        self.promised = (1, 'start')
        self.term = 1
        self.role = 'primary' if is_primary else 'replica'
        self.log = [(1, 'start')]
        self.follows = MEMBERS[0].address
        self.heard_at = 0.0
        self.is_up = True

    def fence(self, term: int, candidate: str) -> bool:
        """Promise a term to one candidate and return whether it did."""
        if term < self.promised[0]:
            return False
        if term == self.promised[0] and candidate != self.promised[1]:
            return False
        self.promised = (term, candidate)
        if self.term < term:
            self.role = 'fenced'
        return True

    def promote(self, term: int, candidate: str) -> bool:
        """Become primary of the promised term; return whether it did."""
        if (term, candidate) != self.promised:
            return False
        if self.role != 'primary':
            self.role = 'primary'
            self.term = term
            self.log.append((term, 'promotion'))
        return True

    def follow(self, term: int, address: str, now: float) -> bool:
        """Replicate from the primary of a term; return whether it does."""
        is_own = self.role == 'primary' and self.term >= term
        if term < self.promised[0] or is_own:
            return False
        self.promised = (term, self.promised[1])
        self.role = 'replica'
        self.term = term
        self.follows = address
        self.heard_at = now
        return True

    def describe(self, now: float) -> TargetStatus:
        """Return the status that the target reports."""
        end = Position(self.log[-1][0], len(self.log))
        return TargetStatus(
            self.role,
            self.term,
            self.promised[0],
            end,
            end,
            now - self.heard_at,
            self.follows,
        )


class Simulation:
    """Targets and controllers on a simulated clock with one random seed."""

    def __init__(self, seed: int, controllers: int = 3) -> None:
        """Begin with all targets up and the first one as primary.

        :param controllers: number of daemons that may order a failover.
        """
        self.random = random.Random(seed)
        self.now = 0.0
        self.targets = {
            member.name: FakeTarget(member.name, index == 0)
            for index, member in enumerate(MEMBERS)
        }
        self.controllers = [
            FailoverController(MEMBERS, SETTINGS, f'c{one}')
            for one in range(controllers)
        ]
        for rank, controller in enumerate(self.controllers):
            controller.set_rank(rank)
        self.paused: set[int] = set()
        self.pending: list[tuple[float, int, object]] = []
        self.acknowledged: list[tuple[int, str]] = []
        self.primaries: dict[int, set[str]] = {}
        self.writes = 0

    def run(self, seconds: float, loss: float = 0) -> None:
        """Advance the simulated clock in steps.

        :param loss: probability that a status or command is lost.
        """
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            self.replicate()
            self.write()
            for number, controller in enumerate(self.controllers):
                if number not in self.paused:
                    self.tick(number, controller, loss)
            self.deliver()

    def tick(self, number: int, controller, loss: float) -> None:
        """Report the targets to a controller and queue its commands."""
        for name, target in self.targets.items():
            if target.is_up and self.random.random() >= loss:
                controller.record_status(
                    name, target.describe(self.now), self.now
                )
        for effect in controller.tick(self.now, self.random.random()):
            delay = self.random.choice((0.0, 0.0, 0.05, 0.5, 2.0))
            if self.random.random() >= loss:
                self.pending.append((self.now + delay, number, effect))

    def deliver(self) -> None:
        """Execute the commands that are due."""
        due = [entry for entry in self.pending if entry[0] <= self.now]
        for entry in due:
            self.pending.remove(entry)
            self.execute(entry[1], entry[2])

    def execute(self, number: int, effect) -> None:
        """Execute a command at its target; the reply may be lost."""
        target = self.targets[effect.target]
        if not target.is_up:
            return
        controller = self.controllers[number]
        is_reply_delivered = self.random.random() >= 0.1
        if isinstance(effect, Follow):
            target.follow(effect.term, effect.primary_address, self.now)
        elif isinstance(effect, Fence):
            granted = target.fence(effect.term, effect.candidate)
            if is_reply_delivered:
                controller.record_fence_reply(
                    target.name,
                    effect.term,
                    target.describe(self.now),
                    granted,
                )
        elif isinstance(effect, Promote):
            granted = target.promote(effect.term, effect.candidate)
            if granted:
                promoted = self.primaries.setdefault(effect.term, set())
                promoted.add(target.name)
            if is_reply_delivered:
                controller.record_promotion_reply(
                    target.name, effect.term, granted
                )

    def replicate(self) -> None:
        """Copy the log of the primary to replicas at random."""
        addresses = {one.address: one.name for one in MEMBERS}
        for target in self.targets.values():
            if not target.is_up or target.role != 'replica':
                continue
            primary = self.targets[addresses[target.follows]]
            if not primary.is_up or primary.role != 'primary':
                continue
            can_replicate = target.promised[0] <= primary.term == target.term
            if can_replicate and self.random.random() < 0.7:
                target.log = list(primary.log)
                target.heard_at = self.now

    def write(self) -> None:
        """Write at every primary and acknowledge what a majority received."""
        for target in self.targets.values():
            can_write = target.role == 'primary' and target.is_up
            if can_write and target.promised[0] <= target.term:
                self.writes += 1
                target.log.append((target.term, f'w{self.writes}'))
                self.acknowledge(target)

    def acknowledge(self, primary: FakeTarget) -> None:
        """Acknowledge the newest entry that a majority has received."""
        statuses = [
            target.describe(self.now)
            for target in self.targets.values()
            if target.is_up
        ]
        for offset in range(len(primary.log), 0, -1):
            commit = Position(primary.term, offset)
            is_own = primary.log[offset - 1][0] == primary.term
            if is_own and evaluate_commit(commit, statuses, 2) == 'safe':
                self.acknowledged.append(primary.log[offset - 1])
                return


class FailoverControllerTest(unittest.TestCase):
    """No acknowledged write is lost, and the group recovers."""

    def check(self, simulation: Simulation, seed: int) -> None:
        """Check that no write is lost and each term has one primary only."""
        for term, names in simulation.primaries.items():
            self.assertEqual(len(names), 1, f'seed {seed} term {term}')
        primaries = [
            target
            for target in simulation.targets.values()
            if target.role == 'primary' and target.is_up
        ]
        self.assertTrue(primaries, f'seed {seed}: no primary')
        newest = max(primaries, key=lambda target: target.term)
        lost = set(simulation.acknowledged) - set(newest.log)
        self.assertEqual(lost, set(), f'seed {seed}')

    def test_healthy_group_has_no_failover(self) -> None:
        """No target is promoted while there is no fault."""
        simulation = Simulation(1)
        simulation.run(20)
        self.assertEqual(simulation.primaries, {})

    def test_dead_primary_is_replaced(self) -> None:
        """After a crash of the primary another target accepts writes."""
        for seed in SEEDS:
            simulation = Simulation(seed)
            simulation.run(1)
            simulation.targets['t0'].is_up = False
            simulation.run(6)
            before = len(simulation.acknowledged)
            simulation.run(1)
            self.assertGreater(len(simulation.acknowledged), before, seed)
            self.check(simulation, seed)

    def test_restarted_primary_becomes_replica(self) -> None:
        """A former primary that restarts becomes a replica."""
        for seed in SEEDS:
            simulation = Simulation(seed)
            simulation.run(1)
            simulation.targets['t0'].is_up = False
            simulation.run(6)
            simulation.targets['t0'].is_up = True
            simulation.run(6)
            roles = [one.role for one in simulation.targets.values()]
            self.assertEqual(roles.count('primary'), 1, f'seed {seed}')
            self.check(simulation, seed)

    def test_message_loss_loses_no_acknowledged_write(self) -> None:
        """No acknowledged write is lost when a third of messages is lost."""
        for seed in SEEDS:
            simulation = Simulation(seed)
            simulation.run(8, loss=0.35)
            simulation.targets['t0'].is_up = False
            simulation.run(8, loss=0.35)
            simulation.targets['t0'].is_up = True
            simulation.run(8)
            self.check(simulation, seed)

    def test_paused_candidate_does_not_break_safety(self) -> None:
        """No write is lost when a candidate resumes after a long pause."""
        for seed in SEEDS:
            simulation = Simulation(seed)
            simulation.run(1)
            simulation.targets['t0'].is_up = False
            simulation.run(0.36)
            simulation.paused.add(0)
            simulation.run(4)
            simulation.paused.clear()
            simulation.targets['t0'].is_up = True
            simulation.run(6)
            self.check(simulation, seed)

    def test_no_promotion_without_majority(self) -> None:
        """No target is promoted while two of three are down."""
        simulation = Simulation(3)
        simulation.run(1)
        simulation.targets['t0'].is_up = False
        simulation.targets['t1'].is_up = False
        simulation.run(4)
        self.assertEqual(simulation.primaries, {})
        simulation.targets['t1'].is_up = True
        simulation.run(6)
        self.check(simulation, 3)

    def test_removed_primary_is_replaced(self) -> None:
        """A manifest may drop the primary without draining it first."""
        simulation = Simulation(6)
        simulation.run(1)
        simulation.targets['t0'].is_up = False
        for controller in simulation.controllers:
            controller.set_members(MEMBERS[1:])
        self.assertIsNone(simulation.controllers[0].primary)
        simulation.run(4)
        primary = simulation.controllers[0].primary
        self.assertIsNotNone(primary)
        self.assertNotEqual(primary.target, 't0')

    def test_draining_primary_is_replaced(self) -> None:
        """A primary that is being drained is replaced while it still works."""
        simulation = Simulation(5)
        simulation.run(1)
        leaving = (
            MEMBERS[0]._replace(is_leaving=True),
            *MEMBERS[1:],
        )
        for controller in simulation.controllers:
            controller.set_members(leaving)
        simulation.run(4)
        primary = simulation.controllers[0].primary
        self.assertIsNotNone(primary)
        self.assertNotEqual(primary.target, 't0')
        self.check(simulation, 5)


if __name__ == '__main__':
    unittest.main()
