"""List a proxy with as few calls as its predecessor's entry allows."""

import asyncio
import types
from unittest import mock

import testtools

from topazring.core import revisions
from topazring import key_value
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.pooler import directory as directories
from topazring.pooler import membership
from topazring.pooler import proxy_entries

KEY = directories.PROXY_PREFIX + 'p1'


class Store:
    """Fake store of the one entry; records the calls."""

    def __init__(self, revision: int):
        self.revision = revision
        self.calls: list[str] = []
        # Time between a call's effect and its answer.
        self.delay_s = 0.0
        # Longest lease that the store grants.
        self.ttl_ms = membership.TTL_MS
        # Answers to give instead of the usual ones.
        self.renewed = None
        self.written = None

    async def lease(self, ttl_ms):
        """Begin a lease."""
        self.calls.append('lease')
        await asyncio.sleep(self.delay_s)
        return key_value.Leased(7, min(ttl_ms, self.ttl_ms))

    async def renew_lease(self, lease):
        """Renew a lease."""
        self.calls.append('keep')
        await asyncio.sleep(self.delay_s)
        return self.renewed or key_value.Leased(lease, self.ttl_ms)

    async def end(self, lease):
        """End a lease."""
        self.calls.append('end')
        return True

    async def put_all(self, values):
        """Write if the entry has the expected revision."""
        self.calls.append('put')
        await asyncio.sleep(self.delay_s)
        if self.written is not None:
            return self.written
        (value,) = values
        if value.revision != self.revision:
            return key_value.Conflict()
        self.revision += 1
        return key_value.Written(self.revision)

    async def get(self, key):
        """Return the entry."""
        self.calls.append('get')
        if not self.revision:
            return key_value.Missing()
        return key_value.Found('old', self.revision)


async def never(era: int) -> None:
    """Wait for an era that does not come."""
    await asyncio.Event().wait()


class MembershipTest(testtools.TestCase):
    """After a power loss each extra call is made by every proxy of a fleet."""

    def register(self, store: Store, known: int, read: bool = True) -> int:
        """Register after a read of the entry; return the lease."""
        return asyncio.run(self._register(store, known, read))

    async def _register(self, store: Store, known: int, read: bool) -> int:
        change = revisions.Change(KEY, known, 'old') if known else None
        directory = types.SimpleNamespace(
            first_read=asyncio.Event(),
            own_value=lambda key: change,
            known=revisions.Revisions(),
            wait_for_era_after=never,
        )
        if read:
            directory.first_read.set()
        value = proxy_entries.ProxyValue('cork')
        log = events.EventLog('p1')
        reported: list[int] = []
        registration = membership.Membership(
            'p1', value, store, directory, log, reported.append
        )
        registration.start()
        async with asyncio.timeout(2):
            while not registration.lease:
                await asyncio.sleep(0.01)
        registration.task.cancel()
        return registration.lease

    def test_predecessors_entry_is_replaced_as_it_was_read(self):
        """No call is refused, and the entry is not read again."""
        store = Store(41)
        self.register(store, 41)
        self.assertEqual(['lease', 'put'], store.calls)

    def test_entry_that_was_not_read(self):
        """The entry is read after the conflict: it may be another's."""
        store = Store(41)
        self.register(store, 0)
        self.assertEqual(['lease', 'put', 'get', 'put'], store.calls)

    def test_entry_that_expired_since(self):
        """The entry that was read is gone: its lease has expired."""
        store = Store(0)
        self.register(store, 41)
        self.assertEqual(['lease', 'put', 'get', 'put'], store.calls)

    def test_listed_without_a_first_read(self):
        """Others wait for a proxy that has not read anything yet."""
        store = Store(0)
        self.assertEqual(7, self.register(store, 0, read=False))


