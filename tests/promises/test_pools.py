"""Idle transactions don't hold up the other callers of a daemon."""

import unittest

from tests.promises.support import SharedPromiseCase


class PoolTest(SharedPromiseCase):
    """More open transactions than the daemon's share of connections."""

    has_proxy = False
    shape = SharedPromiseCase.shape._replace(connections=12)

    def test_open_transactions_leave_room(self) -> None:
        """Four open transactions at one daemon; a fifth caller is served."""
        idle = [self.connect(autocommit=False) for _ in range(4)]
        for caller in idle:
            caller.execute('SELECT 1')
        writer = self.connect()
        writer.execute("INSERT INTO receipts VALUES ('room', 1)")
        for caller in idle:
            caller.rollback()
        found = writer.execute("SELECT permit FROM receipts WHERE id = 'room'")
        self.assertEqual(found.fetchall(), [(1,)])


if __name__ == '__main__':
    unittest.main()
