"""Ranks kept step by step are the ranks worked out anew."""

import random
import unittest

from comfreystair.controllers.membership import rank_members
from comfreystair.controllers.rendezvous_ranks import RendezvousRanks


class RankTest(unittest.TestCase):
    """Daemons come and go; the rank stays right."""

    def test_same_as_ranking_all(self) -> None:
        """After each of 200 changes the rank is that of a full ranking."""
        chooser = random.Random(7)
        ranks = RendezvousRanks('own')
        subjects = [f'db{number}' for number in range(20)]
        names: set[str] = set()
        for _ in range(200):
            names ^= {f'd{chooser.randrange(40)}'}
            ranks.set_members(names)
            for subject in subjects:
                ordered = rank_members(subject, {*names, 'own'})
                self.assertEqual(ranks.find_rank(subject), ordered.index('own'))
        self.assertEqual(ranks.total, len(names) + 1)


if __name__ == '__main__':
    unittest.main()
