"""Record orders that may be carried out late, with a store that may fail."""

import asyncio
import json

import testtools

from topazring import key_value
from topazring.plumbing import events
from topazring.pooler import order_records
from topazring.pooler import promotion_lease as promotion_leases
from topazring.pooler.tests import test_promotion_lease

LATE_ORDER_MS = 400
BLOCK = promotion_leases.BLOCK_TOKENS


class Store(test_promotion_lease.Store):
    """Fake store that may leave writes unanswered, done or not."""

    def __init__(self, directory):
        super().__init__(directory)
        # What becomes of the next writes: 'done' or 'not done', unanswered.
        self.unanswered: list[str] = []

    async def put_all(self, values):
        """Write the values, or leave the write unanswered."""
        if self.is_unavailable:
            return key_value.Unavailable('away')
        if not self.unanswered:
            return await super().put_all(values)
        if self.unanswered.pop(0) == 'done':
            await super().put_all(values)
        return key_value.Unavailable('lost')


class RecordsCase(testtools.TestCase):
    """Hold the fakes of one store and of proxies that share it."""

    def play(self, steps):
        """Run `steps()` with a holder of the lease."""
        asyncio.run(self._play(steps))

    async def _play(self, steps):
        self.directory = test_promotion_lease.Directory()
        self.store = Store(self.directory)
        self.holders = []
        self.holder = self.add_holder('p1-a')
        await steps()
        for holder in self.holders:
            holder.records.close()
            await holder.close()

    def add_holder(self, name) -> promotion_leases.PromotionLease:
        """Return a proxy that may acquire the lease."""
        lease = None
        records = order_records.OrderRecords(
            self.store,
            self.directory,
            events.EventLog(name),
            LATE_ORDER_MS,
            lambda why: lease.give_up(why),
        )
        lease = promotion_leases.PromotionLease(
            name,
            self.store,
            self.directory,
            events.EventLog(name),
            lambda holds, token: None,
            records,
        )
        self.holders.append(lease)
        return lease

    async def acquire(self, lease) -> order_records.OrderRecords:
        """Have a proxy acquire the lease."""
        self.directory.set(promotion_leases.LEASE_KEY, None)
        lease.jitter_s = 0.0
        await lease._try_acquire()
        self.assertTrue(lease.holds)
        lease.records.start()
        return lease.records

    def recorded(self) -> dict:
        """Return what the store records, by service."""
        value = self.directory.own_value(order_records.KEY).value
        return json.loads(value).get('upstreams', {})


