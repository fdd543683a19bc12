"""The soak's checks find each promise that is broken."""

import unittest

from standins.soak.checks import ItemHistory, check_runs
from standins.soak.faults import draw_faults


class HistoryTest(unittest.TestCase):
    """One item with one writer."""

    def setUp(self) -> None:
        """Acknowledge two writes."""
        self.history = ItemHistory('item')
        self.history.take_write('1', 'old', 'COMPLETE s')
        self.history.take_write('2', 'new', 'COMPLETE s')

    def test_newest_is_allowed(self) -> None:
        """A read of the newest acknowledged write is no finding."""
        self.history.take_read('ROW new')
        self.assertEqual(self.history.findings, [])

    def test_stale_read_is_found(self) -> None:
        """An older write must not be seen again."""
        self.history.take_read('ROW old')
        self.assertEqual(len(self.history.findings), 1)

    def test_lost_write_is_found(self) -> None:
        """An acknowledged write must not be missing."""
        self.history.take_read('ROW nothing')
        self.assertEqual(len(self.history.findings), 1)

    def test_write_in_doubt_may_be_seen(self) -> None:
        """Or not, until another is acknowledged."""
        self.history.take_write('3', 'doubt', 'ERROR INDOUBT x')
        self.history.take_read('ROW doubt')
        self.history.take_read('ROW new')
        self.assertEqual(self.history.findings, [])
        self.history.take_write('4', 'last', 'COMPLETE s')
        self.history.take_read('ROW doubt')
        self.assertEqual(len(self.history.findings), 1)

    def test_refused_write_must_not_be_seen(self) -> None:
        """Nor may a target have run it."""
        self.history.take_write('3', 'refused', 'ERROR BUSY x')
        self.history.take_read('ROW refused')
        self.assertEqual(len(self.history.findings), 1)
        runs = [('3', 'blue', 'WRITE item refused')]
        self.assertEqual(len(check_runs(runs, self.history.refused)), 1)

    def test_new_session_of_own_writes_may_see_older_ones(self) -> None:
        """Until it has written itself."""
        self.history.take_session()
        self.history.take_read('ROW old')
        self.assertEqual(self.history.findings, [])
        self.history.take_write('3', 'own', 'COMPLETE s')
        self.history.take_read('ROW new')
        self.assertEqual(len(self.history.findings), 1)

    def test_write_that_ran_twice_is_found(self) -> None:
        """Reads may run again."""
        runs = [('1', 'blue', 'WRITE item x'), ('2', 'blue', 'READ item')] * 2
        self.assertEqual(check_runs(runs, set()), ['write 1 ran twice'])


class FaultsTest(unittest.TestCase):
    """Faults of a seed."""

    def test_seed_gives_the_same_faults(self) -> None:
        """And another seed others."""
        self.assertEqual(draw_faults(7, 20, 3), draw_faults(7, 20, 3))
        self.assertNotEqual(draw_faults(7, 20, 3), draw_faults(8, 20, 3))


if __name__ == '__main__':
    unittest.main()
