"""Values that cannot be read stop no part of a proxy."""

import asyncio
import collections
import contextlib
import io
import json
import types
from unittest import mock

import msgspec
import testtools

from topazring.admin import changes
from topazring.admin import main as admin
from topazring import catalogue
from topazring.core import revisions
from topazring import instances
from topazring import key_value
from topazring import platform_client
from topazring.plumbing import logs
from topazring.proxy import cluster_state
from topazring.proxy import gossip
from topazring.proxy import owner_task

# Deeper than a decoder follows.
NESTED = '{"a":' * 200_000 + '0' + '}' * 200_000
BAD_VALUES = (NESTED, '[]', '7', 'null', '', '{"kind": "proxy"}')
PROFILE = '{"max_staleness_ms": 7}'
PROXY = {
    'kind': 'proxy',
    'name': 'p2',
    'incarnation': 'p2-1',
    'host': '127.0.0.1',
    'region': 'r',
    'data_centre': 'd',
    'hop_port': 1,
    'gossip_port': 2,
    'operator_port': 3,
    'state': 'live',
}
PORT_FIELDS = ('hop_port', 'gossip_port', 'operator_port')
# As JSON; each is no port.
BAD_PORTS = (
    *('0', '65536', '99999', '-1', '""', '"1"', 'null', '1.5', '[1]'),
    *('1e999', '-1e999', str(2**53 + 1), str(2**63), str(2**64)),
    *('9' * 400, '9' * 5000, '-' + '9' * 5000, '\u0663', '[' * 1_040_000),
    *('[' * depth + ']' * depth for depth in (1200, 100_000)),
)
# No number of changes.
BAD_REVISIONS = (
    *('-1', '1.5', '1e999', '-1e999', str(2**63), str(2**64), '""'),
    *('9' * 400, '9' * 5000, '-' + '9' * 400),
)


def instance_with(field: str, raw: str) -> str:
    """Return an instance with a field that holds any JSON."""
    fields = {name: json.dumps(PROXY[name]) for name in PROXY}
    fields[field] = raw
    inner = ', '.join(f'"{name}": {fields[name]}' for name in fields)
    return f'{{{inner}}}'


class Platform:
    """Return the same changes until all of them have been seen."""

    def __init__(self, changes: list[revisions.Change]):
        self.newest = changes

    async def changes(self, prefix, since, wait_ms):
        """Return the later changes."""
        await asyncio.sleep(0.01)
        later = [c for c in self.newest if c.revision > since]
        return key_value.Changes(since, self.newest[-1].revision, later)

    async def instances(self, since, wait_ms):
        """Return no instance."""
        await asyncio.Event().wait()

    async def announce(self, name, instance):
        """List the instance."""
        return True


