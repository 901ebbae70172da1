"""Test the decoding of store entries, valid or not."""

import base64
import json

import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from topazring.core import groups
from topazring.core.synchronous import group
from topazring.core.synchronous import listing
from topazring.core.synchronous import messages
from topazring.core.synchronous import ownership
from topazring.core.synchronous.scheduling import load_report
from topazring.core.synchronous import state as states
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
        """Slots are those that an entry states, unknown if it has none."""
        self.assertEqual(5, decode(capacity=5).upstream.slots)
        self.assertEqual(0, decode(capacity='none').upstream.slots)

    def test_invalid_entries(self):
        """Missing fields, wrong types and unknown values raise ValueError.

        The platform's page says of entries with such fields that they name
        no upstream.
        """
        for changes in (
            {'service': 'none'},
            {'address': 'none'},
            {'zone': 'none'},
            # Would be a replica that never answers, without which no primary
            # is replaced.
            {'state': 'none'},
            {'db-role': 'none'},
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
            {'capacity': 'five'},
            {'capacity': True},
            {'capacity': 2.5},
            {'capacity': None},
            {'sequence': '?'},
            {'sequence': None},
            # A name that has to be looked up, which blocks the process.
            {'address': 'calc-1.example:5000'},
        ):
            self.assertRaises(ValueError, decode, **changes)

    def test_other_fields_are_ignored(self):
        """Unknown fields may be added later."""
        self.assertIsNotNone(decode(colour='blue', version=7))

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

    def test_values_out_of_range(self):
        """Guards against numbers that overflow where they are used."""
        for number in (-1, 2**53 + 1, 10**400):
            for field in ('capacity', 'sequence', 'born'):
                self.assertRaises(ValueError, decode, **{field: number})

    def test_names(self):
        """Guards against a name that ends the line it is sent in."""
        for name in ('', 'a b', 'a\r\nQUERY 1 WRITE k v', 'a\0', '\u2028'):
            value = json.dumps(GOOD)
            self.assertRaises(
                ValueError, records.decode, f'servers/{name}', value, 7
            )
        self.assertRaises(ValueError, decode, service='')


class ConfigurationTest(testtools.TestCase):
    """A configuration that is out of range is not used."""

    def decode(self, **changes) -> listing.Configuration:
        """Decode a valid configuration with changes of its route."""
        route = {'host': 'd', 'service': 's', 'type': 'primary', **changes}
        value = {
            'version': 3,
            'routes': [route],
            'services': [{'name': 's', 'max-conns': 23}],
        }
        return records.decode('op/config', json.dumps(value), 7)

    def test_values_out_of_range(self):
        """Guards against numbers that overflow where they are used."""
        self.assertIsNotNone(self.decode(priority=0).policies['d'])
        for field in (
            'timeout-ms',
            'latency-goal-ms',
            'priority',
            'max-staleness-ms',
        ):
            for number in (-1, 10**400):
                self.assertRaises(ValueError, self.decode, **{field: number})


# Sorts of numbers and texts that break careless code.
numbers = strategies.one_of(
    strategies.integers(0, 2**53),
    strategies.sampled_from([0, 1, 2, 10_000, 2**31, 2**53]),
)


class RangeTest(testtools.TestCase):
    """What is decoded can be used."""

    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    @hypothesis.given(
        strategies.fixed_dictionaries(
            {},
            optional={
                'capacity': numbers,
                'sequence': numbers,
                'born': numbers,
                'zone': strategies.text(max_size=9),
                'state': strategies.sampled_from(['ready', 'draining']),
                'db-role': strategies.sampled_from(['primary', 'replica']),
            },
        ),
        strategies.integers(0, 9),
        numbers,
    )
    def test_group_beside_any_entry(self, changes, owners, connections):
        """Guards against an entry whose use ends all proxies."""
        try:
            found = decode(**changes).upstream
        except ValueError:
            return
        good = records.decode('servers/i-2', json.dumps(GOOD), 8).upstream
        state = states.make_group('calc', 'here', states.Limits())
        step = groups.group_kind(group.SYNCHRONOUS).step
        for message in (
            messages.InstancesSeen(owners, connections),
            messages.PromotionLeaseSeen(True, 10),
            messages.UpstreamsSeen((found, good)),
            messages.InstancesSeen(owners + 1, connections),
        ):
            step(state, 1_000, message)
        for now_ms in range(1_000, 9_000, 100):
            for out in step(state, now_ms, messages.Tick()):
                if isinstance(out, messages.RecordMembers):
                    msgspec.json.encode(sorted(out.members))
        msgspec.json.encode(load_report.describe(state, 9_000))
        owned = ownership.select_owners(
            'calc',
            [ownership.Proxy(f'p{n}', 'here') for n in range(owners + 1)],
            connections,
            ownership.slots_of([found, good]),
        )
        self.assertNotEqual((), owned.owners)
