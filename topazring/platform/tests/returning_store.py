"""Run parts of proxies before a store that returns from an older copy."""

import asyncio
import collections
import json
import logging
import types

from topazring.bench import ports
from topazring.platform import records
from topazring.platform import store as stores
from topazring.platform.tests import fake_store
from topazring.plumbing import events
from topazring.pooler import directory as directories
from topazring.pooler import follower_client
from topazring.pooler import membership as memberships
from topazring.pooler import peers
from topazring.pooler import promotion_lease as promotion_leases
from topazring.pooler import proxy_entries

CENTRE = 'cork'
CONFIGURATION_KEY = 'op/config'
# A change has to be in force within this time.
IN_FORCE_S = 3.0
# The store is away for so long before it returns.
AWAY_S = 0.3
LEASE_TICK_S = 0.05

# The store is called many times per second and made to fail on purpose.
logging.getLogger('tornado.access').setLevel(logging.CRITICAL)


class Store(fake_store.FakeStore):
    """Expire leases that are not renewed."""

    def __init__(self):
        super().__init__()
        self.renewed_s: dict[int, float] = {}

    def renew(self, lease: int) -> None:
        """Record a new or renewed lease."""
        self.renewed_s[lease] = asyncio.get_running_loop().time()

    async def expire_leases(self) -> None:
        """End expired leases, forever."""
        while True:
            await asyncio.sleep(LEASE_TICK_S)
            now_s = asyncio.get_running_loop().time()
            for lease, ttl_ms in list(self.leases.items()):
                if now_s - self.renewed_s[lease] > ttl_ms / 1000:
                    await self.end_lease(lease)


class Proxy:
    """The parts of a proxy that call the store."""

    def __init__(
        self, name: str, peer_port: int, store_port: int, config_apply_ms: int
    ):
        self.name = name
        self.address = f'127.0.0.1:{peer_port}'
        self.store_port = store_port
        self.client = stores.StoreClient(f'127.0.0.1:{store_port}')
        self.log = events.EventLog(name)
        asker = peers.PeerClient((), self.address, self.log)
        self.directory = directories.Directory(
            types.SimpleNamespace(
                store=self.client,
                decode=records.decode,
                redact=records.redact,
            ),
            asker,
            follower_client.FollowerClient(
                name, CENTRE, asker, self.log, config_apply_ms
            ),
            self.log,
            lambda services: None,
        )
        self.server = peers.Server(self.directory.changes_after)
        self.membership = memberships.Membership(
            name,
            proxy_entries.ProxyValue(
                CENTRE, self.address, incarnation=f'{name}-a'
            ),
            self.client,
            self.directory,
            self.log,
            lambda until_ms: None,
        )
        # Each token that it was given, with the time in seconds.
        self.gains: list[tuple[float, int]] = []
        self.promotion_lease = promotion_leases.PromotionLease(
            f'{name}-a',
            self.client,
            self.directory,
            self.log,
            self._record_lease,
        )

    def _record_lease(self, holds: bool, token: int) -> None:
        if holds:
            now_s = asyncio.get_running_loop().time()
            self.gains.append((now_s, token))

    @property
    def version(self) -> int:
        """Return the version in force, 0 if none is."""
        configuration = self.directory.listing.configuration
        return 0 if configuration is None else configuration.version

    def start(self) -> None:
        """Start following the store, and enter the list."""
        self.server.start(self.address)
        self.directory.start()
        self.membership.start()

    async def close(self) -> None:
        """Stop abruptly, as a killed process does."""
        for task in (self.membership.task, self.promotion_lease.task):
            if task is not None:
                task.cancel()
        self.directory.close()
        self.server.close()
        self.client.close()


class Fleet:
    """Proxies of one data centre before a store that may return older."""

    def __init__(self, count: int):
        self.store = Store()
        self.count = count
        self.version = 0
        self.proxies: list[Proxy] = []
        self.expiry: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the store and the proxies; wait until all have read it."""
        numbers = ports.find_free_ports(2 * self.count)
        self.store.start(numbers[: self.count])
        self.expiry = asyncio.create_task(self.store.expire_leases())
        await self.configure()
        for number in range(self.count):
            proxy = Proxy(
                f'p{number}',
                numbers[self.count + number],
                numbers[number],
                round(IN_FORCE_S * 1000),
            )
            self.proxies.append(proxy)
            proxy.start()
        await until(self.are_listed, 20.0)

    async def close(self) -> None:
        """Stop everything."""
        self.expiry.cancel()
        for proxy in self.proxies:
            await proxy.close()
        self.store.close()

    def are_listed(self) -> bool:
        """Return whether each proxy lists all of them."""
        names = {proxy.name for proxy in self.proxies}
        return all(
            names <= {r.name for r in p.directory.listing.proxies.values()}
            and not p.directory.listing.missing_since_ms
            and p.version == self.version
            for p in self.proxies
        )

    async def configure(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        service = {'name': 's', 'max-conns': 23}
        await self.store.put_json(
            CONFIGURATION_KEY, {'version': self.version, 'services': [service]}
        )

    async def configure_in_force(self, proxies: list[Proxy]) -> None:
        """Write the next version; wait until it is in force at proxies."""
        await self.configure()
        version = self.version
        await until(lambda: all(p.version >= version for p in proxies))

    async def list_upstream(self, name: str, **more) -> None:
        """Write an upstream's entry."""
        entry = {
            'service': 's',
            'address': '127.0.0.1:9',
            'zone': 'here',
            'state': 'ready',
            'db-role': 'replica',
            'born': 1,
        }
        await self.store.put_json(f'servers/{name}', entry | more)

    async def return_from(
        self, copy: fake_store.Copy, away_s: float = AWAY_S
    ) -> None:
        """Have the store away for a moment and return from a copy."""
        self.store.failure_code = 503
        await asyncio.sleep(away_s)
        await self.store.restore(copy)
        self.store.failure_code = 0

    def refuse(self, proxy: Proxy, code: int = 503) -> None:
        """Have the store refuse one proxy, or serve it again with 0."""
        self.store.failure_codes_by_port[proxy.store_port] = code

    def calls(self) -> collections.Counter[str]:
        """Return the calls on the store by kind."""
        return collections.Counter(self.store.calls)

    def holders(self) -> list[Proxy]:
        """Return the proxies that hold the promotion lease."""
        return [p for p in self.proxies if p.promotion_lease.holds]

    def stored(self, key: str) -> dict | None:
        """Return the decoded value of a key in the store."""
        if key not in self.store.items:
            return None
        return json.loads(self.store.value(key))


async def until(holds, within_s: float = IN_FORCE_S) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(within_s):
        while not holds():
            await asyncio.sleep(0.01)
