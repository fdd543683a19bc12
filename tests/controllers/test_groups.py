"""The group controller against targets that crash, stall and lose answers."""

import random
import unittest

from comfreystair.controllers.acknowledgements import evaluate_commit
from comfreystair.controllers.failover_attempt import Fence, Promote
from comfreystair.controllers.group_failover import (
    Follow,
    FailoverController,
    FailoverSettings,
    GroupMember,
)
from comfreystair.controllers.positions import Position, TargetStatus

SETTINGS = FailoverSettings(0.3, 1.5, 0.06)
MEMBERS = tuple(GroupMember(f't{one}', f'10.0.0.{one}:1') for one in range(3))
STEP = 0.02
SEEDS = range(16)


class FakeTarget:
    """A target that keeps its promises; nothing else is modelled."""

    def __init__(self, name: str, is_primary: bool) -> None:
        """Start in term 1 with one entry."""
        self.name = name
        self.promised = (1, 'start')
        self.term = 1
        self.role = 'primary' if is_primary else 'replica'
        self.log = [(1, 'start')]
        self.follows = MEMBERS[0].address
        self.heard_at = 0.0
        self.is_up = True

    def fence(self, term: int, candidate: str) -> bool:
        """Promise a term to one candidate."""
        if term < self.promised[0]:
            return False
        if term == self.promised[0] and candidate != self.promised[1]:
            return False
        self.promised = (term, candidate)
        if self.term < term:
            self.role = 'fenced'
        return True

    def promote(self, term: int, candidate: str) -> bool:
        """Become primary for the promised term."""
        if (term, candidate) != self.promised:
            return False
        if self.role != 'primary':
            self.role = 'primary'
            self.term = term
            self.log.append((term, 'promotion'))
        return True

    def follow(self, term: int, address: str, now: float) -> bool:
        """Follow the primary of a term."""
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
        """Build its status."""
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


class World:
    """Targets and controllers over one clock, driven by one seed."""

    def __init__(self, seed: int, controllers: int = 3) -> None:
        """Start healthy."""
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
        self.late: list[tuple[float, int, object]] = []
        self.acknowledged: list[tuple[int, str]] = []
        self.primaries: dict[int, set[str]] = {}
        self.writes = 0

    def run(self, seconds: float, loss: float = 0) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            self.replicate()
            self.write()
            for number, controller in enumerate(self.controllers):
                if number not in self.paused:
                    self.tick(number, controller, loss)
            self.deliver()

    def tick(self, number: int, controller, loss: float) -> None:
        """Show a controller the targets and carry out its orders."""
        for name, target in self.targets.items():
            if target.is_up and self.random.random() >= loss:
                controller.record_status(
                    name, target.describe(self.now), self.now
                )
        for effect in controller.tick(self.now, self.random.random()):
            delay = self.random.choice((0.0, 0.0, 0.05, 0.5, 2.0))
            if self.random.random() >= loss:
                self.late.append((self.now + delay, number, effect))

    def deliver(self) -> None:
        """Carry out orders whose time has come; answers may be lost."""
        due = [entry for entry in self.late if entry[0] <= self.now]
        for entry in due:
            self.late.remove(entry)
            self.carry_out(entry[1], entry[2])

    def carry_out(self, number: int, effect) -> None:
        """Carry out one order at its target."""
        target = self.targets[effect.target]
        if not target.is_up:
            return
        controller = self.controllers[number]
        is_heard = self.random.random() >= 0.1
        if isinstance(effect, Follow):
            target.follow(effect.term, effect.primary_address, self.now)
        elif isinstance(effect, Fence):
            granted = target.fence(effect.term, effect.candidate)
            if is_heard:
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
            if is_heard:
                controller.record_promotion_reply(
                    target.name, effect.term, granted
                )

    def replicate(self) -> None:
        """Copy logs to replicas, now and then."""
        addresses = {one.address: one.name for one in MEMBERS}
        for target in self.targets.values():
            if not target.is_up or target.role != 'replica':
                continue
            primary = self.targets[addresses[target.follows]]
            if not primary.is_up or primary.role != 'primary':
                continue
            may = target.promised[0] <= primary.term == target.term
            if may and self.random.random() < 0.7:
                target.log = list(primary.log)
                target.heard_at = self.now

    def write(self) -> None:
        """Write at every primary and acknowledge as the daemons do."""
        for target in self.targets.values():
            is_able = target.role == 'primary' and target.is_up
            if is_able and target.promised[0] <= target.term:
                self.writes += 1
                target.log.append((target.term, f'w{self.writes}'))
                self.acknowledge(target)

    def acknowledge(self, primary: FakeTarget) -> None:
        """Acknowledge the newest entry that a majority holds."""
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


