"""Test the record of orders with a store that carries calls out late."""

import asyncio
from unittest import mock

from topazring.core import revisions
from topazring import key_value
from topazring.pooler import order_records
from topazring.pooler import process
from topazring.pooler.tests import test_order_records
from topazring.pooler.tests import test_promotion_lease

# A loop that writes more often than this does not wait for anything.
MAX_WRITES = 500


class LateStore(test_order_records.Store):
    """Fake store that carries a write out when told to."""

    def __init__(self, directory):
        super().__init__(directory)
        self.is_holding = False
        self.held = None
        # How long the caller waits for the answer to a held write.
        self.answer_s = 10.0

    async def put_all(self, values):
        """Write the values, or keep them and do not answer."""
        if not self.is_holding:
            return await super().put_all(values)
        self.is_holding = False
        self.held = values
        await asyncio.sleep(self.answer_s)
        return key_value.Unavailable('no answer')

    async def carry_out(self):
        """Carry out what was kept, if its condition still holds."""
        return await test_promotion_lease.Store.put_all(self, self.held)


class LateRecordsCase(test_order_records.RecordsCase):
    """Hold proxies that share a store that carries writes out late."""

    def play(self, steps):
        """Run `steps()` with a store that may be late."""
        with mock.patch.object(test_order_records, 'Store', LateStore):
            super().play(steps)

    async def next_holder(self):
        """Return the record of a proxy that acquires the lease next."""
        successor = self.add_holder('p2-a')
        return await self.acquire(successor)


class RemovalUnderWayTest(LateRecordsCase):
    """An order is sent again while the store removes it from the record."""

    def test_removal_is_on_its_way(self):
        """Guards against an order that the next lease holder does not know.

        Its sender is killed before it can write the record again.
        """

        async def steps():
            records = await self.acquire(self.holder)
            self.assertTrue(await records.record('s', 'u1'))
            self.store.is_holding = True
            records.keep_only('s', frozenset())
            await asyncio.sleep(0.02)
            self.assertIsNotNone(self.store.held)
            is_recorded = await records.record('s', 'u1')
            records.close()
            await asyncio.sleep(0)
            await self.store.carry_out()
            found = await self.next_holder()
            known = found.earlier.get('s', frozenset())
            self.assertEqual(is_recorded, 'u1' in known)

        self.play(steps)

    def test_removal_without_an_answer_is_done_late(self):
        """Guards against a record that an earlier removal takes back."""

        async def steps():
            records = await self.acquire(self.holder)
            self.assertTrue(await records.record('s', 'u1'))
            self.store.is_holding = True
            self.store.answer_s = 0.02
            records.keep_only('s', frozenset())
            await asyncio.sleep(0.06)
            is_recorded = await records.record('s', 'u1')
            records.close()
            await asyncio.sleep(0)
            await self.store.carry_out()
            found = await self.next_holder()
            known = found.earlier.get('s', frozenset())
            self.assertEqual(is_recorded, 'u1' in known)

        self.play(steps)


class SlowStoreTest(LateRecordsCase):
    """The store does what it is asked at once, and answers slowly."""

    ANSWER_S = 0.3
    # The core settles an order that was withheld, and tries it again after
    # promotion_end.RETRY_DELAY_MS and a tick.
    RETRY_S = 0.32
    TRIES = 4

    def test_recorded_order_is_in_the_store(self):
        """Guards against an order that is sent and is on record nowhere."""

        async def steps():
            records = await self.acquire(self.holder)
            await asyncio.sleep(0.02)
            get, put_all = self.store.get, self.store.put_all

            async def slow_get(key):
                answer = await get(key)
                await asyncio.sleep(self.ANSWER_S)
                return answer

            async def slow_put(values):
                answer = await put_all(values)
                await asyncio.sleep(self.ANSWER_S)
                return answer

            self.store.get, self.store.put_all = slow_get, slow_put
            # As after any write without an answer.
            records.revision = None
            missing = []
            for _ in range(self.TRIES):
                if await records.record('s', 'u1'):
                    missing.append('s' not in self.recorded())
                records.keep_only('s', frozenset())
                await asyncio.sleep(self.RETRY_S)
            self.assertNotIn(True, missing)

        self.play(steps)


class EndlessLoopTest(LateRecordsCase):
    """What is to be recorded is not wanted any more."""

    def count_writes(self, records):
        """Fail once the record is written without any wait."""
        write = records._write
        calls = []

        async def counted():
            calls.append(1)
            if len(calls) > MAX_WRITES:
                raise AssertionError('the loop never waits: it hangs')
            return await write()

        records._write = counted

    def test_order_is_settled_while_it_is_recorded(self):
        """Guards against a process that hangs: its event loop never runs."""

        async def steps():
            records = await self.acquire(self.holder)
            await asyncio.sleep(0.02)
            self.count_writes(records)
            self.store.is_unavailable = True
            recording = asyncio.create_task(records.record('s', 'u1'))
            await asyncio.sleep(0.02)
            records.keep_only('s', frozenset())
            self.store.is_unavailable = False
            self.assertFalse(await recording)

        self.play(steps)

    def test_lease_is_lost_and_gained_while_an_order_is_recorded(self):
        """Guards against a process that hangs after a slow write."""

        async def steps():
            records = await self.acquire(self.holder)
            await asyncio.sleep(0.02)
            self.count_writes(records)
            self.store.is_holding = True
            self.store.answer_s = 0.2
            recording = asyncio.create_task(records.record('s', 'u1'))
            await asyncio.sleep(0.02)
            self.holder.give_up('the lease has ended')
            await self.acquire(self.holder)
            self.assertFalse(await recording)

        self.play(steps)


class ForgottenOrderTest(LateRecordsCase):
    """Orders that are outstanding and on record nowhere."""

    def test_group_is_dropped_and_made_again(self):
        """Guards against a group that forgets the orders of the one before."""

        async def steps():
            records = await self.acquire(self.holder)
            self.assertTrue(await records.record('s', 'u1'))
            pooler = mock.Mock()
            pooler.groups = {}
            pooler.order_records = records
            pooler.holds, pooler.token = True, records.token
            process.Pooler._drop_group(pooler, 's')
            seen = process.Pooler._lease_seen(pooler, 's')
            self.assertIn('u1', seen.ordered)

        self.play(steps)

    def test_store_returned_from_a_copy_without_any_block(self):
        """Guards against trusting an empty store of a later era."""
        least_token = 1_000_000_000
        is_complete = order_records._is_complete(None, None, least_token)
        self.assertFalse(is_complete)

    def test_group_is_made_long_after_the_lease_was_gained(self):
        """Guards against a new group that waits for orders of long ago."""

        async def steps():
            block = revisions.Change('b', 1, '20000')
            records = self.holder.records
            records.claim(30000, block, 0)
            records.begin(30000)
            await asyncio.sleep(test_order_records.LATE_ORDER_MS / 1000 + 0.1)
            pooler = mock.Mock()
            pooler.order_records = records
            pooler.holds, pooler.token = True, records.token
            seen = process.Pooler._lease_seen(pooler, 's')
            self.assertFalse(seen.is_any_ordered)

        self.play(steps)
