"""Test that the fake store reports every change, and receives orders.

`WatchTest` guards against a fake that answered a timed-out watch with the
current revision but the events read earlier. If a proxy was listed at that
moment, the follower continued from the new revision and neither it nor the
proxies that poll it ever received that entry. As a result six proxies did not
select two owners within 10 s, in one of two full runs beside two large load
tests and in one of eight beside 90 busy processes. A proxy that receives a
revision without a change logs nothing, and the logs of the follower and of
both proxies polling it ended with the preceding entry, while those polling the
second follower received the entry 0.1 s after it was listed.
"""

import asyncio
import time

import testtools

from topazring.bench import ports
from topazring.core.synchronous import messages
from topazring.platform import orders
from topazring.platform import store as stores
from topazring.platform.tests import fake_store

WAIT_MS = 100


class WatchTest(testtools.TestCase):
    """A watch returns all changes up to the revision that it reports."""

    def test_change_as_a_watch_times_out(self):
        asyncio.run(self.change_as_it_ends())

    async def change_as_it_ends(self):
        fake = fake_store.FakeStore()
        # Revisions count the changes.
        fake.era = None
        (port,) = ports.find_free_ports(1)
        fake.start([port])
        client = stores.StoreClient(f'127.0.0.1:{port}')
        try:
            watch = asyncio.create_task(client.changes('', 0, WAIT_MS))
            # Block the event loop until the watch has timed out, so that the
            # change and the timeout are processed together.
            loop = asyncio.get_running_loop()
            loop.call_later(WAIT_MS / 2000, time.sleep, WAIT_MS * 2 / 1000)
            await asyncio.sleep(WAIT_MS * 0.9 / 1000)
            await fake.put('servers/a', 'here')
            changes = await watch
            self.assertEqual(changes.upto, len(changes.changes), changes)
        finally:
            client.close()
            fake.close()


class OrdersTest(testtools.TestCase):
    """A platform that checks tokens, and one that does not."""

    def run_steps(self, steps) -> None:
        """Run steps with a store that notes whom it promotes."""
        asyncio.run(self._run_steps(steps))

    async def _run_steps(self, steps) -> None:
        self.fake = fake_store.FakeStore()
        self.promoted: list[str] = []
        self.fake.promote = self.promote
        (port,) = ports.find_free_ports(1)
        self.fake.start([port])
        self.client = orders.OrdersClient(f'127.0.0.1:{port}')
        try:
            await steps()
        finally:
            self.client.close()
            self.fake.close()

    def promote(self, service: str, upstream: str) -> bool:
        self.promoted.append(upstream)
        return True

    async def order(self, upstream: str, token: int) -> messages.OrderResult:
        """Send an order; return its answer."""
        return await self.client.promote('db', upstream, 'p1', token)

    def test_lower_token(self):
        """Guards against a platform that checks what it should not."""
        self.run_steps(self.lower_token)

    async def lower_token(self):
        accepted = messages.OrderResult.ACCEPTED
        self.assertEqual(accepted, await self.order('u1', 7))
        refused = await self.order('u2', 6)
        self.assertEqual(messages.OrderResult.REFUSED, refused)
        self.assertEqual([], self.fake.violations)
        self.fake.checks_tokens = False
        self.assertEqual(accepted, await self.order('u1', 7))
        self.assertEqual([], self.fake.violations)
        self.assertEqual(accepted, await self.order('u3', 6))
        self.assertEqual(1, len(self.fake.violations))
        self.assertEqual(['u1', 'u1', 'u3'], self.promoted)

    def test_late_order(self):
        """Guards against an order that is carried out at once, or never."""
        self.run_steps(self.late_order)

    async def late_order(self):
        late_s = orders.ORDER_TIMEOUT_S * 2
        self.fake.late_orders_s = [late_s]
        unanswered = await self.order('u1', 1)
        self.assertEqual(messages.OrderResult.UNANSWERED, unanswered)
        await self.order('u2', 2)
        self.assertEqual(['u2'], self.promoted)
        await asyncio.sleep(late_s)
        self.assertEqual(['u2', 'u1'], self.promoted)