class GroupControllerTest(unittest.TestCase):
    """What must hold at every seed, and that service comes back."""

    def check(self, world: World, seed: int) -> None:
        """Check that nothing acknowledged is lost and terms are unique."""
        for term, names in world.primaries.items():
            self.assertEqual(len(names), 1, f'seed {seed} term {term}')
        primaries = [
            target
            for target in world.targets.values()
            if target.role == 'primary' and target.is_up
        ]
        self.assertTrue(primaries, f'seed {seed}: no primary')
        newest = max(primaries, key=lambda target: target.term)
        lost = set(world.acknowledged) - set(newest.log)
        self.assertEqual(lost, set(), f'seed {seed}')

    def test_healthy_group_is_left_alone(self) -> None:
        """Without a fault nobody is promoted."""
        world = World(1)
        world.run(20)
        self.assertEqual(world.primaries, {})

    def test_dead_primary_is_replaced(self) -> None:
        """After a crash another target is primary and writes go on."""
        for seed in SEEDS:
            world = World(seed)
            world.run(1)
            world.targets['t0'].is_up = False
            world.run(6)
            before = len(world.acknowledged)
            world.run(1)
            self.assertGreater(len(world.acknowledged), before, seed)
            self.check(world, seed)

    def test_returning_primary_follows(self) -> None:
        """A primary that was away comes back as a replica."""
        for seed in SEEDS:
            world = World(seed)
            world.run(1)
            world.targets['t0'].is_up = False
            world.run(6)
            world.targets['t0'].is_up = True
            world.run(6)
            roles = [one.role for one in world.targets.values()]
            self.assertEqual(roles.count('primary'), 1, f'seed {seed}')
            self.check(world, seed)

    def test_lossy_network_loses_nothing(self) -> None:
        """With a third of messages lost, promises still hold."""
        for seed in SEEDS:
            world = World(seed)
            world.run(8, loss=0.35)
            world.targets['t0'].is_up = False
            world.run(8, loss=0.35)
            world.targets['t0'].is_up = True
            world.run(8)
            self.check(world, seed)

    def test_paused_promoter_does_no_harm(self) -> None:
        """A promoter that pauses between its steps changes nothing late."""
        for seed in SEEDS:
            world = World(seed)
            world.run(1)
            world.targets['t0'].is_up = False
            world.run(0.36)
            world.paused.add(0)
            world.run(4)
            world.paused.clear()
            world.targets['t0'].is_up = True
            world.run(6)
            self.check(world, seed)

    def test_second_failure_waits_for_a_majority(self) -> None:
        """With two of three down nobody is promoted until one is back."""
        world = World(3)
        world.run(1)
        world.targets['t0'].is_up = False
        world.targets['t1'].is_up = False
        world.run(4)
        self.assertEqual(world.primaries, {})
        world.targets['t1'].is_up = True
        world.run(6)
        self.check(world, 3)

    def test_leaving_primary_hands_over(self) -> None:
        """A primary that leaves is replaced while it still works."""
        world = World(5)
        world.run(1)
        leaving = (
            MEMBERS[0]._replace(is_leaving=True),
            *MEMBERS[1:],
        )
        for controller in world.controllers:
            controller.set_members(leaving)
        world.run(4)
        primary = world.controllers[0].primary
        self.assertIsNotNone(primary)
        self.assertNotEqual(primary.target, 't0')
        self.check(world, 5)


if __name__ == '__main__':
    unittest.main()
