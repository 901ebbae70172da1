"""Record in the directory when other proxies have left."""

import asyncio
from unittest import mock

import msgspec
import testtools

from topazring.core.synchronous import listing as listings
from topazring import key_value
from topazring.plumbing import clock
from topazring.pooler import directory as directories
from topazring.pooler import proxy_entries
from topazring.pooler import proxy_history
from topazring.pooler.tests import fleet

# The directory reads and expires entries at least this often in these tests.
NOTICED_S = 3.0


class ProxyHistoryTest(testtools.TestCase):
    """Only the end of another incarnation counts."""

    def setUp(self):
        """Know two proxies, of which one is this process."""
        super().setUp()
        self.history = proxy_history.ProxyHistory('own', 10)
        self.history.record_entry(11, 'own', 'own-1')
        self.history.record_entry(12, 'other', 'other-1')

    def test_new_proxy(self):
        """A new proxy says itself how long it has been running."""
        self.assertEqual(10, self.history.changed_ms)

    def test_entry_written_again(self):
        """The same process wrote it, under a new lease."""
        self.history.record_entry(20, 'other', 'other-1')
        self.assertEqual(10, self.history.changed_ms)

    def test_replaced_proxy(self):
        """Guards against a write that only the earlier process acknowledged.

        Its entry was replaced without a removal that could be seen.
        """
        self.history.record_entry(20, 'other', 'other-2')
        self.assertEqual(20, self.history.changed_ms)

    def test_older_build_is_replaced(self):
        """An older build names no incarnation."""
        self.history.record_entry(20, 'older', '')
        self.assertEqual(10, self.history.changed_ms)
        self.history.record_entry(30, 'older', 'older-1')
        self.assertEqual(30, self.history.changed_ms)

    def test_lost_proxy(self):
        """Guards against a write that it acknowledges until its lease ends."""
        self.history.record_loss(20, 'other')
        self.history.record_loss(25, 'other')
        end_ms = 20 + proxy_history.ENTRY_TTL_MS
        self.assertEqual(end_ms, self.history.changed_ms)
        self.history.record_loss(10**6, 'own')
        self.assertEqual(end_ms, self.history.changed_ms)

    def test_lost_proxy_that_is_replaced(self):
        """The earlier process acknowledges nothing any more."""
        self.history.record_loss(20, 'other')
        self.history.record_entry(30, 'other', 'other-2')
        self.assertEqual(30, self.history.changed_ms)

    def test_lost_proxy_that_is_listed_again(self):
        """It can be asked for what it acknowledged meanwhile."""
        self.history.record_loss(20, 'other')
        self.history.record_entry(30, 'other', 'other-1')
        self.assertEqual(10, self.history.changed_ms)

    def test_proxy_that_was_never_seen(self):
        """It was listed and removed between two reads."""
        self.history.record_loss(20, 'brief')
        end_ms = 20 + proxy_history.ENTRY_TTL_MS
        self.assertEqual(end_ms, self.history.changed_ms)

    def test_own_entry(self):
        """This process knows what it has acknowledged itself."""
        self.history.record_entry(20, 'own', 'own-2')
        self.history.record_loss(30, 'own')
        self.assertEqual(10, self.history.changed_ms)


