"""Run the directories of one data centre's proxies against a fake store."""

import asyncio
import contextlib
import types

import msgspec

from topazring.bench import ports
from topazring.core import revisions
from topazring.core.synchronous import listing as listings
from topazring import key_value
from topazring.plumbing import events
from topazring.pooler import directory as directories
from topazring.pooler import follower_client
from topazring.pooler import peers
from topazring.pooler import proxy_entries

CENTRE = 'cork'
CONFIGURATION = 'configuration'
# A change has to be in force within this time.
IN_FORCE_MS = 900
STARTS_S = 20.0


class Service:
    """Fake store with revisions; drops its history on demand."""

    def __init__(self):
        self.revision = 0
        self.values: dict[str, revisions.Change] = {}
        self.history: list[revisions.Change] = []
        self.history_from = 0
        self.changed = asyncio.Condition()

    async def put(self, key: str, value: str | None) -> None:
        """Write a key, or remove it."""
        self.revision += 1
        change = revisions.Change(key, self.revision, value)
        self.history.append(change)
        if value is None:
            self.values.pop(key, None)
        else:
            self.values[key] = change
        async with self.changed:
            self.changed.notify_all()

    def forget(self) -> None:
        """Drop the whole history."""
        self.history.clear()
        self.history_from = self.revision


class Client:
    """Store client of one proxy; counts its calls."""

    def __init__(self, service: Service):
        self.service = service
        self.era = 0
        self.bad_answers = 0
        # The store refuses its calls.
        self.is_unavailable = False
        # Its calls get no answer.
        self.is_unresponsive = False
        self.reads = 0
        self.watches = 0

    async def read_all(self, prefix):
        """Return all values."""
        self.reads += 1
        if self.is_unavailable or self.is_unresponsive:
            return key_value.Unavailable('turned away')
        found = list(self.service.values.values())
        return key_value.Changes(0, self.service.revision, found)

    async def changes(self, prefix, since, wait_ms):
        """Return changes, waiting for the first."""
        self.watches += 1
        service = self.service
        if self.is_unavailable:
            return key_value.Unavailable('turned away')
        if since < service.history_from:
            return key_value.HistoryCompacted()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000), service.changed:
                await service.changed.wait_for(
                    lambda: (
                        service.revision > since and not self.is_unresponsive
                    )
                )
        if self.is_unresponsive:
            return key_value.Unavailable('no answer in time')
        if since < service.history_from:
            return key_value.HistoryCompacted()
        later = [c for c in service.history if c.revision > since]
        return key_value.Changes(since, service.revision, later)


class Proxy:
    """One proxy's directory, and the server for its peers."""

    def __init__(self, name: str, port: int, service: Service):
        self.name = name
        self.address = f'127.0.0.1:{port}'
        self.client = Client(service)
        self.log = events.EventLog(name)
        self.versions: list[int] = []
        self.is_paused = False
        asker = peers.PeerClient((), self.address, self.log)
        self.directory = directories.Directory(
            types.SimpleNamespace(
                store=self.client,
                decode=_decode,
                redact=lambda key, value: value,
            ),
            asker,
            follower_client.FollowerClient(
                name, CENTRE, asker, self.log, IN_FORCE_MS
            ),
            self.log,
            self.record_version,
        )
        self.server = peers.Server(self.changes_after)

    async def changes_after(
        self, after: int, wait_ms: int, knows_eras: bool = True
    ) -> peers.PeerAnswer:
        """Return changes to a peer, not before a pause has ended."""
        answer = await self.directory.changes_after(after, wait_ms, knows_eras)
        while self.is_paused:
            await asyncio.sleep(0.02)
        return answer

    def record_version(self, services: set[str]) -> None:
        """Record the version that is in force."""
        self.versions.append(self.version)

    @property
    def version(self) -> int:
        """Return the version in force, 0 if none is."""
        configuration = self.directory.listing.configuration
        return 0 if configuration is None else configuration.version

    @property
    def follows(self) -> bool:
        """Return whether it reads the store itself."""
        return self.directory.follows

    def start(self) -> None:
        """Start the peer server and the directory."""
        self.server.start(self.address)
        self.directory.start()

    def end(self) -> None:
        """Stop abruptly, as a killed process does."""
        self.directory.close()
        self.server.close()
        for connection in list(self.server.server._connections):
            connection.stream.close()


def _decode(key: str, value: str, revision: int) -> listings.Record | None:
    if key != CONFIGURATION:
        return None
    return listings.Configuration(int(value), {}, {'s': 3})


class Fleet:
    """Proxies of one data centre and their store."""

    def __init__(self, count: int):
        self.service = Service()
        self.version = 0
        self.proxies = [
            Proxy(f'p{number}', port, self.service)
            for number, port in enumerate(ports.find_free_ports(count))
        ]

    async def start(self) -> None:
        """List all proxies; wait until each has a source and the version."""
        for proxy in self.proxies:
            value = proxy_entries.ProxyValue(CENTRE, proxy.address)
            key = directories.PROXY_PREFIX + proxy.name
            await self.service.put(key, msgspec.json.encode(value).decode())
        await self.configure()
        for proxy in self.proxies:
            proxy.start()
        # A start has no time limit of its own, and a busy machine is slow.
        await until(lambda: self.have_newest(self.proxies), STARTS_S)
        most = len(self.proxies) - 2
        await until(lambda: len(self.readers()) == most, STARTS_S)

    def close(self) -> None:
        """Stop all proxies."""
        for proxy in self.proxies:
            proxy.end()

    def followers(self) -> list[Proxy]:
        """Return the proxies that read the store."""
        return [proxy for proxy in self.proxies if proxy.follows]

    def readers(self) -> list[Proxy]:
        """Return the proxies that read from a follower."""
        return [p for p in self.proxies if p.directory.follower_client.source]

    async def configure(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        await self.service.put(CONFIGURATION, str(self.version))

    async def in_force(self, proxies: list[Proxy]) -> None:
        """Wait until the newest version is in force, within its time limit."""
        within_s = IN_FORCE_MS / 1000
        await until(lambda: self.have_newest(proxies), within_s)

    def have_newest(self, proxies: list[Proxy]) -> bool:
        """Return whether the newest version is in force at all of them."""
        return all(proxy.version == self.version for proxy in proxies)


async def until(holds, within_s: float = 3.0) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(within_s):
        while not holds():
            await asyncio.sleep(0.01)
