"""Keep this proxy listed while it lives, so that others know their share."""

import asyncio

import msgspec

from topazring import key_value
from topazring.plumbing import events
from topazring.pooler import directory as directories

__all__ = ['Membership']

# A proxy that died counts for so long; meanwhile the others use a little
# less than they could. A renewal is a call, so it is rare.
TTL_MS = 30_000
RENEW_INTERVAL_S = 10.0
RETRY_S = 1.0
# The directory is read in some ten ms. With it a proxy that comes back knows
# its predecessor's entry, and needs two calls less to replace it.
FIRST_READ_TIMEOUT_S = 0.3


class Membership:
    """Hold the lease under which this proxy is listed."""

    def __init__(
        self,
        name: str,
        value: directories.ProxyValue,
        store: key_value.Store,
        directory: directories.Directory,
        log: events.EventLog,
    ):
        self.key = directories.PROXY_PREFIX + name
        self.value = msgspec.json.encode(value).decode()
        self.store = store
        self.directory = directory
        self.log = log
        self.lease = 0
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to be listed."""
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Be listed no more."""
        if self.task is not None:
            self.task.cancel()
        lease, self.lease = self.lease, 0
        if lease:
            await self.store.end(lease)

    async def _run(self) -> None:
        try:
            async with asyncio.timeout(FIRST_READ_TIMEOUT_S):
                await self.directory.first_read.wait()
        except TimeoutError:
            self.log.emit('membership', 'enters before the first read')
        while True:
            if not self.lease:
                await self._enter()
            await asyncio.sleep(RENEW_INTERVAL_S if self.lease else RETRY_S)
            if self.lease:
                answer = await self.store.renew_lease(self.lease)
                if isinstance(answer, key_value.Missing):
                    self.lease = 0

    async def _enter(self) -> None:
        leased = await self.store.lease(TTL_MS)
        if not isinstance(leased, key_value.Leased):
            return
        before = self.directory.own_value(self.key)
        revision = before.revision if before else 0
        written = await self._write(leased.lease, revision)
        if isinstance(written, key_value.Conflict):
            # A predecessor of the same name was listed, or lapsed, since.
            answer = await self.store.get(self.key)
            if isinstance(answer, key_value.Found):
                written = await self._write(leased.lease, answer.revision)
            elif isinstance(answer, key_value.Missing):
                written = await self._write(leased.lease, 0)
        if isinstance(written, key_value.Written):
            self.lease = leased.lease
            self.log.emit('membership', 'listed')

    async def _write(self, lease: int, revision: int):
        value = key_value.Value(self.key, self.value, revision, lease)
        return await self.store.put_all((value,))
