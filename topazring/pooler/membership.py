"""Keep this proxy listed while it runs, so that others compute their share."""

import asyncio
import collections.abc
import random

import msgspec

from topazring.core import revisions
from topazring import key_value
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.plumbing import supervision
from topazring.pooler import directory as directories
from topazring.pooler import proxy_entries
from topazring.pooler import proxy_history

__all__ = ['Membership']

# A dead proxy is counted for this long; meanwhile the others use slightly less
# than they could. Renewals are calls that are paid for, so they are rare.
TTL_MS = proxy_history.ENTRY_TTL_MS
RENEW_INTERVAL_S = 10.0
RETRY_S = 1.0
# After the store has lost entries, all proxies write theirs; the store takes
# several hundred writes a second.
RELIST_INTERVAL_S = 0.005
# The directory's first read takes some ten milliseconds. After it a restarted
# proxy has its predecessor's entry and needs two calls less to replace it.
FIRST_READ_TIMEOUT_S = 0.3
# The store measures a lease with a clock of its own, which may run faster.
CLOCK_DRIFT_MARGIN_MS = 1000


class Membership:
    """Hold the lease under which this proxy is listed."""

    def __init__(
        self,
        name: str,
        value: proxy_entries.ProxyValue,
        store: key_value.Store,
        directory: directories.Directory,
        log: events.EventLog,
        on_change: collections.abc.Callable[[int], None],
    ):
        self.key = directories.PROXY_PREFIX + name
        self.value = msgspec.json.encode(value).decode()
        self.store = store
        self.directory = directory
        self.log = log
        # Receives the time until which this proxy is surely listed, 0 if it
        # may not be.
        self.on_change = on_change
        self.lease = 0
        # Of the last write of the entry.
        self.revision = 0
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Start listing this proxy."""
        self.task = supervision.start('membership', self._run, self.log)

    async def close(self) -> None:
        """Remove this proxy from the list."""
        if self.task is not None:
            self.task.cancel()
        lease, self.lease = self.lease, 0
        if lease:
            self.on_change(0)
            await self.store.end(lease)

    async def _run(self) -> None:
        try:
            async with asyncio.timeout(FIRST_READ_TIMEOUT_S):
                await self.directory.first_read.wait()
        except TimeoutError:
            self.log.emit(
                'membership', 'registering before the first read of the store'
            )
        while True:
            if not self.lease:
                await self._register()
            if not self.lease:
                await asyncio.sleep(RETRY_S)
                continue
            if await self._wait_for_new_era():
                await self._check_entry()
            if self.lease:
                await self._renew()

    async def _wait_for_new_era(self) -> bool:
        """Wait for the next renewal; return whether a new era has begun."""
        era = revisions.era_of(self.revision)
        try:
            async with asyncio.timeout(RENEW_INTERVAL_S):
                await self.directory.wait_for_era_after(era)
        except TimeoutError:
            return False
        return True

    async def _check_entry(self) -> None:
        """Give up an entry that the store's copy does not have.

        The store may still have its lease, so renewals would not show it.
        """
        listed = self.directory.own_value(self.key)
        if listed is not None and listed.value == self.value:
            self.revision = listed.revision
            return
        self.log.emit('membership', 'entry lost by the store')
        self._give_up()
        proxies = len(self.directory.listing.proxies)
        await asyncio.sleep(random.uniform(0, proxies * RELIST_INTERVAL_S))

    def _give_up(self) -> None:
        self.lease = 0
        self.on_change(0)

    async def _renew(self) -> None:
        sent_ms = clock.boottime_ms()
        answer = await self.store.renew_lease(self.lease)
        if isinstance(answer, key_value.Missing) or self._is_removed():
            self._give_up()
        elif isinstance(answer, key_value.Leased):
            self._report_validity(sent_ms, answer)

    def _is_removed(self) -> bool:
        """Return whether the entry has ended, as under an earlier lease."""
        has_read = self.directory.known.seen >= self.revision
        return has_read and self.directory.own_value(self.key) is None

    def _report_validity(self, sent_ms: int, leased: key_value.Leased) -> None:
        ttl_ms = min(leased.ttl_ms, TTL_MS)
        # An old list may name upstreams that are no longer members.
        since_ms = min(sent_ms, self.directory.confirmed_ms)
        self.on_change(max(0, since_ms + ttl_ms - CLOCK_DRIFT_MARGIN_MS))

    async def _register(self) -> None:
        sent_ms = clock.boottime_ms()
        leased = await self.store.lease(TTL_MS)
        if not isinstance(leased, key_value.Leased):
            return
        previous = self.directory.own_value(self.key)
        revision = previous.revision if previous else 0
        written = await self._write(leased.lease, revision)
        if isinstance(written, key_value.Conflict):
            # A predecessor's entry was listed, or it expired, since the read.
            answer = await self.store.get(self.key)
            if isinstance(answer, key_value.Found):
                written = await self._write(leased.lease, answer.revision)
            elif isinstance(answer, key_value.Missing):
                written = await self._write(leased.lease, 0)
        if isinstance(written, key_value.Written):
            self.lease = leased.lease
            self.revision = written.revision
            self._report_validity(sent_ms, leased)
            self.log.emit('membership', 'listed')

    async def _write(self, lease: int, revision: int):
        value = key_value.Value(self.key, self.value, revision, lease)
        return await self.store.put_all((value,))
