"""Return the store from an older copy, before proxies that use it.

Revisions go back then and are given out again.
"""

import asyncio
from unittest import mock

import testtools

from topazring.bench import ports
from topazring.core import revisions
from topazring import key_value
from topazring.platform import store as stores
from topazring.platform.tests import returning_store
from topazring.pooler import directory as directories
from topazring.pooler import promotion_lease as promotion_leases

PROXIES = 5
# A return costs a proxy a full read, and some calls while the store is away.
MAX_FULL_READS = 3


class ReturnTest(testtools.TestCase):
    """Proxies of one data centre follow the store through its return."""

    def play(self, steps, count: int = PROXIES):
        """Run `steps()` with a fleet whose proxies have read the store."""

        async def run():
            self.fleet = returning_store.Fleet(count)
            self.store = self.fleet.store
            # Nothing is to be batched.
            with mock.patch.object(directories, 'STARTUP_S', 0.0):
                await self.fleet.start()
                try:
                    await steps()
                finally:
                    await self.fleet.close()

        asyncio.run(run())

    async def lose_versions(self, count: int = 3):
        """Have versions in force that are not in the copy; return it."""
        copy = self.store.copy()
        for _ in range(count):
            await self.fleet.configure_in_force(self.fleet.proxies)
        return copy


class ConfigurationTest(ReturnTest):
    """What the operator writes after a return comes into force."""

    def test_version_at_a_revision_given_out_again(self):
        """Guards against a change that is read and never in force."""

        async def steps():
            copy = await self.lose_versions()
            await self.fleet.return_from(copy)
            self.assertLess(self.store.revision, copy.revision + 3)
            await self.fleet.configure_in_force(self.fleet.proxies)

        self.play(steps)

    def test_two_returns_in_a_row(self):
        """Guards against a second return that is taken for the first."""

        async def steps():
            first = await self.lose_versions()
            second = self.store.copy()
            await self.fleet.configure_in_force(self.fleet.proxies)
            await self.fleet.return_from(second, 0.1)
            await self.fleet.return_from(first, 0.1)
            await self.fleet.configure_in_force(self.fleet.proxies)

        self.play(steps)

    def test_store_that_has_passed_the_lost_revisions(self):
        """Guards against changes missed as a watch is accepted again.

        The store has given out the revisions that a proxy knew before the
        proxy reaches it again, so its watch gets no 410.
        """

        async def steps():
            cut_off = self.fleet.proxies[0]
            copy = await self.lose_versions()
            for proxy in self.fleet.proxies:
                self.fleet.refuse(proxy)
            await self.fleet.return_from(copy)
            await self.fleet.configure()
            for number in range(8):
                await self.fleet.list_upstream(f'u{number}')
            for proxy in self.fleet.proxies:
                self.fleet.refuse(proxy, 0)
            await returning_store.until(
                lambda: cut_off.version == self.fleet.version
            )

        self.play(steps)

    def test_proxy_that_only_peers_can_tell(self):
        """Guards against a peer that hands on the lost history."""

        async def steps():
            cut_off = self.fleet.proxies[0]
            copy = await self.lose_versions()
            self.fleet.refuse(cut_off)
            await self.fleet.return_from(copy)
            await self.fleet.configure_in_force(self.fleet.proxies)

        self.play(steps)

    def test_full_reads_are_few(self):
        """Guards against full reads without a pause, refused for all."""

        async def steps():
            copy = await self.lose_versions()
            before = self.fleet.calls()
            await self.fleet.return_from(copy)
            await asyncio.sleep(2.0)
            reads = (self.fleet.calls() - before)['GET /-/kv-range']
            # Three entries a page.
            pages = -(-len(self.store.items) // 3)
            self.assertLessEqual(reads, MAX_FULL_READS * pages * PROXIES)

        self.play(steps)


class ClientTest(ReturnTest):
    """Answers of two eras are never combined."""

    def setUp(self):
        """Use the key of a value that is not in the copy."""
        super().setUp()
        self.key = directories.OWN_PREFIX + 'block'

    async def notice(self, client) -> None:
        """Have a client learn of the newest era."""
        await client.get('op/config')
        self.assertEqual(self.store.era, client.era)

    def test_late_answer(self):
        """Guards against a lost value that replaces a newer one."""

        async def steps():
            client = self.fleet.proxies[0].client
            copy = self.store.copy()
            await self.store.put(self.key, '1')
            self.store.slow_s = 0.3
            late = asyncio.create_task(client.get(self.key))
            await asyncio.sleep(0.1)
            self.store.slow_s = 0.0
            await self.store.restore(copy)
            await self.notice(client)
            self.assertIsInstance(await late, key_value.Unavailable)

        self.play(steps, 1)

    def test_pages_of_two_eras(self):
        """Guards against a list that never was."""

        async def steps():
            client = self.fleet.proxies[0].client
            for number in range(8):
                await self.fleet.list_upstream(f'u{number}')
            copy = self.store.copy()
            call = client._call

            async def restore_after_the_first(*arguments, **options):
                reply = await call(*arguments, **options)
                if self.store.era == 1:
                    await self.store.restore(copy)
                return reply

            client._call = restore_after_the_first
            answer = await client.read_all('servers/')
            self.assertIsInstance(answer, key_value.Unavailable)

        self.play(steps, 1)

    def test_write_at_a_revision_given_out_again(self):
        """Guards against replacing a value that was not read."""

        async def steps():
            client = self.fleet.proxies[0].client
            copy = self.store.copy()
            await self.store.put(self.key, 'read')
            read = await client.get(self.key)
            await self.store.restore(copy)
            while self.store.revision < revisions.number_of(read.revision):
                await self.store.put(self.key, 'not read')
            await self.notice(client)
            value = key_value.Value(self.key, 'mine', read.revision)
            written = await client.put_all((value,))
            self.assertIsInstance(written, key_value.Conflict)
            self.assertEqual('not read', self.store.value(self.key))
            read = await client.get(self.key)
            value = key_value.Value(self.key, 'mine', read.revision)
            written = await client.put_all((value,))
            self.assertIsInstance(written, key_value.Written)
            self.assertGreater(written.revision, read.revision)

        self.play(steps, 1)

    def test_watch_of_an_era_that_peers_have_seen(self):
        """Guards against an answer sent before the store's return."""

        async def steps():
            client = self.fleet.proxies[0].client
            since = revisions.in_era(2, 1)
            answer = await client.changes('', since, 0)
            self.assertIsInstance(answer, key_value.Unavailable)
            await self.store.restore(self.store.copy())
            answer = await client.changes('', since, 0)
            self.assertIsInstance(answer, key_value.Changes)

        self.play(steps, 1)

    def test_store_without_an_era(self):
        """It is followed as before."""

        async def steps():
            client = stores.StoreClient(
                f'127.0.0.1:{self.fleet.proxies[0].store_port}'
            )
            self.addCleanup(client.close)
            self.store.era = None
            read = await client.read_all('')
            self.assertEqual(self.store.revision, read.upto)

        self.play(steps, 1)


class ListingTest(ReturnTest):
    """Entries of upstreams and proxies are in the list after a return."""

    def roles(self, name: str) -> set[str]:
        """Return an upstream's role at all proxies."""
        return {
            str(p.directory.listing.upstreams[f'servers/{name}'].upstream.role)
            for p in self.fleet.proxies
        }

    async def listed(self, name: str) -> None:
        """Wait until all proxies list an upstream."""
        await returning_store.until(
            lambda: all(
                f'servers/{name}' in p.directory.listing.upstreams
                for p in self.fleet.proxies
            )
        )

    def test_upstream_that_reports_another_role(self):
        """Guards against a new primary that nobody sees."""

        async def steps():
            await self.fleet.list_upstream('u1')
            await self.listed('u1')
            copy = await self.lose_versions()
            await self.fleet.return_from(copy)
            more = {'db-role': 'primary', 'sequence': 2}
            await self.fleet.list_upstream('u1', **more)
            await returning_store.until(
                lambda: self.roles('u1') == {'primary'}
            )

        self.play(steps)

    def test_upstream_written_again_at_a_lower_revision(self):
        """Guards against an upstream whose later role is ignored."""

        async def steps():
            await self.fleet.list_upstream('u1', sequence=1)
            await self.listed('u1')
            copy = await self.lose_versions()
            more = {'db-role': 'primary', 'sequence': 2}
            await self.fleet.list_upstream('u1', **more)
            await returning_store.until(
                lambda: self.roles('u1') == {'primary'}
            )
            await self.fleet.return_from(copy)
            await self.fleet.list_upstream('u1', sequence=3)
            await returning_store.until(
                lambda: self.roles('u1') == {'replica'}
            )

        self.play(steps)

    def test_leaving_upstream_whose_older_entry_is_back(self):
        """Guards against new work for an upstream that is leaving.

        The copy has its entry from before it announced that; it announces it
        again a moment after the return.
        """

        async def steps():
            more = {'sequence': 4}
            await self.fleet.list_upstream('u1', **more)
            await self.listed('u1')
            copy = await self.lose_versions(1)
            more = {'state': 'draining', 'sequence': 5}
            await self.fleet.list_upstream('u1', **more)
            key = 'servers/u1'
            leaving = [p.directory.listing for p in self.fleet.proxies]
            await returning_store.until(
                lambda: all(key in each.leaving_since_ms for each in leaving)
            )
            with mock.patch.object(
                returning_store.fake_store,
                'REWRITTEN_PREFIXES',
                ('op/',),
            ):
                await self.fleet.return_from(copy)
            await self.fleet.configure_in_force(self.fleet.proxies)
            for listing in leaving:
                self.assertIn(key, listing.leaving_since_ms)
            more = {'state': 'ready', 'sequence': 1, 'born': 2}
            await self.fleet.list_upstream('u1', **more)
            await returning_store.until(
                lambda: (
                    not any(key in each.leaving_since_ms for each in leaving)
                )
            )

        self.play(steps)

    def test_leaving_upstream_that_the_copy_does_not_have(self):
        """Guards against a longer drain of one that is listed again."""

        async def steps():
            copy = self.store.copy()
            more = {'state': 'draining', 'sequence': 5}
            await self.fleet.list_upstream('u1', **more)
            await self.listed('u1')
            listings = [p.directory.listing for p in self.fleet.proxies]
            key = 'servers/u1'
            since_ms = [each.leaving_since_ms[key] for each in listings]
            with mock.patch.object(
                returning_store.fake_store, 'REWRITTEN_PREFIXES', ('op/',)
            ):
                await self.fleet.return_from(copy)
            await returning_store.until(
                lambda: all(key in each.missing_since_ms for each in listings)
            )
            await self.fleet.list_upstream('u1', **more)
            await returning_store.until(
                lambda: not any(each.missing_since_ms for each in listings)
            )
            self.assertEqual(
                since_ms, [each.leaving_since_ms[key] for each in listings]
            )

        self.play(steps)

    def test_proxy_that_the_copy_does_not_have(self):
        """Guards against an owner that the others take for gone."""

        async def steps():
            copy = self.store.copy()
            for key in list(copy.items):
                if key.startswith(directories.PROXY_PREFIX):
                    del copy.items[key]
            copy.leases.clear()
            await self.fleet.return_from(copy)
            await returning_store.until(
                lambda: (
                    sum(
                        key.startswith(directories.PROXY_PREFIX)
                        for key in self.store.items
                    )
                    == PROXIES
                )
            )
            await returning_store.until(self.fleet.are_listed)

        self.play(steps)

    def test_entry_that_is_gone_while_its_lease_is_not(self):
        """Guards against a renewal that hides a missing entry."""

        async def steps():
            copy = self.store.copy()
            for key in list(copy.items):
                if key.startswith(directories.PROXY_PREFIX):
                    del copy.items[key]
            await self.fleet.return_from(copy)
            await returning_store.until(
                lambda: f'{directories.PROXY_PREFIX}p0' in self.store.items
            )

        self.play(steps)


class PromotionLeaseTest(ReturnTest):
    """Tokens only grow, and there is one holder."""

    async def acquire(self) -> returning_store.Proxy:
        """Start the leases of all proxies; return the holder."""
        for proxy in self.fleet.proxies:
            proxy.promotion_lease.start()
        await returning_store.until(
            lambda: len(self.fleet.holders()) == 1, 5.0
        )
        return self.fleet.holders()[0]

    def tokens(self) -> list[int]:
        """Return all tokens in the order in which they were given."""
        gains = [each for proxy in self.fleet.proxies for each in proxy.gains]
        return [token for _, token in sorted(gains)]

    def test_lease_that_the_copy_does_not_have(self):
        """Guards against two holders with the same tokens, and against none.

        The block of tokens is given out again, and the platform refuses the
        tokens that an earlier holder has used.
        """

        async def steps():
            copy = self.store.copy()
            await self.acquire()
            await self.fleet.return_from(copy)
            await returning_store.until(lambda: len(self.tokens()) >= 2, 6.0)
            first, second, *_ = self.tokens()
            self.assertLess(first, second)
            await returning_store.until(lambda: len(self.fleet.holders()) == 1)

        self.play(steps)

    def test_lease_that_the_copy_has(self):
        """Guards against a holder whose tokens a later one has passed.

        The copy names a holder that has lost its lease since; the later
        holder is cut off, and has used higher tokens.
        """

        async def steps():
            early = await self.acquire()
            copy = self.store.copy()
            early.promotion_lease.yield_lease('test')
            await returning_store.until(
                lambda: (
                    early not in self.fleet.holders() and self.fleet.holders()
                ),
                5.0,
            )
            late = self.fleet.holders()[0]
            self.fleet.refuse(late)
            highest = max(self.tokens())
            await self.fleet.return_from(copy)
            await returning_store.until(
                lambda: max(self.tokens()) > highest, 8.0
            )
            holder = [
                p
                for p in self.fleet.proxies
                if max(self.tokens()) in [token for _, token in p.gains]
            ]
            await returning_store.until(lambda: self.fleet.holders() == holder)

        self.play(steps)

    def test_nobody_acquires_it_while_an_earlier_holder_may_hold_it(self):
        """Guards against a holder beside one whose lease has not ended."""

        async def steps():
            copy = self.store.copy()
            late = await self.acquire()
            self.fleet.refuse(late)
            begin_s = asyncio.get_running_loop().time()
            until_ms = late.promotion_lease.valid_until_ms
            await self.fleet.return_from(copy, 0.05)
            others = [p for p in self.fleet.proxies if p is not late]
            await returning_store.until(
                lambda: any(p.gains for p in others), 6.0
            )
            gained_s = min(s for p in others for s, _ in p.gains)
            ttl_s = promotion_leases.TTL_MS / 1000
            self.assertGreater(gained_s - begin_s, ttl_s)
            self.assertGreater(until_ms, 0)

        self.play(steps)

    def test_holder_that_the_copy_has_pauses_too(self):
        """Guards against a promotion on a list that lacks a member.

        A member that this proxy has not seen may have confirmed writes; it is
        listed again about two seconds after the return.
        """

        async def steps():
            holder = await self.acquire()
            copy = self.store.copy()
            begin_s = asyncio.get_running_loop().time()
            await self.fleet.return_from(copy, 0.05)
            await returning_store.until(lambda: len(self.tokens()) > 1, 6.0)
            gained_s = max(s for p in self.fleet.proxies for s, _ in p.gains)
            pause_s = promotion_leases.RETURN_PAUSE_MS / 1000
            self.assertGreater(gained_s - begin_s, pause_s)
            self.assertTrue(holder.gains)

        self.play(steps)

    def test_order_after_a_return_that_was_not_noticed(self):
        """Guards against an order with the tokens of an earlier history."""

        async def steps():
            holder = await self.acquire()
            copy = self.store.copy()
            # The watch of the store gets no answer any more.
            for task in holder.directory.tasks:
                task.cancel()
            holder.promotion_lease.task.cancel()
            await self.fleet.return_from(copy)
            found = self.fleet.stored(promotion_leases.LEASE_KEY)
            self.assertEqual(f'{holder.name}-a', found['holder'])
            self.assertFalse(await holder.promotion_lease.verify_holder())

        self.play(steps)

    def test_proxy_that_starts_after_the_return(self):
        """Guards against a promotion on a list that lacks a member.

        The proxy cannot know that the store has just returned.
        """

        async def steps():
            holder = await self.acquire()
            copy = self.store.copy()
            del copy.items[promotion_leases.LEASE_KEY]
            await holder.close()
            await self.fleet.return_from(copy, 0.05)
            begin_s = asyncio.get_running_loop().time()
            (port,) = ports.find_free_ports(1)
            late = returning_store.Proxy('late', port, holder.store_port, 3000)
            late.start()
            late.promotion_lease.start()
            self.fleet.proxies.append(late)
            await returning_store.until(lambda: late.gains, 6.0)
            pause_s = promotion_leases.RETURN_PAUSE_MS / 1000
            self.assertGreater(late.gains[0][0] - begin_s, pause_s)

        self.play(steps, 1)

    def test_recheck_after_a_return(self):
        """Guards against a holder confirmed by the lost history."""

        async def steps():
            holder = await self.acquire()
            copy = self.store.copy()
            for task in holder.directory.tasks:
                task.cancel()
            holder.promotion_lease.task.cancel()
            await self.fleet.return_from(copy, 0.05)
            await holder.promotion_lease._recheck()
            self.assertFalse(holder.promotion_lease.holds)
            self.assertEqual(1, len(holder.gains))

        self.play(steps)

    def test_order_of_a_holder_that_only_peers_can_tell(self):
        """Guards against a holder cut off beside one of the new era."""

        async def steps():
            copy = self.store.copy()
            holder = await self.acquire()
            self.fleet.refuse(holder)
            for task in holder.directory.tasks:
                task.cancel()
            holder.promotion_lease.task.cancel()
            await self.fleet.return_from(copy)
            others = [p for p in self.fleet.proxies if p is not holder]
            await returning_store.until(
                lambda: all(
                    revisions.era_of(p.directory.known.seen) == 2
                    for p in others
                )
            )
            holder.directory.unavailable_since_ms = 1
            self.assertFalse(await holder.promotion_lease.verify_holder())

        self.play(steps, 8)

    def test_token_of_an_earlier_era(self):
        """Guards against a token that is written after the return."""

        async def steps():
            copy = self.store.copy()
            proxy = self.fleet.proxies[0]
            lease = proxy.promotion_lease
            lease.jitter_s = 0.0
            put_all = proxy.client.put_all

            async def put_after_a_return(values):
                # The lease that was just created is in the copy.
                copy.leases.update(self.store.leases)
                await self.store.restore(copy)
                return await put_all(values)

            proxy.client.put_all = put_after_a_return
            await lease._try_acquire()
            self.assertFalse(lease.holds)
            self.assertEqual([], proxy.gains)
            await returning_store.until(
                lambda: self.fleet.stored(promotion_leases.LEASE_KEY) is None
            )

        self.play(steps, 1)