class ProxiesChangedTest(testtools.TestCase):
    """The directory learns from the store that a proxy has left."""

    def play(self, steps):
        """Run `steps()` with the directory of p0 beside q1 and q2."""
        asyncio.run(self._play(steps))

    async def _play(self, steps):
        self.fleet = fleet.Fleet(2)
        self.service = self.fleet.service
        self.proxy = self.fleet.proxies[0]
        self.directory = self.proxy.directory
        for name in ('q1', 'q2'):
            await self.list_proxy(name)
        await self.fleet.start()
        self.changed_ms = self.last_change_ms()
        await asyncio.sleep(0.01)
        try:
            await steps()
        finally:
            self.fleet.close()

    async def list_proxy(self, name: str, life: str = 'a') -> None:
        """Write a proxy's entry."""
        value = proxy_entries.ProxyValue('cork', incarnation=f'{name}-{life}')
        key = directories.PROXY_PREFIX + name
        await self.service.put(key, msgspec.json.encode(value).decode())

    async def remove(self, name: str) -> None:
        """Remove a proxy's entry."""
        await self.service.put(directories.PROXY_PREFIX + name, None)

    async def assert_changed(self, is_changed: bool) -> None:
        """Check whether a proxy is found to have left since the last check."""
        self.assertTrue(await self.directory.read_store_now())
        before_ms, self.changed_ms = self.changed_ms, self.last_change_ms()
        self.assertEqual(is_changed, self.changed_ms > before_ms)
        # The next change has a later time.
        await asyncio.sleep(0.01)

    def last_change_ms(self) -> int:
        """Return when a proxy was last found to have left."""
        return self.directory.proxies_changed_ms

    def test_entries_that_change(self):
        """Replaced and removed entries count, new and renewed ones don't."""

        async def steps():
            await self.assert_changed(False)
            await self.list_proxy('q3')
            await self.assert_changed(False)
            await self.list_proxy('q1')
            await self.assert_changed(False)
            await self.list_proxy('q1', 'b')
            await self.assert_changed(True)
            await self.remove('q2')
            await self.assert_changed(True)
            await self.list_proxy('q2', 'b')
            await self.assert_changed(False)
            await self.list_proxy('p0', 'b')
            await self.assert_changed(False)

        self.play(steps)

    def test_entry_that_becomes_unreadable(self):
        """Its proxy counts as missing."""

        async def steps():
            await self.service.put(directories.PROXY_PREFIX + 'q1', 'x')
            await self.assert_changed(True)

        self.play(steps)

    def test_removal_of_a_missing_proxy(self):
        """Guards against trusting a report without one that may be alive."""

        async def steps():
            key = directories.PROXY_PREFIX + 'q1'
            await self.remove('q1')
            await self.assert_changed(True)
            self.assertIn(key, self.directory.listing.proxies)
            self.directory.listing.missing_since_ms[key] = (
                clock.boottime_ms() - listings.PROXY_GRACE_MS
            )
            await fleet.until(
                lambda: key not in self.directory.listing.proxies, NOTICED_S
            )
            self.assertGreater(self.last_change_ms(), clock.boottime_ms())

        self.play(steps)

    def test_history_that_was_not_seen(self):
        """Guards against a proxy that came and left in compacted history."""

        async def steps():
            await self.list_proxy('brief')
            await self.remove('brief')
            self.service.forget()
            await self.assert_changed(True)

        self.play(steps)

    def test_time_before_the_first_read(self):
        """Who left before the list was read is unknown."""

        async def steps():
            proxy = fleet.Proxy('p9', 1, self.service)
            constructed_ms = proxy.directory.proxies_changed_ms
            await asyncio.sleep(0.01)
            await proxy.directory.read_store_now()
            self.assertLess(constructed_ms, proxy.directory.proxies_changed_ms)
            proxy.directory.close()

        self.play(steps)


class ReadStoreNowTest(testtools.TestCase):
    """Only the store itself can say who is listed now."""

    def play(self, steps):
        """Run `steps()` with the directories of two proxies."""
        asyncio.run(self._play(steps))

    async def _play(self, steps):
        self.fleet = fleet.Fleet(2)
        await self.fleet.start()
        try:
            await steps()
        finally:
            self.fleet.close()

    def test_store_that_does_not_answer(self):
        """Guards against a list of a peer that lacks the latest proxy."""

        async def steps():
            proxy, _ = self.fleet.proxies
            self.assertTrue(await proxy.directory.read_store_now())
            proxy.client.is_unavailable = True
            self.assertFalse(await proxy.directory.read_store_now())
            # A peer would answer.
            self.assertTrue(await proxy.directory.catch_up())

        self.play(steps)

    def test_store_that_is_slow(self):
        """The promotion does not wait for it."""

        async def steps():
            proxy, _ = self.fleet.proxies

            async def never(*_):
                await asyncio.Event().wait()

            proxy.client.changes = never
            sent_ms = clock.boottime_ms()
            self.assertFalse(await proxy.directory.read_store_now())
            took_ms = clock.boottime_ms() - sent_ms
            limit_ms = directories.CATCH_UP_TIMEOUT_S * 1000
            self.assertLess(took_ms, 2 * limit_ms)

        self.play(steps)

    def test_first_read(self):
        """A process that has read nothing yet reads everything."""

        async def steps():
            service = self.fleet.service
            proxy = fleet.Proxy('p9', 1, service)
            self.assertTrue(await proxy.directory.read_store_now())
            self.assertEqual(2, len(proxy.directory.listing.proxies))
            proxy.directory.close()

        self.play(steps)


class LostHistoryTest(testtools.TestCase):
    """The store has lost its history."""

    def test_full_reads_in_vain(self):
        """Guards against full reads without a pause, refused for all.

        Each watch is refused, whatever was read before it.
        """

        async def run():
            fleet_ = fleet.Fleet(2)
            await fleet_.start()
            client = fleet_.proxies[0].client

            async def changes(prefix, since, wait_ms):
                await asyncio.sleep(0.001)
                return key_value.HistoryCompacted()

            with mock.patch.object(client, 'changes', changes):
                before = client.reads
                await asyncio.sleep(5.0)
                reads = client.reads - before
            fleet_.close()
            return reads

        with mock.patch.object(directories, 'STARTUP_S', 0.0):
            self.assertLess(asyncio.run(run()), 20)
