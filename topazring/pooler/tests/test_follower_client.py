"""Hear from followers what changed, whatever becomes of them."""

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


class HearingTest(testtools.TestCase):
    """Few ask the service; all know what it says within its time."""

    def play(self, steps, count: int = PROXIES):
        """Run `steps()` with a fleet that has settled."""

        async def run():
            self.fleet = fleets.Fleet(count)
            # All is listed when it starts, so nothing has to be gathered.
            with mock.patch.object(directories, 'STARTUP_S', 0.0):
                await self.fleet.start()
                await steps()
            self.fleet.close()

        asyncio.run(run())

    def watched(self) -> int:
        """Return how many watches the service has answered."""
        return sum(proxy.client.watches for proxy in self.fleet.proxies)

    def others(self, gone: list[fleets.Proxy]) -> list[fleets.Proxy]:
        """Return all proxies but some."""
        return [p for p in self.fleet.proxies if p not in gone]

    def test_change_costs_the_service_an_answer_a_follower(self):
        """Not one a proxy: those of a fleet of thousands would be too many."""

        async def steps():
            before = self.watched()
            for _ in range(10):
                await self.fleet.configure()
                await self.fleet.in_force(self.fleet.proxies)
            self.assertEqual(2, len(self.fleet.followers()))
            # Ten changes, and a few watches that ended without one.
            self.assertLessEqual(self.watched() - before, 2 * (10 + 4))

        self.play(steps)

    def test_proxy_that_catches_up(self):
        """Guards against a promotion by one that news have not reached."""

        async def steps():
            (hearer, *_) = self.fleet.hearers()
            for follower in self.fleet.followers():
                follower.frozen = True
            await self.fleet.configure()
            self.assertNotEqual(self.fleet.version, hearer.version)
            self.assertTrue(await hearer.directory.catch_up())
            self.assertEqual(self.fleet.version, hearer.version)

        self.play(steps)

    def test_proxy_that_cannot_catch_up(self):
        """Guards against taking old news for new where nobody answers."""

        async def steps():
            (hearer, *_) = self.fleet.hearers()
            hearer.client.away = True
            for other in self.others([hearer]):
                other.frozen = True
            await self.fleet.configure()
            self.assertFalse(await hearer.directory.catch_up())

        self.play(steps)

    def test_proxy_that_is_turned_away_catches_up_with_peers(self):
        """Guards against waiting for a store that answers others."""

        async def steps():
            (hearer, *_) = self.fleet.hearers()
            hearer.client.away = True
            await self.fleet.configure()
            await self.fleet.in_force(self.others([hearer]))
            self.assertTrue(await hearer.directory.catch_up())

        self.play(steps)

    def test_forgotten_history_is_read_anew_by_followers(self):
        """And what ended meanwhile is known to have ended everywhere."""

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

    def test_follower_that_freezes(self):
        """Its hearers know in time what changed right then.

        What would be wrong: a configuration that was accepted is not in
        force at proxies that are well, because another stands still.
        """

        async def steps():
            frozen = self.fleet.followers()[0]
            frozen.frozen = True
            await self.fleet.configure()
            await self.fleet.in_force(self.others([frozen]))

        self.play(steps)

    def test_followers_that_end(self):
        """Both at once: the others ask the service."""

        async def steps():
            ended = self.fleet.followers()
            for proxy in ended:
                proxy.end()
            await self.fleet.configure()
            await self.fleet.in_force(self.others(ended))

        self.play(steps)

    def test_follower_whose_watch_is_lost(self):
        """A follower that learns nothing any more finds out in time."""

        async def steps():
            cut = self.fleet.followers()[0]
            cut.client.swallowed = True
            await self.fleet.configure()
            await self.fleet.in_force(self.others([cut]))

        self.play(steps)

    def test_followers_that_are_turned_away(self):
        """They hear others then, and their hearers ask others or the service.

        What would be wrong: the service turns two proxies away and serves
        all others, and nobody in their data centre learns of a change.
        """

        async def steps():
            for proxy in self.fleet.followers():
                proxy.client.away = True
            await self.fleet.configure()
            await self.fleet.in_force(self.fleet.hearers())

        self.play(steps)

    def test_nobody_hears_a_hearer(self):
        """Two that heard each other would never learn anything again."""

        async def steps():
            hearer = self.fleet.hearers()[0]
            told = await hearer.directory.changes_after(1, 0)
            self.assertFalse(told.follows)
            asker = mock.Mock()
            asker.fetch_changes = mock.AsyncMock(return_value=told)
            log = events.EventLog('other')
            other = follower_client.FollowerClient(
                'pz', fleets.CENTRE, asker, log, 900
            )
            records = hearer.directory.listing.proxies.values()
            self.assertIsNone(await other.poll(records, 1))
            self.assertEqual('', other.source)

        self.play(steps)

    def test_old_word_is_not_taken(self):
        """A follower that stood still answers with what it knew before."""

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

    def test_few_proxies_each_ask_the_service(self):
        """A step more on the way of a change would spare nothing."""

        async def steps():
            self.assertEqual(3, len(self.fleet.followers()))

        with mock.patch.object(fleets.Fleet, 'hearers', lambda self: [None]):
            self.play(steps, 3)

    def test_walks(self):
        """Whatever happens to followers, a version never goes back.

        Proxies freeze, are turned away or lose their watches, and history is
        forgotten, several at the same moment; in the end all are well and
        know the newest version within its time.
        """

        async def steps():
            for seed in range(4):
                await self.walk(random.Random(seed))
            for proxy in self.fleet.proxies:
                versions = proxy.versions
                self.assertEqual(sorted(versions), versions)

        self.play(steps)

    async def walk(self, rng: random.Random) -> None:
        """Have things go wrong for a second, then heal and check."""
        for _ in range(20):
            proxy = rng.choice(self.fleet.proxies)
            match rng.choice(('freeze', 'away', 'swallow', 'forget', 'heal')):
                case 'freeze':
                    proxy.frozen = True
                case 'away':
                    proxy.client.away = True
                case 'swallow':
                    proxy.client.swallowed = True
                case 'forget':
                    self.fleet.service.forget()
                case 'heal':
                    self.heal()
            await self.fleet.configure()
            await asyncio.sleep(rng.choice((0.0, 0.02, 0.1)))
        self.heal()
        # A watch that was lost is noticed, and a proxy that was away asks
        # again, within a second and a half.
        await asyncio.sleep(1.5)
        await self.fleet.configure()
        await self.fleet.in_force(self.fleet.proxies)

    def heal(self) -> None:
        """Have all proxies be well."""
        for proxy in self.fleet.proxies:
            proxy.frozen = False
            proxy.client.away = False
            proxy.client.swallowed = False