class AnswerTest(testtools.TestCase):
    """Answers that cannot be read count as none."""

    def test_unreadable_page(self):
        """Guards against an answer that ends what follows the service."""

        async def run():
            client = platform_client.PlatformClient('127.0.0.1', 9, 'p1')
            for body in (b'', b'x', b'[]', NESTED.encode()):
                client._call = mock.AsyncMock(
                    return_value=mock.Mock(body=body)
                )
                found = await client.changes('configuration/', 0)
                self.assertIsInstance(found, key_value.Unavailable)
            client.close()
            return client.calls['unreadable']

        self.assertEqual(4, asyncio.run(run()))

    def test_revisions_out_of_range(self):
        """Guards against a revision that no proxy can pass on."""
        change = '{"key": "k", "value": "v", "revision": %s}'
        pages = [
            body
            for raw in BAD_REVISIONS
            for body in (
                f'{{"revision": {raw}, "changes": []}}',
                f'{{"revision": 7, "changes": [{change % raw}]}}',
            )
        ]

        async def run():
            client = platform_client.PlatformClient('127.0.0.1', 9, 'p1')
            for body in pages:
                client._call = mock.AsyncMock(
                    return_value=mock.Mock(body=body.encode())
                )
                found = await client.changes('configuration/', 0)
                self.assertIsInstance(found, key_value.Unavailable)
            self.assertEqual(len(pages), client.calls['unreadable'])
            for headers in ({}, *({'ETag': f'"{r}"'} for r in BAD_REVISIONS)):
                client._call = mock.AsyncMock(
                    return_value=mock.Mock(
                        body=b'\xff', code=200, headers=headers
                    )
                )
                for found in (
                    await client.get('k'),
                    await client.put('k', 'v', None),
                    await client.delete('k', 7),
                ):
                    self.assertIsInstance(found, key_value.Unavailable)
            client.close()

        asyncio.run(run())

    def test_gossip_out_of_range(self):
        """Guards against gossip about a revision that nobody can pass on."""
        failures = logs.FailureLog()
        received = []
        receiver = gossip.Gossip('unused', received.append, failures)
        raws = []
        for number in (-1, 2**63, 2**64 - 1):
            row = {'key': 'k', 'revision': number, 'value': 'v'}
            raws += [
                msgspec.msgpack.encode(each)
                for each in (
                    ['d', 'p', 'tcp://a:1', {'instances': number}],
                    ['e', 'p', 'instances', number, 7, []],
                    ['e', 'p', 'instances', 0, number, []],
                    ['e', 'p', 'instances', 0, 7, [row]],
                )
            ]

        async def receive():
            receiver.listener = mock.Mock()
            receiver.listener.arecv = mock.AsyncMock(
                side_effect=[*raws, asyncio.CancelledError]
            )
            await receiver._receive_forever()

        self.assertRaises(asyncio.CancelledError, asyncio.run, receive())
        self.assertEqual([], received)
        counted = failures.counters['task_failed_gossip_decoder']
        self.assertEqual(len(raws), counted)

    def test_unreadable_record(self):
        """Guards against a damaged record of grants that ends processes."""

        async def run():
            owner = mock.Mock()
            owner.state.counters = collections.Counter()
            for value in BAD_VALUES:
                owner.platform.get = mock.AsyncMock(
                    return_value=key_value.Found(value, 7)
                )
                found = await owner_task.OwnerTask._read_record(owner)
                self.assertIsNone(found)
            return owner.state.counters['bad_entry']

        self.assertEqual(len(BAD_VALUES), asyncio.run(run()))

    def test_unreadable_message(self):
        """Guards against gossip that ends at one message or address."""
        failures = logs.FailureLog()
        receiver = gossip.Gossip('unused', lambda message: None, failures)
        receiver.send('nowhere', gossip.Leaving('p', 'p-1'))
        self.assertEqual({}, dict(receiver.links))
        self.assertEqual(1, failures.counters['task_failed_gossip_link'])

        async def receive():
            receiver.listener = mock.Mock()
            receiver.listener.arecv = mock.AsyncMock(
                side_effect=[b'x', b'\x91' * 3000, asyncio.CancelledError]
            )
            await receiver._receive_forever()

        self.assertRaises(asyncio.CancelledError, asyncio.run, receive())
        self.assertEqual(2, failures.counters['task_failed_gossip_decoder'])


class OperatorTest(testtools.TestCase):
    """An operator's commands show what can be read."""

    def test_instances(self):
        """Guards against commands that end at one unreadable instance."""
        good = revisions.Change('p2', 9, json.dumps(PROXY))
        bad = [revisions.Change('b', 1, value) for value in BAD_VALUES]
        platform = mock.Mock()
        platform.all_instances = mock.AsyncMock(
            return_value=key_value.Changes(0, 9, [*bad, good])
        )
        with contextlib.redirect_stderr(io.StringIO()) as errors:
            found = asyncio.run(admin.list_proxies(platform))
        self.assertEqual(['p2'], [proxy['name'] for proxy in found])
        self.assertIn('unreadable instance: b', errors.getvalue())

    def test_instances_with_odd_fields(self):
        """Guards against commands that end at one odd number."""
        changes = [revisions.Change('p2', 9, json.dumps(PROXY))]
        for raw in BAD_PORTS:
            for field in (*PORT_FIELDS, 'unknown', 'health_port'):
                value = instance_with(field, raw)
                changes.append(revisions.Change(f'b{field}', 9, value))
        expected = 0
        for change in changes:
            with contextlib.suppress(Exception):
                expected += bool(instances.decode(change.value))
        platform = mock.Mock()
        platform.all_instances = mock.AsyncMock(
            return_value=key_value.Changes(0, 9, changes)
        )
        with contextlib.redirect_stderr(io.StringIO()):
            found = asyncio.run(admin.list_proxies(platform))
        self.assertEqual(expected, len(found))

    def test_value_is_replaced(self):
        """Guards against a damaged value that nobody can replace."""
        for value in (NESTED, '[]', '7', ''):
            platform = mock.Mock()
            platform.get = mock.AsyncMock(
                return_value=key_value.Found(value, 7)
            )
            stored = asyncio.run(
                changes.read_value(platform, 'profile', 'bad')
            )
            self.assertEqual(changes.Stored(None, 7, ''), stored)


