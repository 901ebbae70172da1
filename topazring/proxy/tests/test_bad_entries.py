"""Values that cannot be read stop no part of a proxy."""

import asyncio
import collections
import contextlib
import io
import json
import types
from unittest import mock

import testtools

from topazring.admin import changes
from topazring.admin import main as admin
from topazring import catalogue
from topazring.core import revisions
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
