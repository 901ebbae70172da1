"""Write the records of members, with a store that may fail."""

import asyncio
from unittest import mock

import testtools

from topazring.plumbing import events
from topazring.pooler import member_records
from topazring.pooler.tests import fleet
from topazring.pooler.tests import test_promotion_lease

KEY = member_records.KEY_PREFIX + 's'
TWO = frozenset({('u1', 5), ('u2', 0)})
THREE = TWO | {('u3', 0)}


class MemberRecordsTest(testtools.TestCase):
    """One proxy writes the record of group `s`."""

    def play(self, steps):
        """Run `steps()` with a writer that holds the promotion lease."""
        asyncio.run(self._play(steps))

    async def _play(self, steps):
        self.directory = test_promotion_lease.Directory()
        self.store = test_promotion_lease.Store(self.directory)
        self.holds = True
        self.log = events.EventLog('p1')
        self.records = member_records.MemberRecords(
            self.store, self.directory, self.log, lambda: self.holds
        )
        self.records.start()
        with mock.patch.object(member_records, 'RETRY_S', 0.02):
            await steps()
        self.records.close()

    async def written(self, members) -> None:
        """Wait until a record is written."""
        self.records.write('s', members)
        await fleet.until(lambda: not self.records.pending, 2.0)
        self.assertEqual(members, self.records.read('s'))

    def test_one_call_per_change(self):
        """Guards against store calls without a change."""

        async def steps():
            await self.written(TWO)
            await self.written(TWO)
            self.assertEqual(['put'], self.store.calls)
            await self.written(THREE)
            self.assertEqual(['put', 'put'], self.store.calls)
            self.assertTrue(self.records.is_own('s'))

        self.play(steps)

    def test_store_away(self):
        """Guards against a change that is lost, and calls without hope."""

        async def steps():
            self.directory.unavailable_since_ms = 1
            self.records.write('s', TWO)
            await asyncio.sleep(0.1)
            self.assertEqual([], self.store.calls)
            self.directory.unavailable_since_ms = None
            await fleet.until(lambda: not self.records.pending, 2.0)
            self.assertEqual(TWO, self.records.read('s'))

        self.play(steps)

    def test_long_service_name(self):
        """Guards against writes that the store refuses, twice a second.

        All proxies share the store's limit on calls.
        """
        longest = 200 - len(member_records.KEY_PREFIX)
        name = 's' * (longest + 1)

        async def steps():
            for service in (name, '\u20ac' * (longest // 3 + 1), name):
                self.records.write(service, TWO)
            await asyncio.sleep(0.1)
            self.assertEqual([], self.store.calls)
            self.assertEqual({}, self.records.pending)
            counter = 'member_record_unwritable'
            self.assertEqual(2, self.log.counters[counter])
            self.records.write('s' * longest, TWO)
            await fleet.until(lambda: not self.records.pending, 2.0)
            self.assertEqual(TWO, self.records.read('s' * longest))

        self.play(steps)

    def test_lost_answer(self):
        """Guards against writing again what took effect."""

        async def steps():
            self.store.drops_answer = True
            await self.written(TWO)
            self.assertEqual(['put'], self.store.calls)

        self.play(steps)

    def test_conflict(self):
        """Guards against replacing a record that was not read."""

        async def steps():
            real = self.directory.own_value
            self.directory.own_value = lambda key: None
            await self.store_value('{"members":[["u4",0]]}')
            self.store.directory = mock.Mock(own_value=real)
            self.records.write('s', TWO)
            await asyncio.sleep(0.1)
            self.assertEqual('{"members":[["u4",0]]}', real(KEY).value)
            self.assertEqual(TWO, self.records.pending['s'])

        self.play(steps)

    async def store_value(self, text: str) -> None:
        """Have another proxy write a value."""
        self.directory.set(KEY, text)

    def test_lease_lost(self):
        """Guards against a record by an earlier holder."""

        async def steps():
            await self.store_value('{"members":[["u4",0]]}')
            self.holds = False
            self.records.write('s', TWO)
            await asyncio.sleep(0.1)
            self.assertEqual([], self.store.calls)
            self.assertEqual({}, self.records.pending)

        self.play(steps)

    def test_first_record_without_the_lease(self):
        """Guards against a group without a record until a lease is held."""

        async def steps():
            self.holds = False
            await self.written(TWO)
            self.records.write('s', THREE)
            await asyncio.sleep(0.1)
            self.assertEqual(['put'], self.store.calls)
            self.assertEqual(TWO, self.records.read('s'))

        self.play(steps)

    def test_own_record_before_it_is_read(self):
        """Guards against replacing an own record after the lease was lost."""

        async def steps():
            await self.written(TWO)
            self.holds = False
            self.directory.own_value = lambda key: None
            self.records.write('s', THREE)
            await asyncio.sleep(0.1)
            self.assertEqual(['put'], self.store.calls)

        self.play(steps)

    def test_malformed_record(self):
        """Guards against using a record that names too few members."""

        async def steps():
            with mock.patch.object(self.log, 'emit', autospec=True) as emit:
                for text in (
                    '',
                    '{}',
                    '{"members":[]}',
                    '{"members":["u1"]}',
                    '{"members":[["",0]]}',
                    '{"members":[["u1",-1]]}',
                    '{"members":[["u1",0],["u2"]]}',
                ):
                    await self.store_value(text)
                    self.assertIsNone(self.records.read('s'), text)
                self.assertEqual(7, emit.call_count)
                self.assertEqual('bad entry', emit.call_args.args[1])
            self.assertFalse(self.records.is_own('s'))
            await self.written(TWO)

        self.play(steps)

    def test_store_that_has_returned_from_an_older_copy(self):
        """Guards against trusting a record that was replaced since."""

        async def steps():
            await self.written(TWO)
            self.assertTrue(self.records.is_current('s'))
            copied = self.directory.own_value(KEY).value
            await self.written(THREE)
            self.directory.era = 1
            await self.store_value(copied)
            self.assertFalse(self.records.is_current('s'))
            self.assertFalse(self.records.is_own('s'))
            await self.written(THREE)
            self.assertTrue(self.records.is_current('s'))
            self.assertTrue(self.records.is_own('s'))

        self.play(steps)

    def test_same_members_in_a_new_era(self):
        """Guards against a record that nobody trusts any more."""

        async def steps():
            await self.written(TWO)
            self.directory.era = 1
            await self.written(TWO)
            self.assertTrue(self.records.is_current('s'))
            self.assertEqual(['put', 'put'], self.store.calls)

        self.play(steps)
