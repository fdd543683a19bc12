"""The newest plan when the store returns from an older copy."""

import unittest

from comfreystair.controllers.store_position import StorePosition
from comfreystair.coordination.plan_cache import PlanCache
from comfreystair.coordination.records import InstanceRecord, StoredValue
from comfreystair.coordination.state import FleetState
from comfreystair.manifest.serving import (
    Client,
    Consistency,
    ServingRoute,
    build_plan,
)
from tests.coordination.fakes import FakeLog

NEVER = float('-inf')


def store(version: int, era: int, revision: int) -> StoredValue:
    """Return a version of the plan at a position."""
    return StoredValue(str(version).encode(), StorePosition(era, revision))


class PlanCacheTest(unittest.TestCase):
    """One instance that knows a version of the store's first era."""

    def setUp(self) -> None:
        """Put version 11 in force, which was at revision 41."""
        self.state = FleetState(InstanceRecord('a', 'z', 'a:1', 'a'))
        self.plans = PlanCache(
            self.state,
            lambda item: build_plan(int(item.blob), (), (), {}, 3),
            FakeLog(),
        )
        self.plans.update(store(11, 1, 41), 100, 'store')

    # Guards against: a misspelt region rejects requests and nothing says why.
    def test_unknown_regions_are_logged(self) -> None:
        """One event for each list, once when the plan takes effect."""
        route = ServingRoute(
            'd',
            'g',
            Consistency.primary,
            0,
            1,
            1,
            1,
            False,
            frozenset(('sru',)),
        )
        clients = [
            Client(name, (), 1, 1, frozenset(regions))
            for name, regions in (
                ('a', ('sur',)),
                ('b', ('sur', 'x')),
                ('c', ()),
            )
        ]
        log = FakeLog()
        self.state.zone_regions = {'sur-a': 'sur'}
        plans = PlanCache(
            self.state,
            lambda _item: build_plan(12, [route], clients, {}, 3),
            log,
        )
        for revision in (42, 43):
            plans.update(store(12, 1, revision), 200, 'store')
        self.assertEqual(log.events.count('regions_unknown'), 2)

    # Guards against: the operators' newest version is never confirmed again,
    # because it has a lower revision in the restored store.
    def test_known_version_is_proved_at_lower_revision(self) -> None:
        """The same version is the newest, wherever it stands."""
        self.plans.update(store(11, 2, 40), 200, 'store')
        self.assertEqual(self.state.plan_proved_at, 200)
        self.assertEqual(self.plans.position, StorePosition(2, 40))

    # Guards against: a version is never in force, because another one had its
    # revision until the store was restored.
    def test_new_version_at_reused_revision_is_in_force(self) -> None:
        """Its version is higher, at the revision of the known one."""
        self.plans.update(store(14, 2, 41), 200, 'store')
        self.assertEqual(self.plans.version, 14)

    # Guards against: routes and keys that were withdrawn are in use again,
    # because the restored store holds an older version.
    def test_older_version_neither_replaces_nor_proves(self) -> None:
        """The known version was acknowledged and will be stored again."""
        self.plans.update(store(8, 2, 50), 200, 'store')
        self.assertEqual(self.plans.version, 11)
        self.assertEqual(self.state.plan_proved_at, 100)

    def test_copy_from_earlier_era_keeps_the_later_position(self) -> None:
        """A peer that has not seen the return may hand on its copy."""
        self.plans.update(store(11, 2, 40), 200, 'store')
        self.plans.update(store(11, 1, 41), NEVER, 'peer')
        self.assertEqual(self.plans.position, StorePosition(2, 40))


if __name__ == '__main__':
    unittest.main()
