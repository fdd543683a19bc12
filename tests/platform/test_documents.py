"""What other writers leave in the store, decoded."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from comfreystair.controllers.places.cold_targets import ColdStart
from comfreystair.controllers.store_position import StorePosition
from comfreystair.coordination.decoding import decode_items
from comfreystair.coordination.records import (
    StoredValue,
    decode_instance,
    decode_log_addresses,
    decode_primary_record,
)
from comfreystair.platform.documents import parse_plan, parse_target
from comfreystair.platform.exceptions import MalformedError
from comfreystair.pooling.targets import TargetEntry
from tests.platform.odd_entries import USABLE, list_odd_blobs

EXAMPLES = 3000
POSITION = StorePosition(1, 5)
ODD_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(['127.0.0.1:99999', 'ready', 'primary']),
    lambda inner: st.lists(inner, max_size=3),
    max_leaves=4,
)


def store(blob: bytes) -> StoredValue:
    """Return a blob as it was read."""
    return StoredValue(blob, POSITION)


class TargetTest(unittest.TestCase):
    """Entries among those of the targets."""

    def decode(self, blob: bytes) -> tuple[dict, dict]:
        """Decode an entry beside one that can be used."""
        usable = json.dumps(USABLE).encode()
        items = {'servers/odd': store(blob), 'servers/good': store(usable)}
        return decode_items(items, parse_target)

    def test_usable_entry(self) -> None:
        """All its fields are read."""
        values, left_out = self.decode(json.dumps(USABLE).encode())
        self.assertEqual(len(values), 2)
        self.assertFalse(left_out)
        entry = values['servers/good']
        self.assertEqual(
            entry,
            TargetEntry(
                'good', 'permits', '127.0.0.1:5000', 'lima-a', 4, 1, False,
                False, 1,
            ),
        )  # fmt: skip

    def test_time_for_which_it_stays_cold(self) -> None:
        """Guards against milliseconds taken for seconds."""
        blob = json.dumps({**USABLE, 'ColdLeftMs': 2500.5}).encode()
        values, _left_out = self.decode(blob)
        self.assertEqual(values['servers/odd'].cold_seconds, 2.5005)

    def test_odd_entries_are_left_out(self) -> None:
        """Guards against one entry that hides all others."""
        for blob in list_odd_blobs():
            with self.subTest(blob=blob[:80]):
                values, left_out = self.decode(blob)
                self.assertEqual(list(values), ['servers/good'])
                self.assertEqual(list(left_out), ['servers/odd'])

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(st.sampled_from(sorted(USABLE)), ODD_VALUES)
    def test_any_field_is_usable_or_left_out(self, field, odd) -> None:
        """What is decoded can be connected to and sent to others."""
        blob = json.dumps({**USABLE, field: odd}).encode()
        values, left_out = self.decode(blob)
        self.assertEqual(len(values) + len(left_out), 2)
        entry = values.get('servers/odd')
        if entry is not None:
            self.assertEqual(entry.address, USABLE['Addr'])
            self.assertGreater(entry.slots, 0)
            self.assertTrue(entry.group and entry.zone)

    def test_odd_keys_are_left_out(self) -> None:
        """Guards against an id that is read as several fields."""
        usable = store(json.dumps(USABLE).encode())
        for ident in ('', 'a b', 'a\r\nQUERY 1 READ b', 'x' * 201):
            items = {f'servers/{ident}': usable}
            self.assertFalse(decode_items(items, parse_target).values, ident)


class AllowedRegionsTest(unittest.TestCase):
    """The list ``AllowRegions`` of routes and organisations."""

    def parse(self, listed: dict) -> tuple[frozenset, frozenset]:
        """Return the regions of a route and of an organisation."""
        plan = {
            'Version': 1,
            'Routes': [{'Host': 'h', 'Service': 's', **listed}],
            'Services': [{'Name': 's'}],
            'Tenants': [{'Name': 't', 'ApiKeys': ['k'], **listed}],
        }
        parsed = parse_plan(store(json.dumps(plan).encode()))
        return (
            parsed.routes['h'].allowed_regions,
            parsed.clients['t'].allowed_regions,
        )

    def test_lists_are_read(self) -> None:
        """Guards against a list that is ignored."""
        regions = frozenset(('norte', 'sur'))
        listed = {'AllowRegions': ['norte', 'sur', 'norte']}
        self.assertEqual(self.parse(listed), (regions, regions))

    def test_missing_null_and_empty_allow_any_region(self) -> None:
        """Guards against requests that are rejected without a list."""
        for listed in ({}, {'AllowRegions': None}, {'AllowRegions': []}):
            self.assertEqual(self.parse(listed), (frozenset(), frozenset()))

    def test_other_values_refuse_the_plan(self) -> None:
        """Guards against a restriction that is lost by a wrong type."""
        for odd in ('norte', [1], {'norte': 1}):
            with self.assertRaises(MalformedError):
                self.parse({'AllowRegions': odd})


class PlanTest(unittest.TestCase):
    """The operators' plan."""

    def test_priorities_of_organisations(self) -> None:
        """Guards against numbers that no message between instances holds."""
        given = ({}, {'Prio': 0}, {'Prio': 2**40}, {'Prio': -1})
        tenants = [
            {'Name': f'org-{place}', 'ApiKeys': [f'key-{place}'], **fields}
            for place, fields in enumerate(given)
        ]
        document = {
            'Version': 1, 'Routes': [], 'Services': [], 'Tenants': tenants
        }  # fmt: skip
        plan = parse_plan(store(json.dumps(document).encode()))
        read = [plan.find_priority(f'key-{place}') for place in range(4)]
        self.assertEqual(read, [1, 0, 2**31 - 1, 0])
        self.assertEqual(plan.find_priority(''), 1)


class RecordTest(unittest.TestCase):
    """Records and the plan, which nobody else should write."""

    def setUp(self) -> None:
        """Keep what is left out from the output of the tests."""
        logger.disable('comfreystair')
        self.addCleanup(logger.enable, 'comfreystair')

    def test_odd_blobs_give_no_record(self) -> None:
        """Guards against an error that ends the task which reads them."""
        for blob in list_odd_blobs():
            with self.subTest(blob=blob[:80]):
                record = decode_primary_record(store(blob))
                self.assertTrue(record.is_changing)
                self.assertIsNone(decode_instance(store(blob)))
                self.assertEqual(decode_log_addresses(store(blob)), ())
                with self.assertRaises(MalformedError):
                    parse_plan(store(blob))

    def test_limits_of_cold_targets(self) -> None:
        """Guards against a limit where the operators name none."""
        services = [
            {'Name': 'a', 'ColdS': 30, 'ColdPerS': 4.5},
            {'Name': 'b', 'ColdS': 30},
            {'Name': 'c', 'ColdS': 30, 'ColdPerS': 0},
        ]
        document = {'Version': 1, 'Routes': [], 'Services': services}
        plan = parse_plan(store(json.dumps(document).encode()))
        self.assertEqual(plan.cold_starts, {'a': ColdStart(30, 4.5)})

    def test_instance_that_can_not_be_called(self) -> None:
        """Guards against an address that fails every call to all."""
        record = {'name': 'a', 'zone': 'z', 'incarnation': 'a-1'}
        for address in ('a', 'a:99999', 'a:-1', 'a:' + '1' * 5000):
            blob = json.dumps({**record, 'address': address}).encode()
            self.assertIsNone(decode_instance(store(blob)), address[:20])


if __name__ == '__main__':
    unittest.main()