class ValidityTest(testtools.TestCase):
    """A proxy knows until when the others can surely find it."""

    # When the list was last known to be complete: always.
    confirmed_ms = 10**15

    def play(self, steps):
        """Run `steps()` with a registration that renews every 20 ms."""
        renewal = mock.patch.object(membership, 'RENEW_INTERVAL_S', 0.02)
        with renewal:
            asyncio.run(self._play(steps))

    async def _play(self, steps):
        self.store = Store(0)
        directory = types.SimpleNamespace(
            first_read=asyncio.Event(),
            own_value=lambda key: None,
            known=revisions.Revisions(),
            confirmed_ms=self.confirmed_ms,
            wait_for_era_after=never,
        )
        directory.first_read.set()
        self.reported: list[int] = []
        self.registration = membership.Membership(
            'p1',
            proxy_entries.ProxyValue('cork'),
            self.store,
            directory,
            events.EventLog('p1'),
            self.reported.append,
        )
        self.started_ms = clock.boottime_ms()
        self.registration.start()
        try:
            await steps()
        finally:
            self.registration.task.cancel()

    async def until_reported(self, count: int) -> None:
        """Wait for so many reports in all."""
        async with asyncio.timeout(2):
            while len(self.reported) < count:
                await asyncio.sleep(0.005)

    def latest_ms(self) -> int:
        """Return the latest time that a call sent now can be valid until."""
        margin_ms = membership.CLOCK_DRIFT_MARGIN_MS
        return clock.boottime_ms() + membership.TTL_MS - margin_ms

    def test_written_and_renewed(self):
        """Each renewal counts from the time before it was sent."""

        async def steps():
            await self.until_reported(3)
            first_ms, second_ms, third_ms = self.reported[:3]
            self.assertLess(first_ms, second_ms)
            self.assertLess(second_ms, third_ms)
            self.assertLessEqual(third_ms, self.latest_ms())

        self.play(steps)

    def test_old_list(self):
        """Guards against counting upstreams that are no longer listed."""
        self.confirmed_ms = clock.boottime_ms() - 20_000

        async def steps():
            await self.until_reported(2)
            self.assertLessEqual(self.reported[1], self.latest_ms() - 20_000)

        self.play(steps)

    def test_slow_store(self):
        """Guards against a proxy that acknowledges while it is not listed.

        The store has begun the lease, or renewed it, long before its answer
        arrives, and the write of the entry does not prolong it.
        """

        async def steps():
            self.store.delay_s = 0.1
            await self.until_reported(1)
            self.assertLessEqual(self.reported[0], self.latest_ms() - 200)
            await self.until_reported(2)
            self.assertLessEqual(self.reported[1], self.latest_ms() - 100)

        self.play(steps)

    def test_shorter_lease_than_requested(self):
        """The store decides how long a lease lasts."""

        async def steps():
            self.store.ttl_ms = 10_000
            await self.until_reported(2)
            latest_ms = self.latest_ms() - membership.TTL_MS + 10_000
            self.assertLessEqual(max(self.reported[:2]), latest_ms)

        self.play(steps)

    def test_unanswered_renewal(self):
        """The time is neither prolonged nor withdrawn."""

        async def steps():
            await self.until_reported(1)
            self.store.renewed = key_value.Unavailable('away')
            await asyncio.sleep(0.1)
            reported = list(self.reported)
            await asyncio.sleep(0.1)
            self.assertEqual(reported, self.reported)
            self.assertNotIn(0, reported)

        self.play(steps)

    def test_lost_lease(self):
        """The entry is gone, until it is written again."""

        async def steps():
            await self.until_reported(1)
            self.store.renewed = key_value.Missing()
            self.store.revision = 0
            async with asyncio.timeout(2):
                while 0 not in self.reported:
                    await asyncio.sleep(0.005)
            position = self.reported.index(0)
            self.store.renewed = None
            await self.until_reported(position + 2)
            self.assertGreater(self.reported[position + 1], self.started_ms)

        self.play(steps)

    def test_entry_that_was_not_written(self):
        """A lease without the entry lists nobody."""

        async def steps():
            self.store.written = key_value.Unavailable('away')
            await asyncio.sleep(0.1)
            self.assertEqual([], self.reported)

        self.play(steps)

    def test_process_that_leaves(self):
        """It is not listed any more, whether or not the store answers."""

        async def steps():
            await self.until_reported(1)
            await self.registration.close()
            self.assertEqual(0, self.reported[-1])
            self.assertEqual('end', self.store.calls[-1])

        self.play(steps)
