"""When an instance has a primary replaced."""

import unittest

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.leadership import Leadership
from comfreystair.coordination.leaders import Leaders
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.pooling.targets import TargetEntry, TargetReport

OWN = InstanceRecord('a', 'lima-a', '127.0.0.1:1', 'a-1')
WATCH_SECONDS = 2.5


def build_entry(ident: str, **changes: object) -> TargetEntry:
    """Return a target that serves."""
    entry = TargetEntry(
        ident, 'permits', '127.0.0.1:2', 'lima-a', 2, 1, False, False
    )
    return entry._replace(**changes)


class FakeParts:
    """Changes, probes, notices and log that only take notes."""

    def __init__(self) -> None:
        """Start without notes; the primary answers."""
        self.changes: list[tuple[str, str, bool]] = []
        self.report: TargetReport | None = TargetReport(True, 1, None)

    async def carry_out(self, name: str, reason: str, is_planned: bool) -> None:
        """Note a change."""
        self.changes.append((name, reason, is_planned))

    async def ask_status(self, _entry: TargetEntry) -> TargetReport | None:
        """Answer for any target."""
        return self.report

    async def is_missed_widely(self, _group: str) -> bool:
        """Have all others miss it, too."""
        return True

    async def hurry(self) -> None:
        """Need no proof."""

    def write(self, event: str, **fields: object) -> None:
        """Log nothing."""


class LeadersTest(unittest.TestCase):
    """Reasons to act, and reasons not to."""

    def setUp(self) -> None:
        """Know a group whose primary is listed and proved."""
        self.parts = FakeParts()
        self.state = FleetState(OWN)
        self.state.targets = {'one': build_entry('one')}
        self.state.lists_read_at = read_clock()
        self.group = self.state.find_group('permits')
        self.learn(Leadership('one', 1, is_changing=False, revision=5))

    def learn(self, record: Leadership) -> None:
        """Prove a record as of now."""
        self.group.leadership.learn(record, read_clock())

    def watch(self) -> list[tuple[str, str, bool]]:
        """Watch for a while and return the changes."""
        curio.run(self._watch)
        return self.parts.changes

    def test_primary_that_answers_stays(self) -> None:
        """A single miss is checked and forgiven."""
        self.group.miss(read_clock())
        self.assertEqual(self.watch(), [])
        self.assertIsNone(self.group.missed_since)

    def test_primary_that_does_not_answer_is_replaced(self) -> None:
        """After it was missed for long enough."""
        self.parts.report = None
        self.group.miss(read_clock())
        changes = self.watch()
        self.assertEqual(changes[0][1], 'primary does not answer')

    def test_leaving_primary_is_replaced_as_planned(self) -> None:
        """Its log may be caught up with first."""
        self.state.targets = {'one': build_entry('one', is_leaving=True)}
        self.assertIn(('permits', 'primary leaves', True), self.watch())

    def test_unknown_primary_on_old_lists_is_not_gone(self) -> None:
        """Back from a partition, an instance reads the lists first."""
        self.learn(Leadership('two', 2, is_changing=False, revision=9))
        self.state.lists_read_at = read_clock() - 5
        self.assertEqual(self.watch(), [])

    def test_unknown_primary_on_young_lists_is_gone(self) -> None:
        """The same with lists that were just read."""
        self.learn(Leadership('two', 2, is_changing=False, revision=9))
        self.assertEqual(self.watch()[0][1], 'primary is gone')

    async def _watch(self) -> None:
        parts = self.parts
        leaders = Leaders(self.state, parts, parts, parts, parts.hurry, parts)
        task = await curio.spawn(leaders.run, daemon=True)
        for _ in range(int(WATCH_SECONDS / 0.1)):
            await curio.sleep(0.1)
            if self.group.leadership.find_proof_age(read_clock()) < 10:
                self.learn(self.group.leadership.record)
        await task.cancel()


if __name__ == '__main__':
    unittest.main()
