"""Follow closures through a store whose leases end, and that may return."""

import asyncio

import msgspec

from topazring.platform.tests import returning_store
from topazring.platform.tests import test_store_returns
from topazring.pooler import closures

PROXIES = 3
# The shortest that the store grants.
SHORT_S = closures.MIN_S
KEY = closures.KEY_PREFIX + 'database//old'


class ClosuresTest(test_store_returns.ReturnTest):
    """Proxies of one data centre with the store's real client."""

    def close(self, steps):
        """Run `steps()` with proxies that follow closures."""

        async def follow():
            self.followers = []
            for proxy in self.fleet.proxies:
                follower = closures.Closures(
                    proxy.name,
                    proxy.client,
                    proxy.directory,
                    proxy.log,
                    lambda target: None,
                    lambda target: None,
                )
                proxy.directory.on_own_change = follower.handle_change
                self.followers.append(follower)
            await steps()
            for follower in self.followers:
                follower.stop()

        self.play(follow, PROXIES)

    async def ask(self, for_s: float, proxy: int = 0) -> closures.Result:
        """Have a proxy close the database, or open it."""
        body = {'kind': 'database', 'name': 'old', 'for_s': for_s}
        page = await self.followers[proxy].handle_request(
            msgspec.json.encode(body)
        )
        self.assertEqual(200, page.code, page.body)
        return msgspec.json.decode(page.body, type=closures.Result)

    def is_closed(self) -> bool:
        """Return whether all proxies follow a closure."""
        return all(each.in_force for each in self.followers)

    def is_open(self) -> bool:
        """Return whether no proxy follows a closure."""
        return not any(each.in_force for each in self.followers)

    def test_ends_with_its_lease(self):
        async def steps():
            result = await self.ask(SHORT_S)
            self.assertEqual(SHORT_S * 1000, result.for_ms)
            await returning_store.until(self.is_closed)
            await returning_store.until(self.is_open, SHORT_S + 1)
            await returning_store.until(lambda: KEY not in self.store.items)

        self.close(steps)

    def test_proxy_that_only_peers_can_tell(self):
        """Guards against a closure that a proxy without the store ignores."""

        async def steps():
            self.fleet.refuse(self.fleet.proxies[2])
            await self.ask(60)
            await returning_store.until(self.is_closed)
            await self.ask(0)
            await returning_store.until(self.is_open)

        self.close(steps)

    def test_two_at_once(self):
        """Guards against proxies that follow different closures for good."""

        async def steps():
            results = await asyncio.gather(self.ask(60), self.ask(70, proxy=1))
            replaced = [each.replaced for each in results if each.replaced]
            self.assertEqual(1, len(replaced))
            last = self.fleet.stored(KEY)
            self.assertNotEqual(last['for_ms'], replaced[0].for_ms)
            await returning_store.until(
                lambda: all(
                    KEY in each.in_force
                    and each.in_force[KEY].closure == last['closure']
                    for each in self.followers
                )
            )

        self.close(steps)

    def test_store_returns_without_it(self):
        """Guards against a closure that ends as the store lost it."""

        async def steps():
            copy = self.store.copy()
            await self.ask(60)
            await returning_store.until(self.is_closed)
            await self.return_and_read(copy)
            self.assertNotIn(KEY, self.store.items)
            self.assertTrue(self.is_closed())
            await self.ask(0, proxy=1)
            await returning_store.until(self.is_open)

        self.close(steps)

    def test_store_returns_with_one_that_was_opened(self):
        """Guards against a closure that cannot be opened a second time."""

        async def steps():
            await self.ask(60)
            await returning_store.until(self.is_closed)
            ends_ms = self.followers[2].in_force[KEY].until_ms
            copy = self.store.copy()
            await self.ask(0)
            await returning_store.until(self.is_open)
            await self.return_and_read(copy)
            await returning_store.until(self.is_closed)
            self.assertEqual(ends_ms, self.followers[2].in_force[KEY].until_ms)
            await self.ask(0)
            await returning_store.until(self.is_open)

        self.close(steps)

    async def return_and_read(self, copy) -> None:
        """Return the store from a copy; wait until all have read that."""
        await self.fleet.return_from(copy)
        era = self.store.era
        await returning_store.until(
            lambda: all(
                each.directory.era == era for each in self.fleet.proxies
            )
        )
