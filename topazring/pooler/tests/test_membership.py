"""List a proxy with as few calls as its predecessor's entry allows."""

import asyncio
import types

import testtools

from topazring.core import revisions
from topazring import key_value
from topazring.plumbing import events
from topazring.pooler import directory as directories
from topazring.pooler import membership

KEY = directories.PROXY_PREFIX + 'p1'


class Store:
    """Fake store of the one entry; records the calls."""

    def __init__(self, revision: int):
        self.revision = revision
        self.calls: list[str] = []

    async def lease(self, ttl_ms):
        """Begin a lease."""
        self.calls.append('lease')
        return key_value.Leased(7, ttl_ms)

    async def put_all(self, values):
        """Write if the entry has the expected revision."""
        self.calls.append('put')
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


class MembershipTest(testtools.TestCase):
    """After a power loss each extra call is made by every proxy of a fleet."""

    def register(self, store: Store, known: int, read: bool = True) -> int:
        """Register after a read of the entry; return the lease."""
        return asyncio.run(self._register(store, known, read))

    async def _register(self, store: Store, known: int, read: bool) -> int:
        change = revisions.Change(KEY, known, 'old') if known else None
        directory = types.SimpleNamespace(
            first_read=asyncio.Event(), own_value=lambda key: change
        )
        if read:
            directory.first_read.set()
        value = directories.ProxyValue('cork')
        log = events.EventLog('p1')
        registration = membership.Membership(
            'p1', value, store, directory, log
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
