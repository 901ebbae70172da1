"""Test that the fake store's watches report every change.

Guards against a fake that answered a timed-out watch with the current
revision but the events read earlier. If a proxy was listed at that moment, the
follower continued from the new revision and neither it nor the proxies that
poll it ever received that entry. As a result six proxies did not select two
owners within 10 s, in one of two full runs beside two large load tests and in
one of eight beside 90 busy processes. A proxy that receives a revision without
a change logs nothing, and the logs of the follower and of both proxies polling
it ended with the preceding entry, while those polling the second follower
received the entry 0.1 s after it was listed.
"""

import asyncio
import time

import testtools

from topazring.bench import ports
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
