"""Hold the promotion lease among many proxies, with a store that may fail."""

import asyncio

import testtools

from topazring.core import revisions
from topazring import key_value
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.pooler import promotion_lease as promotion_leases

TTL_S = promotion_leases.TTL_MS / 1000


class Store:
    """Fake store of the lease's values; leases expire if not renewed."""

    def __init__(self, directory):
        self.directory = directory
        self.era = 0
        self.leases: dict[int, float] = {}
        self.calls: list[str] = []
        self.is_unavailable = False
        # The next write takes effect without an answer.
        self.drops_answer = False

    def now(self) -> float:
        """Return the time."""
        return asyncio.get_running_loop().time()

    async def lease(self, ttl_ms):
        """Begin a lease."""
        self.calls.append('lease')
        if self.is_unavailable:
            return key_value.Unavailable('away')
        number = len(self.leases) + 1
        self.leases[number] = self.now() + ttl_ms / 1000
        return key_value.Leased(number, ttl_ms)

    async def renew_lease(self, lease):
        """Renew a lease."""
        self.calls.append('keep')
        if self.is_unavailable:
            return key_value.Unavailable('away')
        if self.leases.get(lease, 0) < self.now():
            return key_value.Missing()
        self.leases[lease] = self.now() + TTL_S
        return key_value.Leased(lease, promotion_leases.TTL_MS)

    async def end(self, lease):
        """End a lease."""
        self.calls.append('end')
        self.leases.pop(lease, None)
        return True

    async def get(self, key):
        """Return a value."""
        self.calls.append('get')
        if self.is_unavailable:
            return key_value.Unavailable('away')
        change = self.directory.own_value(key)
        if change is None:
            return key_value.Missing()
        return key_value.Found(change.value, change.revision)

    async def put_all(self, values):
        """Write the values if their revisions are unchanged."""
        self.calls.append('put')
        for value in values:
            change = self.directory.own_value(value.key)
            if value.revision != (change.revision if change else 0):
                return key_value.Conflict()
        for value in values:
            self.directory.set(value.key, value.value)
        if self.drops_answer:
            self.drops_answer = False
            return key_value.Unavailable('lost')
        return key_value.Written(self.directory.known.seen)


class Directory:
    """Fake directory of the proxies' own values."""

    def __init__(self):
        self.known = revisions.Revisions(seen=1)
        self.era = 0
        self.own_changed = asyncio.Event()
        self.unavailable_since_ms = None
        self.follows = True
        # Values that peers report when asked; None if no peer answers.
        self.peer_values = {}

    async def ask_peers(self, within_s):
        """Apply what peers report."""
        if self.peer_values is None:
            return False
        for key, value in self.peer_values.items():
            self.set(key, value)
        return True

    def own_value(self, key):
        """Return a value that is set."""
        change = self.known.changes.get(key)
        return change if change and change.value is not None else None

    def set(self, key, value):
        """Write a value, or with None delete it."""
        self.known.seen += 1
        change = revisions.Change(key, self.known.seen, value)
        self.known.changes[key] = change
        self.own_changed.set()


