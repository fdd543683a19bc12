"""Incrementally updated ranks equal those of a full ranking."""

import random
import unittest

from comfreystair.controllers.membership import rank_by_rendezvous_hash
from comfreystair.controllers.rendezvous_ranks import RendezvousRanks


class RendezvousRanksTest(unittest.TestCase):
    """Ranks stay correct while daemons join and leave."""

    def test_ranks_equal_a_full_ranking(self) -> None:
        """The ranks are compared after each of 200 changes."""
        rng = random.Random(7)
        ranks = RendezvousRanks('own')
        subjects = [f'db{number}' for number in range(20)]
        names: set[str] = set()
        for _ in range(200):
            names ^= {f'd{rng.randrange(40)}'}
            ranks.set_members(names)
            for subject in subjects:
                ordered = rank_by_rendezvous_hash(subject, {*names, 'own'})
                self.assertEqual(ranks.find_rank(subject), ordered.index('own'))
        self.assertEqual(ranks.total, len(names) + 1)


if __name__ == '__main__':
    unittest.main()
