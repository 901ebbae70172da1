"""Hold the duty as one of many, through a store that may fail."""

import asyncio

import testtools

from topazring.core import revisions
from topazring import key_value
from topazring.plumbing import events
from topazring.pooler import promotion_lease as duties

TTL_S = duties.TTL_MS / 1000


class Store:
    """Hold the duty's values; leases end when they are not renewed."""

    def __init__(self, directory):
        self.directory = directory
        self.leases: dict[int, float] = {}
        self.calls: list[str] = []
        self.away = False
        # The next write is done and not answered.
        self.loses_answer = False

    def now(self) -> float:
        """Return the time."""
        return asyncio.get_running_loop().time()

    async def lease(self, ttl_ms):
        """Begin a lease."""
        self.calls.append('lease')
        if self.away:
            return key_value.Unavailable('away')
        number = len(self.leases) + 1
        self.leases[number] = self.now() + ttl_ms / 1000
        return key_value.Leased(number, ttl_ms)

    async def renew_lease(self, lease):
        """Renew a lease."""
        self.calls.append('keep')
        if self.away:
            return key_value.Unavailable('away')
        if self.leases.get(lease, 0) < self.now():
            return key_value.Missing()
        self.leases[lease] = self.now() + TTL_S
        return key_value.Leased(lease, duties.TTL_MS)

    async def end(self, lease):
        """End a lease."""
        self.calls.append('end')
        self.leases.pop(lease, None)
        return True

    async def get(self, key):
        """Return a value."""
        self.calls.append('get')
        if self.away:
            return key_value.Unavailable('away')
        change = self.directory.own_value(key)
        if change is None:
            return key_value.Missing()
        return key_value.Found(change.value, change.revision)

    async def put_all(self, values):
        """Write if nobody else did."""
        self.calls.append('put')
        for value in values:
            change = self.directory.own_value(value.key)
            if value.revision != (change.revision if change else 0):
                return key_value.Conflict()
        for value in values:
            self.directory.set(value.key, value.value)
        if self.loses_answer:
            self.loses_answer = False
            return key_value.Unavailable('lost')
        return key_value.Written(self.directory.known.seen)


class Directory:
    """Hold the product's own values."""

    def __init__(self):
        self.known = revisions.Revisions(seen=1)
        self.own_changed = asyncio.Event()
        self.unavailable_since_ms = None
        self.follows = True
        # What peers tell when they are asked; None if none answers.
        self.peers_tell = {}

    async def ask_peers(self, within_s):
        """Learn what peers know."""
        if self.peers_tell is None:
            return False
        for key, value in self.peers_tell.items():
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