class PromotionLeaseTest(testtools.TestCase):
    """There is one holder, and tokens only grow."""

    def play(self, steps):
        """Run `steps()` with a promotion lease that is not started yet."""
        asyncio.run(self._play(steps))

    async def _play(self, steps):
        self.directory = Directory()
        self.store = Store(self.directory)
        self.changes = []
        self.promotion_lease = promotion_leases.PromotionLease(
            'p1-a',
            self.store,
            self.directory,
            events.EventLog('p1'),
            lambda holds, token: self.changes.append((holds, token)),
        )
        await steps()
        await self.promotion_lease.close()

    async def until(self, holds, within_s=2.0):
        """Wait until the lease is held, or is not held."""
        async with asyncio.timeout(within_s):
            while self.promotion_lease.holds is not holds:
                await asyncio.sleep(0.01)

    def test_lease_is_acquired_and_renewed(self):
        """The holder gets a block of tokens above all earlier ones."""

        async def steps():
            self.directory.set(promotion_leases.TOKEN_BLOCK_KEY, '70000')
            self.promotion_lease.start()
            await self.until(True)
            self.assertEqual([(True, 80_000)], self.changes)
            await asyncio.sleep(TTL_S + 0.5)
            self.assertTrue(self.promotion_lease.holds)

        self.play(steps)

    def test_old_lease_is_not_used(self):
        """Guards against a lease that is lost a second after it was acquired.

        An attempt conflicts with another proxy's. Two seconds later the lease
        is free, and it is acquired under the store lease of the first
        attempt, which expires because nobody has renewed it.
        """

        async def steps():
            self.promotion_lease._is_free = lambda: True
            self.directory.set(
                promotion_leases.LEASE_KEY, '{"holder":"x","token":1}'
            )
            await self.promotion_lease._try_acquire()
            self.assertFalse(self.promotion_lease.holds)
            await asyncio.sleep(TTL_S - 0.6)
            self.directory.set(promotion_leases.LEASE_KEY, None)
            self.directory.known.changes.pop(promotion_leases.LEASE_KEY)
            await self.promotion_lease._try_acquire()
            self.promotion_lease.start()
            await asyncio.sleep(1.5)
            self.assertTrue(self.promotion_lease.holds)

        self.play(steps)

    def test_write_without_an_answer(self):
        """The write may have taken effect; reading the value resolves it."""

        async def steps():
            self.store.drops_answer = True
            self.promotion_lease.start()
            await self.until(True)

        self.play(steps)

    def test_non_follower_leaves_the_lease_to_followers(self):
        """Guards against hundreds of writes for a free lease in large fleets.

        A proxy that reads from a follower acquires the lease nevertheless if
        nobody else has for a while.
        """

        async def steps():
            self.directory.follows = False
            self.promotion_lease.jitter_s = promotion_leases.JITTER_S
            self.promotion_lease.start()
            await asyncio.sleep(promotion_leases.NON_FOLLOWER_DELAY_S * 0.8)
            self.assertEqual([], self.store.calls)
            await self.until(True)

        self.play(steps)

    def test_no_attempt_while_another_holds_the_lease(self):
        """No attempt is made while another proxy holds the lease."""

        async def steps():
            self.directory.set(
                promotion_leases.LEASE_KEY, '{"holder":"x","token":1}'
            )
            self.promotion_lease.start()
            await asyncio.sleep(0.8)
            self.assertEqual([], self.store.calls)

        self.play(steps)

    def test_holder_continues_while_the_store_is_unavailable(self):
        """Nobody else can acquire the lease meanwhile."""

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            self.store.is_unavailable = True
            await asyncio.sleep(TTL_S + 0.5)
            self.assertTrue(self.promotion_lease.holds)

        self.play(steps)

    def test_holder_stops_when_a_peer_reports_a_successor(self):
        """Guards against an acknowledged write that a failover loses.

        The store refuses the holder, drops its lease and serves the other
        proxies. Another acquires the lease and pauses the replicas. The first,
        which has given up an attempt of its own, resumes them, and one
        confirms a write of the old primary. A store that refuses one proxy
        must not be taken for one that is unavailable to all.
        """

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            self.store.is_unavailable = True
            taken = '{"holder":"p2-a","token":20000}'
            self.directory.set(promotion_leases.LEASE_KEY, taken)
            await self.until(
                False, within_s=promotion_leases.RENEW_INTERVAL_S + 0.5
            )
            self.assertEqual((False, 0), self.changes[-1])

        self.play(steps)

    def test_recheck_after_a_refused_order(self):
        """The holder checks with the store that it still holds the lease."""

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            self.promotion_lease.request_recheck()
            await asyncio.sleep(0.2)
            self.assertEqual(
                [True, True], [holds for holds, _ in self.changes]
            )
            self.directory.set(
                promotion_leases.LEASE_KEY, '{"holder":"x","token":1}'
            )
            self.promotion_lease.request_recheck()
            await self.until(False)

        self.play(steps)

    def test_order_of_a_replaced_holder_is_not_sent(self):
        """Guards against an order with a lower token than an earlier one.

        If tokens are not checked, nothing else stops it. The holder is paused;
        its lease expires and another proxy acquires it; the first resumes in
        the middle of an attempt and sends its order, because it relies on
        what it read before the pause.
        """

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            self.assertTrue(await self.promotion_lease.verify_holder())
            self.directory.set(
                promotion_leases.LEASE_KEY, '{"holder":"x","token":1}'
            )
            self.assertFalse(await self.promotion_lease.verify_holder())
            self.assertFalse(self.promotion_lease.holds)

        self.play(steps)

    def test_order_while_the_store_is_unavailable_to_all(self):
        """Peers report no successor, so the holder continues."""

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            self.store.is_unavailable = True
            self.assertTrue(await self.promotion_lease.verify_holder())
            self.directory.unavailable_since_ms = 1
            self.assertTrue(await self.promotion_lease.verify_holder())

        self.play(steps)

    def test_order_while_the_store_refuses_the_holder(self):
        """A peer that reads the store reports the new holder."""

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            self.store.is_unavailable = True
            taken = '{"holder":"p2-a","token":20000}'
            self.directory.peer_values = {promotion_leases.LEASE_KEY: taken}
            self.assertFalse(await self.promotion_lease.verify_holder())
            self.assertFalse(self.promotion_lease.holds)

        self.play(steps)

    def test_order_of_a_partitioned_holder(self):
        """Neither the store nor a peer can confirm the lease."""

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            self.store.is_unavailable = True
            self.directory.peer_values = None
            self.assertFalse(await self.promotion_lease.verify_holder())

        self.play(steps)

    def expire_soon(self, left_ms: int) -> None:
        """Have the lease last for only a little longer, as far as is known."""
        margin_ms = promotion_leases.CLOCK_DRIFT_MARGIN_MS
        self.promotion_lease.valid_until_ms = (
            clock.boottime_ms() + margin_ms + left_ms
        )

    def test_peers_do_not_show_that_the_lease_is_held(self):
        """Guards against orders of a replaced holder behind a partition.

        Its peers there cannot reach the store either, and know of no other
        holder.
        """

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            self.store.is_unavailable = True
            self.expire_soon(0)
            self.assertTrue(await self.promotion_lease.verify_holder())
            self.assertFalse(await self.promotion_lease.is_surely_held())
            self.assertTrue(self.promotion_lease.holds)

        self.play(steps)

    def test_valid_lease_needs_no_call(self):
        """Guards against a call to the store for each order and resume."""

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            before = list(self.store.calls)
            self.assertTrue(await self.promotion_lease.is_surely_held())
            self.assertEqual(before, self.store.calls)

        self.play(steps)

    def test_lease_that_ends_soon_is_renewed(self):
        """Guards against an order that arrives after the next holder's."""

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            self.expire_soon(promotion_leases.MIN_VALID_MS - 1)
            self.assertTrue(await self.promotion_lease.is_surely_held())
            left_ms = promotion_leases.MIN_VALID_MS
            self.assertTrue(self.promotion_lease.surely_holds(left_ms))

        self.play(steps)

    def test_lease_that_has_ended_is_not_renewed(self):
        """Guards against relying on a lease that the store has ended."""

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            self.store.leases.clear()
            self.expire_soon(0)
            self.assertFalse(await self.promotion_lease.is_surely_held())
            self.assertFalse(self.promotion_lease.holds)

        self.play(steps)

    def test_renewal_without_an_answer(self):
        """Guards against an attempt that waits for the store."""

        async def never(lease):
            await asyncio.sleep(60)

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            self.store.renew_lease = never
            self.expire_soon(0)
            began_ms = clock.boottime_ms()
            self.assertFalse(await self.promotion_lease.is_surely_held())
            self.assertLess(clock.boottime_ms() - began_ms, 500)

        self.play(steps)

    def test_lease_value_in_another_format(self):
        """Guards against a task that ends with an error, so nobody promotes.

        A value under the lease key is not always one that a proxy wrote. Such
        a value names no holder, and this process continues.
        """

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            self.directory.set(promotion_leases.LEASE_KEY, '{"holder": 7}')
            await asyncio.sleep(promotion_leases.RENEW_INTERVAL_S + 0.2)
            self.assertTrue(self.promotion_lease.holds)
            self.assertFalse(self.promotion_lease.task.done())

        self.play(steps)

    def test_yielded_lease_is_left_to_others(self):
        """Other proxies can acquire it for a while."""

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            self.promotion_lease.yield_lease('no replica can be reached')
            self.directory.known.changes.pop(promotion_leases.LEASE_KEY)
            await asyncio.sleep(0.8)
            self.assertFalse(self.promotion_lease.holds)
            self.assertIn('end', self.store.calls)

        self.play(steps)
