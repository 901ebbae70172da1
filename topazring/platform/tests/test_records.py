"""Test the decoding of store entries, valid or not."""

import base64
import json

import hypothesis
from hypothesis import strategies
import testtools

from topazring.core.synchronous import listing
from topazring.core.synchronous import statements
from topazring.platform import records
from topazring.platform import store

KEY = 'servers/i-1'
GOOD = {
    'service': 'calc',
    'address': '10.0.0.1:5000',
    'zone': 'here',
    'state': 'ready',
    'db-role': 'primary',
    'born': 1_700_000_000_000,
}


def decode(**changes) -> listing.Record | None:
    """Decode a valid entry with changes; 'none' removes a field."""
    entry = {**GOOD, **changes}
    entry = {name: value for name, value in entry.items() if value != 'none'}
    return records.decode(KEY, json.dumps(entry), 7)


class UpstreamRecordTest(testtools.TestCase):
    """An entry that cannot be decoded completely is not an upstream.

    Guards against using entries that another program writes under the
    upstreams' keys: the proxy stopped following the store, or sent requests
    to an invalid address.
    """

    def test_good_entry(self):
        """Each field of a valid entry is decoded."""
        upstream = decode().upstream
        self.assertEqual('i-1', upstream.name)
        self.assertEqual(statements.Role.PRIMARY, upstream.role)
        self.assertEqual(1_700_000_000_000, upstream.born_ms)
        self.assertFalse(upstream.leaving)

    def test_slots(self):
        """Slots are those that an entry states, unknown otherwise."""
        self.assertEqual(5, decode(capacity=5).upstream.slots)
        for capacity in ('none', 'five', -1, True, 2.5, None):
            self.assertEqual(0, decode(capacity=capacity).upstream.slots)

    def test_invalid_entries(self):
        """Missing fields, wrong types and unknown values raise ValueError."""
        for changes in (
            {'service': 'none'},
            {'address': 'none'},
            {'service': 7},
            {'address': ['10.0.0.1', 5000]},
            {'address': '10.0.0.1'},
            {'address': '10.0.0.1:port'},
            {'address': ':5000'},
            {'address': '10.0.0.1:70000'},
            {'state': 'asleep'},
            {'state': None},
            {'db-role': 'king'},
            {'db-role': 3},
            {'born': 'yesterday'},
            {'born': 1.5},
        ):
            self.assertRaises(ValueError, decode, **changes)

    def test_other_fields_are_ignored(self):
        """Unknown fields may be added later."""
        self.assertIsNotNone(decode(colour='blue', sequence='?'))

    @hypothesis.settings(derandomize=True, max_examples=300)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_arbitrary_bytes(self, data):
        """Any value is decoded to a record or raises ValueError.

        Guards against another exception, for example for bytes that are not
        text, that ends the reading of all entries, after which no proxy
        receives any change.
        """
        value = base64.b64encode(data).decode()
        item = store._Item(KEY, 7, value)
        change = store._change(0, item)
        try:
            record = records.decode(change.key, change.value, 7)
        except ValueError:
            return
        self.assertIsInstance(record, listing.UpstreamRecord)