class DutyTest(testtools.TestCase):
    """One holder, tokens that only grow."""

    def play(self, steps):
        """Run `steps(self)` with a duty that has begun."""
        asyncio.run(self._play(steps))

    async def _play(self, steps):
        self.directory = Directory()
        self.store = Store(self.directory)
        self.told = []
        self.promotion_lease = duties.PromotionLease(
            'p1-a',
            self.store,
            self.directory,
            events.EventLog('p1'),
            lambda holds, token: self.told.append((holds, token)),
        )
        await steps()
        await self.promotion_lease.close()

    async def until(self, holds, within_s=2.0):
        """Wait until the duty is held, or is not."""
        async with asyncio.timeout(within_s):
            while self.promotion_lease.holds is not holds:
                await asyncio.sleep(0.01)

    def test_gains_and_keeps(self):
        """With a block of tokens above all earlier ones."""

        async def steps():
            self.directory.set(duties.TOKEN_BLOCK_KEY, '70000')
            self.promotion_lease.start()
            await self.until(True)
            self.assertEqual([(True, 80_000)], self.told)
            await asyncio.sleep(TTL_S + 0.5)
            self.assertTrue(self.promotion_lease.holds)

        self.play(steps)

    def test_old_lease_is_not_used(self):
        """A lease of a try that failed has run for a while.

        Symptom: the duty is lost a second after it was gained. Sequence: a
        try meets another's; two seconds later the duty is free; it is taken
        under the lease of the first try, which ends. Cause: keeping a lease
        that nobody renews.
        """

        async def steps():
            self.promotion_lease._is_free = lambda: True
            self.directory.set(duties.LEASE_KEY, '{"holder":"x","token":1}')
            await self.promotion_lease._try()
            self.assertFalse(self.promotion_lease.holds)
            await asyncio.sleep(TTL_S - 0.6)
            self.directory.set(duties.LEASE_KEY, None)
            self.directory.known.changes.pop(duties.LEASE_KEY)
            await self.promotion_lease._try()
            self.promotion_lease.start()
            await asyncio.sleep(1.5)
            self.assertTrue(self.promotion_lease.holds)

        self.play(steps)

    def test_lost_answer(self):
        """The write may have been done; the value tells."""

        async def steps():
            self.store.loses_answer = True
            self.promotion_lease.start()
            await self.until(True)

        self.play(steps)

    def test_hearer_leaves_it_to_followers(self):
        """Of a large fleet hundreds would write for a free duty at once.

        A hearer takes it all the same when nobody else has for a while.
        """

        async def steps():
            self.directory.follows = False
            self.promotion_lease.jitter_s = duties.JITTER_S
            self.promotion_lease.start()
            await asyncio.sleep(duties.NON_FOLLOWER_DELAY_S * 0.8)
            self.assertEqual([], self.store.calls)
            await self.until(True)

        self.play(steps)

    def test_another_holds_it(self):
        """Nothing is tried while it is held."""

        async def steps():
            self.directory.set(duties.LEASE_KEY, '{"holder":"x","token":1}')
            self.promotion_lease.start()
            await asyncio.sleep(0.8)
            self.assertEqual([], self.store.calls)

        self.play(steps)

    def test_goes_on_while_the_store_is_away(self):
        """Nobody else can take it then."""

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            self.store.away = True
            await asyncio.sleep(TTL_S + 0.5)
            self.assertTrue(self.promotion_lease.holds)

        self.play(steps)

    def test_stops_when_a_peer_tells_of_its_successor(self):
        """The store may turn away the holder and serve the others.

        Symptom: an acknowledged write is gone after a failover. Sequence:
        the store turns the holder away and drops its lease; another takes
        the duty and pauses the replicas; the first, which has given up an
        attempt of its own, resumes them; one confirms a write of the old
        primary. Cause: taking a store that turns one away for one that is
        away for all.
        """

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            self.store.away = True
            taken = '{"holder":"p2-a","token":20000}'
            self.directory.set(duties.LEASE_KEY, taken)
            await self.until(False, within_s=duties.RENEW_INTERVAL_S + 0.5)
            self.assertEqual((False, 0), self.told[-1])

        self.play(steps)

    def test_refused_order(self):
        """It asks whether the duty is still its own."""

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            self.promotion_lease.request_recheck()
            await asyncio.sleep(0.2)
            self.assertEqual([True, True], [holds for holds, _ in self.told])
            self.directory.set(duties.LEASE_KEY, '{"holder":"x","token":1}')
            self.promotion_lease.request_recheck()
            await self.until(False)

        self.play(steps)

    def test_order_of_an_overtaken_holder_is_not_sent(self):
        """Where tokens are not checked, nothing else stops it.

        Symptom: an order with a lower token than one that went before.
        Sequence: the holder is frozen; its lease ends and another takes the
        duty; it wakes in the middle of an attempt and orders. Cause: taking
        what was known before the pause for what holds.
        """

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            self.assertTrue(await self.promotion_lease.verify_holder())
            self.directory.set(duties.LEASE_KEY, '{"holder":"x","token":1}')
            self.assertFalse(await self.promotion_lease.verify_holder())
            self.assertFalse(self.promotion_lease.holds)

        self.play(steps)

    def test_order_while_the_store_is_away_for_all(self):
        """Peers know of nobody else, so the holder goes on."""

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            self.store.away = True
            self.assertTrue(await self.promotion_lease.verify_holder())
            self.directory.unavailable_since_ms = 1
            self.assertTrue(await self.promotion_lease.verify_holder())

        self.play(steps)

    def test_order_while_the_store_turns_the_holder_away(self):
        """A peer that reads there knows who has the duty now."""

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            self.store.away = True
            taken = '{"holder":"p2-a","token":20000}'
            self.directory.peers_tell = {duties.LEASE_KEY: taken}
            self.assertFalse(await self.promotion_lease.verify_holder())
            self.assertFalse(self.promotion_lease.holds)

        self.play(steps)

    def test_order_of_a_holder_that_is_cut_off(self):
        """Neither the store nor any peer can say that it still holds it."""

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            self.store.away = True
            self.directory.peers_tell = None
            self.assertFalse(await self.promotion_lease.verify_holder())

        self.play(steps)

    def test_value_that_somebody_else_wrote(self):
        """It names no holder, and this process goes on.

        Symptom: a proxy's duty ends with an error, and nobody promotes.
        Cause: taking each value under our keys for one that we wrote.
        """

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            self.directory.set(duties.LEASE_KEY, '{"holder": 7}')
            await asyncio.sleep(duties.RENEW_INTERVAL_S + 0.2)
            self.assertTrue(self.promotion_lease.holds)
            self.assertFalse(self.promotion_lease.task.done())

        self.play(steps)

    def test_yields(self):
        """Others have it for a while."""

        async def steps():
            self.promotion_lease.start()
            await self.until(True)
            self.promotion_lease.yield_lease('no replica can be reached')
            self.directory.known.changes.pop(duties.LEASE_KEY)
            await asyncio.sleep(0.8)
            self.assertFalse(self.promotion_lease.holds)
            self.assertIn('end', self.store.calls)

        self.play(steps)
