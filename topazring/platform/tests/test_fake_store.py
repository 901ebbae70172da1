"""The tests' own store keeps what a watch promises.

Symptom: six proxies did not settle on two owners within 10 s, in one of two
whole runs beside two large days and in one of eight beside 90 busy processes.
Sequence: a follower's watch of the fake store reaches its time at the moment
in which the last proxy enters itself; the answer names the new revision and
holds no event, so the follower goes on from there. It and whoever hears it
never learn of that proxy. Cause: the fake answered a watch that was over
with the revision of now and the events of before. Proof: a hearer that is
told a revision without a change logs nothing, and the logs of the follower
and of both of its hearers end with the entry before; the others, which hear
the second follower, know of the proxy 0.1 s after it is listed.
"""

import asyncio
import time

import testtools

from topazring.bench import ports
from topazring.platform import store as stores
from topazring.platform.tests import fake_store

WAIT_MS = 100


class WatchTest(testtools.TestCase):
    """A watch tells all changes up to the revision that it names."""

    def test_change_in_the_moment_a_watch_ends(self):
        asyncio.run(self.change_as_it_ends())

    async def change_as_it_ends(self):
        fake = fake_store.FakeStore()
        (port,) = ports.find_free_ports(1)
        fake.start([port])
        client = stores.StoreClient(f'127.0.0.1:{port}')
        try:
            watch = asyncio.create_task(client.changes('', 0, WAIT_MS))
            # The store's process gets no processor time until the watch is
            # over; then the change and the end come in one moment.
            loop = asyncio.get_running_loop()
            loop.call_later(WAIT_MS / 2000, time.sleep, WAIT_MS * 2 / 1000)
            await asyncio.sleep(WAIT_MS * 0.9 / 1000)
            await fake.put('servers/a', 'here')
            told = await watch
            self.assertEqual(told.upto, len(told.changes), told)
        finally:
            client.close()
            fake.close()
