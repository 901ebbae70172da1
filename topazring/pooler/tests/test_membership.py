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
    """Hold the one entry; remember the calls."""

    def __init__(self, revision: int):
        self.revision = revision
        self.calls: list[str] = []

    async def lease(self, ttl_ms):
        """Begin a lease."""
        self.calls.append('lease')
        return key_value.Leased(7, ttl_ms)

    async def put_all(self, values):
        """Write if the entry is as the caller knows it."""
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
    """After a loss of power each call more is one a proxy of the fleet."""

    def enter(self, store: Store, known: int, read: bool = True) -> int:
        """Enter with what was read before; return the lease."""
        return asyncio.run(self._enter(store, known, read))

    async def _enter(self, store: Store, known: int, read: bool) -> int:
        change = revisions.Change(KEY, known, 'old') if known else None
        directory = types.SimpleNamespace(
            first_read=asyncio.Event(), own=lambda key: change
        )
        if read:
            directory.first_read.set()
        value = directories.ProxyValue('cork')
        log = events.EventLog('p1')
        entering = membership.Membership('p1', value, store, directory, log)
        entering.start()
        async with asyncio.timeout(2):
            while not entering.lease:
                await asyncio.sleep(0.01)
        entering.task.cancel()
        return entering.lease

    def test_predecessors_entry_is_replaced_as_it_was_read(self):
        """No call is refused, and none asks for what is known."""
        store = Store(41)
        self.enter(store, 41)
        self.assertEqual(['lease', 'put'], store.calls)

    def test_entry_that_was_not_read(self):
        """It is looked at after the refusal, as it may be another's."""
        store = Store(41)
        self.enter(store, 0)
        self.assertEqual(['lease', 'put', 'get', 'put'], store.calls)

    def test_entry_that_lapsed_since(self):
        """What was read is gone: its lease has ended meanwhile."""
        store = Store(0)
        self.enter(store, 41)
        self.assertEqual(['lease', 'put', 'get', 'put'], store.calls)

    def test_listed_though_nothing_can_be_read(self):
        """A proxy that knows nothing yet is waited for by others."""
        store = Store(0)
        self.assertEqual(7, self.enter(store, 0, read=False))
