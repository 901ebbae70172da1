"""Learn the configuration and the instances, and pass them on.

A few proxies a region watch the platform's service. The others learn from
peers, and ask the service rarely. Whoever learns something new tells a few
peers at once, so a change is everywhere within a few hops.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import random

from topazring import catalogue
from topazring.core import members as membership
from topazring.core import revisions
from topazring import key_value
from topazring import platform_client
from topazring.plumbing import clock
from topazring.plumbing import logs
from topazring.proxy import gossip as gossips
from topazring.proxy import settings

__all__ = ['CONFIGURATION', 'INSTANCES', 'ClusterState']

logger = logs.part_logger('knowledge')

CONFIGURATION = 'configuration'
INSTANCES = 'instances'
GOSSIP_S = 1.0
FANOUT = 3
LEAVING_FANOUT = 8
WATCH_MS = 20_000
POLL_S = 60.0
RETRY_S = 0.5
MOST_RETRY_S = 10.0


@dataclasses.dataclass(slots=True)
class Stream:
    """Hold one stream of revisions and when it was last confirmed."""

    revisions: revisions.Revisions
    # When the service, or a peer that had just asked it, was last heard.
    confirmed_ms: int | None = None


class ClusterState:
    """Own the two streams, the watch on the service and the gossip."""

    def __init__(
        self,
        config: settings.ProxySettings,
        incarnation: str,
        platform: platform_client.PlatformClient,
        changed: collections.abc.Callable[[set[str]], None],
        suspected: collections.abc.Callable[[gossips.Suspicion], None],
    ):
        self.config = config
        self.incarnation = incarnation
        self.platform = platform
        self.changed = changed
        self.suspected = suspected
        self.streams = {
            CONFIGURATION: Stream(revisions.Revisions()),
            INSTANCES: Stream(revisions.Revisions()),
        }
        self.catalogue = catalogue.Catalogue()
        self.members = membership.Members()
        self.listed: dict[str, membership.Member] = {}
        self.leaving_upstreams: frozenset[str] = frozenset()
        self.gossip = gossips.Gossip(
            f'tcp://{config.host}:{config.gossip_port}', self._received
        )
        self.rng = random.Random(incarnation)
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Announce this instance and begin to learn."""
        self.gossip.start()
        self.tasks = [
            asyncio.create_task(self._announce()),
            asyncio.create_task(self._gossip_forever()),
            asyncio.create_task(self._learn_forever(CONFIGURATION)),
            asyncio.create_task(self._learn_forever(INSTANCES)),
        ]

    async def close(self) -> None:
        """Stop learning."""
        for task in self.tasks:
            task.cancel()
        for task in self.tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self.gossip.close()

    def is_ready(self) -> bool:
        """Say whether there is a configuration to act on."""
        return self.streams[CONFIGURATION].revisions.seen > 0

    def seen(self) -> dict[str, int]:
        """Return how far each stream has come."""
        return {n: s.revisions.seen for n, s in self.streams.items()}

    def ages_ms(self) -> dict[str, int | None]:
        """Return how long ago each stream was confirmed to be current."""
        now_ms = clock.monotonic_ms()
        return {
            name: None if s.confirmed_ms is None else now_ms - s.confirmed_ms
            for name, s in self.streams.items()
        }

    def description(self) -> dict:
        """Return this instance as the platform lists it."""
        config = self.config
        return {
            'kind': 'proxy',
            'name': config.name,
            'incarnation': self.incarnation,
            'host': config.host,
            'region': config.region,
            'data_centre': config.data_centre,
            'caller_port': config.caller_port,
            'hop_port': config.hop_port,
            'gossip_port': config.gossip_port,
            'operator_port': config.operator_port,
            'health_port': config.operator_port,
            'state': 'live',
        }

    # ---- the service ----

    async def _announce(self) -> None:
        pause_s = RETRY_S
        while not await self.platform.announce(
            self.config.name, self.description()
        ):
            await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.5))
            pause_s = min(MOST_RETRY_S, pause_s * 2)

    def _watches(self) -> bool:
        """Say whether this proxy is one of the few that watch."""
        watchers = membership.watchers_of(self.members, self.config.region)
        return not watchers or self.config.name in watchers

    async def _learn_forever(self, name: str) -> None:
        """Ask the service: always as a watcher, else rarely.

        After an outage everyone would come back at the same moment. The
        pause grows while the service fails, differs from proxy to proxy,
        and only a success brings it down.
        """
        pause_s = RETRY_S
        while True:
            wait_ms = WATCH_MS if self._watches() else 0
            asked_ms = clock.monotonic_ms()
            found = await self._ask(name, wait_ms)
            if isinstance(found, key_value.Unavailable):
                await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.5))
                pause_s = min(MOST_RETRY_S, pause_s * 2)
                continue
            pause_s = RETRY_S
            self.streams[name].confirmed_ms = max(
                asked_ms, clock.monotonic_ms() - wait_ms
            )
            self._merge(name, found.since, found.upto, found.changes)
            if not self._watches() and not found.more:
                await asyncio.sleep(POLL_S * self.rng.uniform(0.5, 1.5))

    async def _ask(
        self, name: str, wait_ms: int
    ) -> key_value.Changes | key_value.Unavailable:
        since = self.streams[name].revisions.seen
        if name == INSTANCES:
            return await self.platform.instances(since, wait_ms)
        return await self.platform.changes(catalogue.PREFIX, since, wait_ms)

    # ---- peers ----

    async def _gossip_forever(self) -> None:
        while True:
            await asyncio.sleep(GOSSIP_S * self.rng.uniform(0.8, 1.2))
            self._tell(1)

    def _tell(self, count: int) -> None:
        digest = gossips.Digest(
            self.config.name, self.gossip.address, self.seen()
        )
        for address in self._some_peers(count):
            self.gossip.send(address, digest)

    def _some_peers(self, count: int) -> list[str]:
        addresses = [
            _gossip_address(member.host, member.gossip_port)
            for member in self.members.listed.values()
            if member.name != self.config.name
        ]
        if not addresses:
            addresses = [
                _gossip_address(seed.host, seed.port)
                for seed in self.config.seeds
            ]
        return self.rng.sample(addresses, min(count, len(addresses)))

    def _received(self, message: gossips.Message) -> None:
        match message:
            case gossips.Digest():
                self._compare(message)
            case gossips.Delta():
                self._merge(
                    message.stream,
                    message.since,
                    message.upto,
                    message.changes,
                )
            case gossips.Suspicion():
                membership.record_answer(self.members, message.name)
                self.suspected(message)
            case gossips.Leaving():
                self._peer_leaves(message)

    def _compare(self, digest: gossips.Digest) -> None:
        behind = False
        for name, stream in self.streams.items():
            theirs = digest.seen.get(name, 0)
            if theirs < stream.revisions.seen:
                upto, changes = revisions.delta(stream.revisions, theirs)
                self.gossip.send(
                    digest.address,
                    gossips.Delta(
                        self.config.name, name, theirs, upto, changes
                    ),
                )
            behind = behind or theirs > stream.revisions.seen
        if behind:
            own = gossips.Digest(
                self.config.name, self.gossip.address, self.seen()
            )
            self.gossip.send(digest.address, own)

    def _peer_leaves(self, message: gossips.Leaving) -> None:
        news = membership.record_departure(
            self.members, message.name, message.incarnation
        )
        if not news:
            return
        for address in self._some_peers(FANOUT):
            self.gossip.send(address, message)
        self.changed(set())

    def tell_leaving(self) -> None:
        """Tell all peers that this process leaves."""
        message = gossips.Leaving(self.config.name, self.incarnation)
        for address in self._some_peers(LEAVING_FANOUT):
            self.gossip.send(address, message)

    def tell_suspicion(
        self, database: str, owners: tuple[str, ...], term: int, suspects: bool
    ) -> None:
        """Tell the other owners what this one thinks of the primary."""
        message = gossips.Suspicion(self.config.name, database, term, suspects)
        for name in owners:
            member = self.members.listed.get(name)
            if member is not None and name != self.config.name:
                address = _gossip_address(member.host, member.gossip_port)
                self.gossip.send(address, message)

    # ---- what is known ----

    def _merge(
        self,
        name: str,
        since: int,
        upto: int,
        changes: list[revisions.Change],
    ) -> None:
        stream = self.streams[name]
        before = stream.revisions.seen
        new = revisions.merge(stream.revisions, since, upto, changes)
        if new is None or stream.revisions.seen == before:
            return
        if new:
            self._apply(name, new)
            self.changed(_databases_in(name, new))
        if new:
            self._tell(FANOUT)

    def _apply(self, name: str, changes: list[revisions.Change]) -> None:
        if name == CONFIGURATION:
            faults = catalogue.apply_changes(self.catalogue, changes)
            for fault in faults:
                logger.error('passed over %s', fault)
            return
        self._apply_instances(changes)

    def _apply_instances(self, changes: list[revisions.Change]) -> None:
        """Sort what changed in the list into proxies and upstreams."""
        leaving = set(self.leaving_upstreams)
        for change in changes:
            self.listed.pop(change.key, None)
            leaving.discard(change.key)
            if change.value is None:
                continue
            raw = json.loads(change.value)
            if raw.get('kind') == 'proxy':
                self.listed[change.key] = _member(raw)
            elif raw.get('state') == 'leaving':
                leaving.add(change.key)
        membership.apply_list(self.members, self.listed.values())
        self.leaving_upstreams = frozenset(leaving)


def _databases_in(stream: str, changes: list[revisions.Change]) -> set[str]:
    """Return the databases among what changed in the configuration."""
    if stream != CONFIGURATION:
        return set()
    prefix = f'{catalogue.PREFIX}database/'
    return {
        change.key.removeprefix(prefix)
        for change in changes
        if change.key.startswith(prefix)
    }


def _gossip_address(host: str, port: int) -> str:
    return f'tcp://{host}:{port}'


def _member(raw: dict) -> membership.Member:
    return membership.Member(
        raw['name'],
        raw['incarnation'],
        raw['host'],
        raw['region'],
        raw['data_centre'],
        raw['hop_port'],
        raw['gossip_port'],
        raw['operator_port'],
        raw['state'] == 'leaving',
    )
