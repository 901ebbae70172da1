"""Decode entries, whoever wrote them."""

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
    """Decode an entry that differs from a good one; None drops a field."""
    entry = {**GOOD, **changes}
    entry = {name: value for name, value in entry.items() if value != 'none'}
    return records.decode(KEY, json.dumps(entry), 7)


class UpstreamRecordTest(testtools.TestCase):
    """An entry that is not wholly understood names no upstream.

    Symptom: a proxy stops learning, or sends requests to nowhere. Sequence:
    another program writes under the keys of the upstreams. Cause: taking
    whatever stands there for an upstream's own word.
    """

    def test_good_entry(self):
        """Each field has its place."""
        upstream = decode().upstream
        self.assertEqual('i-1', upstream.name)
        self.assertEqual(statements.Role.PRIMARY, upstream.role)
        self.assertEqual(1_700_000_000_000, upstream.born_ms)
        self.assertFalse(upstream.leaving)

    def test_foreign_entries(self):
        """Missing fields, other types, unknown words."""
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
        """New ones may come."""
        self.assertIsNotNone(decode(colour='blue', sequence='?'))

    @hypothesis.settings(derandomize=True, max_examples=300)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes(self, data):
        """Whatever stands there is a record or a ValueError.

        Symptom: no proxy learns anything any more. Sequence: an entry with
        bytes that are no text. Cause: an error in the reader of all entries.
        """
        value = base64.b64encode(data).decode()
        item = store._Item(KEY, 7, value)
        change = store._change(item)
        try:
            record = records.decode(change.key, change.value, 7)
        except ValueError:
            return
        self.assertIsInstance(record, listing.UpstreamRecord)
