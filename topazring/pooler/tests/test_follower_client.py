"""Read changes from followers that pause, end or lose the store."""

import asyncio
import random
from unittest import mock

import testtools

from topazring.plumbing import events
from topazring.pooler import directory as directories
from topazring.pooler import follower_client
from topazring.pooler import peers
from topazring.pooler.tests import fleet as fleets

PROXIES = 8


class FollowerClientTest(testtools.TestCase):
    """Few proxies read the store; all apply changes within their time."""

    def play(self, steps, count: int = PROXIES):
        """Run `steps()` with a fleet in which all proxies have a source."""

        async def run():
            self.fleet = fleets.Fleet(count)
            # All entries are listed before the start: no need to batch them.
            with mock.patch.object(directories, 'STARTUP_S', 0.0):
                await self.fleet.start()
                await steps()
            self.fleet.close()

        asyncio.run(run())

    def count_watches(self) -> int:
        """Return how many watches the store has answered."""
        return sum(proxy.client.watches for proxy in self.fleet.proxies)

    def others(self, gone: list[fleets.Proxy]) -> list[fleets.Proxy]:
        """Return all proxies except some."""
        return [p for p in self.fleet.proxies if p not in gone]

    def test_change_costs_the_store_one_answer_per_follower(self):
        """One answer per proxy would be too many for a fleet of thousands."""

        async def steps():
            before = self.count_watches()
            for _ in range(10):
                await self.fleet.configure()
                await self.fleet.in_force(self.fleet.proxies)
            self.assertEqual(2, len(self.fleet.followers()))
            # Ten changes, and a few watches that ended without one.
            self.assertLessEqual(self.count_watches() - before, 2 * (10 + 4))

        self.play(steps)

    def test_proxy_that_catches_up(self):
        """Guards against a promotion by a proxy that lacks recent changes."""

        async def steps():
            (reader, *_) = self.fleet.readers()
            for follower in self.fleet.followers():
                follower.is_paused = True
            await self.fleet.configure()
            self.assertNotEqual(self.fleet.version, reader.version)
            self.assertTrue(await reader.directory.catch_up())
            self.assertEqual(self.fleet.version, reader.version)

        self.play(steps)

    def test_proxy_that_cannot_catch_up(self):
        """Guards against using outdated data when nobody answers."""

        async def steps():
            (reader, *_) = self.fleet.readers()
            reader.client.is_unavailable = True
            for other in self.others([reader]):
                other.is_paused = True
            await self.fleet.configure()
            self.assertFalse(await reader.directory.catch_up())

        self.play(steps)

    def test_refused_proxy_catches_up_with_peers(self):
        """Guards against waiting for a store that answers other proxies."""

        async def steps():
            (reader, *_) = self.fleet.readers()
            reader.client.is_unavailable = True
            await self.fleet.configure()
            await self.fleet.in_force(self.others([reader]))
            self.assertTrue(await reader.directory.catch_up())

        self.play(steps)

    def test_compacted_history_is_reread_by_followers(self):
        """Entries that ended meanwhile are removed at all proxies."""

        async def steps():
            key = directories.OWN_PREFIX + 'block'
            await self.fleet.service.put(key, '1')
            await fleets.until(
                lambda: all(
                    p.directory.own_value(key) is not None
                    for p in self.fleet.proxies
                )
            )
            before = sum(p.client.reads for p in self.fleet.proxies)
            await self.fleet.service.put(key, None)
            self.fleet.service.forget()
            await self.fleet.configure()
            self.fleet.service.forget()
            await self.fleet.in_force(self.fleet.proxies)
            for proxy in self.fleet.proxies:
                self.assertIsNone(proxy.directory.own_value(key))
            read = sum(p.client.reads for p in self.fleet.proxies) - before
            self.assertLessEqual(read, 2 + 2)

        self.play(steps)

    def test_follower_that_is_paused(self):
        """Guards against readers that depend on a paused follower.

        A configuration that was accepted would not be in force in time at
        healthy proxies, because another proxy is paused.
        """

        async def steps():
            paused = self.fleet.followers()[0]
            paused.is_paused = True
            await self.fleet.configure()
            await self.fleet.in_force(self.others([paused]))

        self.play(steps)

    def test_followers_that_end(self):
        """Both followers end at once: the other proxies read the store."""

        async def steps():
            ended = self.fleet.followers()
            for proxy in ended:
                proxy.end()
            await self.fleet.configure()
            await self.fleet.in_force(self.others(ended))

        self.play(steps)

    def test_follower_whose_watch_is_lost(self):
        """A follower whose watch gets no answer detects that in time."""

        async def steps():
            cut = self.fleet.followers()[0]
            cut.client.is_unresponsive = True
            await self.fleet.configure()
            await self.fleet.in_force(self.others([cut]))

        self.play(steps)

    def test_followers_that_the_store_refuses(self):
        """Refused followers and their readers find another source.

        Guards against a data centre that receives no changes because the
        store refuses two of its proxies and serves all others.
        """

        async def steps():
            for proxy in self.fleet.followers():
                proxy.client.is_unavailable = True
            await self.fleet.configure()
            await self.fleet.in_force(self.fleet.readers())

        self.play(steps)

    def test_reader_is_not_a_source(self):
        """Two proxies that read from each other would receive no changes."""

        async def steps():
            reader = self.fleet.readers()[0]
            answer = await reader.directory.changes_after(1, 0)
            self.assertFalse(answer.follows)
            asker = mock.Mock()
            asker.fetch_changes = mock.AsyncMock(return_value=answer)
            log = events.EventLog('other')
            other = follower_client.FollowerClient(
                'pz', fleets.CENTRE, asker, log, 900
            )
            records = reader.directory.listing.proxies.values()
            self.assertIsNone(await other.poll(records, 1))
            self.assertEqual('', other.source)

        self.play(steps)

    def test_outdated_answer_is_rejected(self):
        """A follower that was paused answers with what it read before."""

        async def steps():
            asker = mock.Mock()
            old = peers.PeerAnswer(9, False, [], follows=True, age_ms=2000)
            asker.fetch_changes = mock.AsyncMock(return_value=old)
            log = events.EventLog('other')
            other = follower_client.FollowerClient(
                'pz', fleets.CENTRE, asker, log, 900
            )
            records = self.fleet.proxies[0].directory.listing.proxies.values()
            self.assertIsNone(await other.poll(records, 1))

        self.play(steps)

    def test_few_proxies_all_follow_the_store(self):
        """Reading through a follower would save no watch in a small fleet."""

        async def steps():
            self.assertEqual(3, len(self.fleet.followers()))

        with mock.patch.object(fleets.Fleet, 'readers', lambda self: [None]):
            self.play(steps, 3)

    def test_random_walks(self):
        """Whatever happens to followers, no proxy's version goes back.

        Proxies are paused, refused or lose their watches, and history is
        dropped, several at the same time. When all have recovered, the newest
        version is in force at all within its time limit.
        """

        async def steps():
            for seed in range(4):
                await self.walk(random.Random(seed))
            for proxy in self.fleet.proxies:
                versions = proxy.versions
                self.assertEqual(sorted(versions), versions)

        self.play(steps)

    async def walk(self, rng: random.Random) -> None:
        """Inject faults for a second, then clear them and check."""
        for _ in range(20):
            proxy = rng.choice(self.fleet.proxies)
            match rng.choice(('freeze', 'away', 'swallow', 'forget', 'heal')):
                case 'freeze':
                    proxy.is_paused = True
                case 'away':
                    proxy.client.is_unavailable = True
                case 'swallow':
                    proxy.client.is_unresponsive = True
                case 'forget':
                    self.fleet.service.forget()
                case 'heal':
                    self.heal()
            await self.fleet.configure()
            await asyncio.sleep(rng.choice((0.0, 0.02, 0.1)))
        self.heal()
        # Within a second and a half a lost watch is detected, and a proxy that
        # was refused asks again.
        await asyncio.sleep(1.5)
        await self.fleet.configure()
        await self.fleet.in_force(self.fleet.proxies)

    def heal(self) -> None:
        """Clear the faults of all proxies."""
        for proxy in self.fleet.proxies:
            proxy.is_paused = False
            proxy.client.is_unavailable = False
            proxy.client.is_unresponsive = False