class CatalogueTest(testtools.TestCase):
    """The values that follow a bad one are applied."""

    def test_odd_numbers(self):
        """A number out of range leaves the value before it in force."""
        key = 'configuration/profile/p'
        for raw in BAD_REVISIONS:
            found = catalogue.Catalogue()
            odd = f'{{"max_staleness_ms": {raw}}}'
            faults = catalogue.apply_changes(
                found,
                [
                    revisions.Change(key, 1, PROFILE),
                    revisions.Change(key, 2, odd),
                ],
            )
            self.assertEqual(1, len(faults), raw[:20])
            self.assertEqual(7, found.profiles['p'].max_staleness_ms)

    def test_bad_values(self):
        """Guards against a configuration that is never in force."""
        keys = ('configuration/profile/bad', 'configuration/bad')
        for value in BAD_VALUES[:-1]:
            for key in keys:
                found = catalogue.Catalogue()
                faults = catalogue.apply_changes(
                    found,
                    [
                        revisions.Change(key, 1, value),
                        revisions.Change(
                            'configuration/profile/good', 2, PROFILE
                        ),
                    ],
                )
                self.assertEqual(1, len(faults))
                self.assertEqual(7, found.profiles['good'].max_staleness_ms)


class ClusterStateTest(testtools.TestCase):
    """The cluster state goes on after a bad value, and after an error."""

    def make(
        self, changes: list[revisions.Change]
    ) -> cluster_state.ClusterState:
        """Return the state of a proxy whose gossip goes nowhere."""
        config = types.SimpleNamespace(
            name='p1', host='127.0.0.1', gossip_port=1, region='r', seeds=()
        )
        self.failures = logs.FailureLog()
        self.reported: list[set[str]] = []
        return cluster_state.ClusterState(
            config,
            'p1-1',
            Platform(changes),
            self.reported.append,
            lambda message: None,
            self.failures,
        )

    def test_bad_instances(self):
        """Guards against a list of instances that is never followed again."""
        bad_port = json.dumps({**PROXY, 'hop_port': 70_000})
        for value in (*BAD_VALUES, bad_port):
            state = self.make([])
            state.gossip.send = mock.Mock()
            state._merge(
                cluster_state.INSTANCES,
                0,
                2,
                [
                    revisions.Change('bad', 1, value),
                    revisions.Change('p2', 2, json.dumps(PROXY)),
                ],
            )
            self.assertEqual(['p2'], list(state.listed))

    def test_odd_fields_of_instances(self):
        """Guards against a list that is not followed past one odd number."""
        bad = [
            instance_with(field, raw)
            for raw in BAD_PORTS
            for field in PORT_FIELDS
        ]
        state = self.make([])
        state.gossip.send = mock.Mock()
        good = json.dumps(PROXY)
        revision = 0
        for value in bad:
            for key, each in (('p3', good), ('p3', value), ('p2', good)):
                state._merge(
                    cluster_state.INSTANCES,
                    revision,
                    revision + 1,
                    [revisions.Change(key, revision + 1, each)],
                )
                revision += 1
            self.assertEqual(['p2'], list(state.listed))
        self.assertEqual(
            len(bad), self.failures.counters[cluster_state.BAD_ENTRY]
        )

    def test_odd_instance_among_many(self):
        """Guards against a page that is lost for one of its instances."""
        good = [f'p{number}' for number in range(200)]
        names = [*good]
        for place in (0, 100, 202):
            names.insert(place, f'odd{place}')
        for raw in BAD_PORTS:
            state = self.make([])
            state.gossip.send = mock.Mock()
            odd = instance_with('gossip_port', raw)
            page = [
                revisions.Change(
                    name,
                    number,
                    odd
                    if name.startswith('odd')
                    else json.dumps({**PROXY, 'name': name}),
                )
                for number, name in enumerate(names, start=1)
            ]
            state._merge(cluster_state.INSTANCES, 0, len(page), page)
            self.assertEqual(set(good), set(state.listed))
            self.assertEqual(
                3, self.failures.counters[cluster_state.BAD_ENTRY]
            )

    def test_error_that_nobody_foresaw(self):
        """Guards against a change that is read and never in force."""

        async def run():
            key = 'configuration/database/d'
            state = self.make([revisions.Change(key, 1, '{}')])
            state.on_change = mock.Mock(side_effect=OverflowError)
            with mock.patch.object(gossip.pynng, 'Pull0', mock.Mock()):
                with mock.patch.object(state.gossip, 'start', lambda: None):
                    await state.start()
            await self.until(state, lambda: state.on_change.called)
            state.on_change = self.reported.append
            await self.until(state, lambda: self.reported)
            for task in state.tasks:
                task.cancel()

        with mock.patch.object(cluster_state, 'GOSSIP_INTERVAL_S', 0.05):
            asyncio.run(run())
        self.assertEqual([{'d'}], self.reported)
        self.assertGreater(self.failures.counters['task_failed_listing'], 0)

    async def until(self, state, holds) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(3):
            while not holds():
                await asyncio.sleep(0.01)