class OrderRecordsTest(RecordsCase):
    """An order is recorded before it is sent, and until it is settled."""

    def test_order_is_recorded_until_it_is_settled(self):
        """Guards against a record that makes each next holder wait."""

        async def steps():
            records = await self.acquire(self.holder)
            self.assertTrue(await records.record('s', 'u1'))
            self.assertTrue(await records.record('t', 'u9'))
            self.assertEqual({'s': ['u1'], 't': ['u9']}, self.recorded())
            records.keep_only('s', frozenset())
            await asyncio.sleep(0.05)
            self.assertEqual({'t': ['u9']}, self.recorded())

        self.play(steps)

    def test_order_that_is_recorded_costs_no_write(self):
        """An order that is sent again is on record already."""

        async def steps():
            records = await self.acquire(self.holder)
            await records.record('s', 'u1')
            before = list(self.store.calls)
            self.assertTrue(await records.record('s', 'u1'))
            self.assertEqual(before, self.store.calls)

        self.play(steps)

    def test_removal_without_an_answer(self):
        """Guards against an order that the store has just forgotten.

        The record of an order was removed, unanswered, and the same upstream
        is ordered again.
        """

        async def steps():
            records = await self.acquire(self.holder)
            await records.record('s', 'u1')
            self.store.unanswered = ['done']
            records.keep_only('s', frozenset())
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.assertEqual({}, self.recorded())
            self.assertTrue(await records.record('s', 'u1'))
            self.assertEqual({'s': ['u1']}, self.recorded())

        self.play(steps)

    def test_next_holder_knows_the_order(self):
        """Guards against a holder that replaces the ordered upstream."""

        async def steps():
            records = await self.acquire(self.holder)
            await records.record('s', 'u1')
            later = await self.acquire(self.add_holder('p2-b'))
            self.assertEqual({'s': frozenset({'u1'})}, later.earlier)
            self.assertFalse(later.is_earlier_incomplete)
            self.assertEqual({'s': ['u1']}, self.recorded())

        self.play(steps)

    def test_next_holder_knows_the_resumes(self):
        """Guards against a pause that a late resume ends."""

        async def steps():
            records = await self.acquire(self.holder)
            await records.record_resumes('s', frozenset({'u2', 'u3'}))
            await records.record_resumes('s', frozenset({'u3'}))
            later = await self.acquire(self.add_holder('p2-b'))
            self.assertEqual(frozenset({'u3'}), later.resumed('s'))
            await later.record_resumes('s', frozenset())
            last = await self.acquire(self.add_holder('p3-c'))
            self.assertEqual(frozenset(), last.resumed('s'))

        self.play(steps)

    def test_resume_without_the_store(self):
        """Guards against a resume that the next holder cannot know of."""

        async def steps():
            records = await self.acquire(self.holder)
            self.store.is_unavailable = True
            members = frozenset({'u3'})
            self.assertFalse(await records.record_resumes('s', members))
            self.store.is_unavailable = False
            self.assertTrue(await records.record_resumes('s', members))
            later = await self.acquire(self.add_holder('p2-b'))
            self.assertEqual(members, later.resumed('s'))

        self.play(steps)

    def test_resume_of_a_replaced_holder(self):
        """Guards against a resume that ends a pause of the next holder."""

        async def steps():
            records = await self.acquire(self.holder)
            await self.acquire(self.add_holder('p2-b'))
            members = frozenset({'u3'})
            self.assertFalse(await records.record_resumes('s', members))
            self.assertFalse(self.holder.holds)

        self.play(steps)

    def test_replaced_holder_records_no_order(self):
        """Guards against an order with a lower token than a later holder's."""

        async def steps():
            records = await self.acquire(self.holder)
            await records.record('s', 'u1')
            await self.acquire(self.add_holder('p2-b'))
            self.assertFalse(await records.record('s', 'u2'))
            self.assertFalse(self.holder.holds)
            self.assertEqual({'s': ['u1']}, self.recorded())

        self.play(steps)

    def test_no_record_without_the_store(self):
        """Guards against an order that the next holder cannot know of."""

        async def steps():
            records = await self.acquire(self.holder)
            self.store.is_unavailable = True
            self.assertFalse(await records.record('s', 'u1'))
            self.store.is_unavailable = False
            self.assertTrue(await records.record('s', 'u1'))
            self.assertEqual({'s': ['u1']}, self.recorded())

        self.play(steps)

    def test_write_without_an_answer(self):
        """The record is read, and written again if it is not there."""

        async def steps():
            records = await self.acquire(self.holder)
            self.store.unanswered = ['done', 'not done', 'not done']
            self.assertTrue(await records.record('s', 'u1'))
            self.assertTrue(await records.record('s', 'u2'))
            self.assertEqual({'s': ['u1', 'u2']}, self.recorded())

        self.play(steps)

    def test_holder_without_the_lease_records_nothing(self):
        """Guards against orders after the lease was lost."""

        async def steps():
            records = await self.acquire(self.holder)
            self.holder.give_up('a test')
            self.assertFalse(await records.record('s', 'u1'))

        self.play(steps)


class IncompleteRecordTest(RecordsCase):
    """Not all orders of earlier holders are on record."""

    def test_first_holder_of_all(self):
        """Nobody has ordered anything yet."""

        async def steps():
            records = await self.acquire(self.holder)
            self.assertFalse(records.is_earlier_incomplete)

        self.play(steps)

    def test_holder_of_an_older_build(self):
        """Guards against orders of a build that records none."""

        async def steps():
            records = await self.acquire(self.holder)
            await records.record('s', 'u1')
            block = str(2 * BLOCK)
            self.directory.set(promotion_leases.TOKEN_BLOCK_KEY, block)
            later = await self.acquire(self.add_holder('p2-b'))
            self.assertTrue(later.is_earlier_incomplete)
            self.assertEqual({'s': frozenset({'u1'})}, later.earlier)

        self.play(steps)

    def test_record_that_cannot_be_read(self):
        """Guards against a record of another format taken for an empty one."""

        async def steps():
            await self.acquire(self.holder)
            self.directory.set(order_records.KEY, 'what?')
            later = await self.acquire(self.add_holder('p2-b'))
            self.assertTrue(later.is_earlier_incomplete)

        self.play(steps)

    def test_store_that_returned_from_an_older_copy(self):
        """Guards against a record that lacks what the copy lacks."""

        async def steps():
            await self.acquire(self.holder)
            least_token = promotion_leases.ERA_TOKENS
            later = self.add_holder('p2-b').records
            block = self.directory.own_value(promotion_leases.TOKEN_BLOCK_KEY)
            later.claim(least_token + BLOCK, block, least_token)
            self.assertTrue(later.is_earlier_incomplete)

        self.play(steps)

    def test_it_is_complete_again_later(self):
        """Each next holder would wait otherwise, for as long as any runs."""

        async def steps():
            self.directory.set(promotion_leases.TOKEN_BLOCK_KEY, str(BLOCK))
            await self.acquire(self.holder)
            soon = await self.acquire(self.add_holder('p2-b'))
            self.assertTrue(soon.is_earlier_incomplete)
            await asyncio.sleep(LATE_ORDER_MS / 1000 + 0.1)
            later = await self.acquire(self.add_holder('p3-c'))
            self.assertFalse(later.is_earlier_incomplete)

        self.play(steps)
