"""Track the configuration and the list of instances, and spread changes.

A few proxies in each region watch the platform's service. The others receive
changes from peers and poll the service rarely. A proxy that receives a change
sends it to a few peers at once, so that it reaches all within a few hops.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import functools
import random

from topazring import catalogue
from topazring.core import members as membership
from topazring.core import revisions
from topazring import instances
from topazring import key_value
from topazring import platform_client
from topazring.plumbing import change_reports
from topazring.plumbing import clock
from topazring.plumbing import logs
from topazring.plumbing import supervision
from topazring.proxy import gossip as gossips
from topazring.proxy import settings

__all__ = ['BAD_ENTRY', 'CONFIGURATION', 'INSTANCES', 'ClusterState']

logger = logs.part_logger('knowledge')

CONFIGURATION = 'configuration'
INSTANCES = 'instances'
GOSSIP_INTERVAL_S = 1.0
FANOUT = 3
LEAVING_FANOUT = 8
WATCH_TIMEOUT_MS = 20_000
POLL_INTERVAL_S = 60.0
RETRY_DELAY_S = 0.5
# Counts values that could not be read.
BAD_ENTRY = 'bad_entry'
MAX_RETRY_DELAY_S = 10.0


@dataclasses.dataclass(slots=True)
class Stream:
    """One stream of revisions and the time it was last confirmed."""

    revisions: revisions.Revisions
    # Time of the last reply of the service, or of a peer that had just
    # queried it.
    confirmed_ms: int | None = None


class ClusterState:
    """Keep the two streams current by watches, polls and gossip."""

    def __init__(
        self,
        config: settings.ProxySettings,
        incarnation: str,
        platform: platform_client.PlatformClient,
        on_change: collections.abc.Callable[[set[str]], None],
        on_suspicion: collections.abc.Callable[[gossips.Suspicion], None],
        failures: logs.FailureLog,
    ):
        self.config = config
        self.incarnation = incarnation
        self.platform = platform
        self.on_change = on_change
        self.on_suspicion = on_suspicion
        self.failures = failures
        self.change_reports = change_reports.ChangeReports(
            'listing', lambda databases: self.on_change(databases), failures
        )
        self.streams = {
            CONFIGURATION: Stream(revisions.Revisions()),
            INSTANCES: Stream(revisions.Revisions()),
        }
        self.catalogue = catalogue.Catalogue()
        self.members = membership.Members()
        self.listed: dict[str, membership.Member] = {}
        self.leaving_upstreams: frozenset[str] = frozenset()
        self.gossip = gossips.Gossip(
            f'tcp://{config.host}:{config.gossip_port}',
            self._handle_message,
            failures,
        )
        self.rng = random.Random(incarnation)
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Announce this instance and start the watches and the gossip."""
        self.gossip.start()
        self.tasks = [
            supervision.start(name, run, self.failures)
            for name, run in (
                ('announcement', self._announce_self),
                ('gossip', self._gossip_forever),
                (
                    CONFIGURATION,
                    functools.partial(self._follow_stream, CONFIGURATION),
                ),
                (
                    INSTANCES,
                    functools.partial(self._follow_stream, INSTANCES),
                ),
            )
        ]

    async def close(self) -> None:
        """Stop the watches and the gossip."""
        for task in self.tasks:
            task.cancel()
        for task in self.tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self.gossip.close()

    def is_ready(self) -> bool:
        """Return whether a configuration has been received."""
        return self.streams[CONFIGURATION].revisions.seen > 0

    def seen_revisions(self) -> dict[str, int]:
        """Return the last revision received, by stream."""
        return {n: s.revisions.seen for n, s in self.streams.items()}

    def confirmation_ages_ms(self) -> dict[str, int | None]:
        """Return the time since each stream was confirmed to be current."""
        now_ms = clock.monotonic_ms()
        return {
            name: None if s.confirmed_ms is None else now_ms - s.confirmed_ms
            for name, s in self.streams.items()
        }

    def description(self) -> dict:
        """Return the entry of this instance in the platform's list."""
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

    # ---- the platform's service ----

    async def _announce_self(self) -> None:
        delay_s = RETRY_DELAY_S
        while not await self.platform.announce(
            self.config.name, self.description()
        ):
            await asyncio.sleep(delay_s * self.rng.uniform(0.5, 1.5))
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)

    def _is_watcher(self) -> bool:
        """Return whether this proxy is one of its region's watchers."""
        watchers = membership.watchers_of(self.members, self.config.region)
        return not watchers or self.config.name in watchers

    async def _follow_stream(self, name: str) -> None:
        """Query the service: continuously as a watcher, otherwise rarely.

        The delay after a failure doubles, has jitter, and is reset only by
        a success. Otherwise all proxies would reconnect at the same moment
        after an outage.
        """
        delay_s = RETRY_DELAY_S
        while True:
            wait_ms = WATCH_TIMEOUT_MS if self._is_watcher() else 0
            asked_ms = clock.monotonic_ms()
            response = await self._query_service(name, wait_ms)
            if isinstance(response, key_value.Unavailable):
                await asyncio.sleep(delay_s * self.rng.uniform(0.5, 1.5))
                delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)
                continue
            delay_s = RETRY_DELAY_S
            self.streams[name].confirmed_ms = max(
                asked_ms, clock.monotonic_ms() - wait_ms
            )
            self._merge(name, response.since, response.upto, response.changes)
            if not self._is_watcher() and not response.more:
                await asyncio.sleep(
                    POLL_INTERVAL_S * self.rng.uniform(0.5, 1.5)
                )

    async def _query_service(
        self, name: str, wait_ms: int
    ) -> key_value.Changes | key_value.Unavailable:
        since = self.streams[name].revisions.seen
        if name == INSTANCES:
            return await self.platform.instances(since, wait_ms)
        return await self.platform.changes(catalogue.PREFIX, since, wait_ms)

    # ---- peers ----

    async def _gossip_forever(self) -> None:
        while True:
            await asyncio.sleep(GOSSIP_INTERVAL_S * self.rng.uniform(0.8, 1.2))
            self._send_digest(1)
            self.change_reports.retry()

    def _send_digest(self, count: int) -> None:
        digest = gossips.Digest(
            self.config.name, self.gossip.address, self.seen_revisions()
        )
        for address in self._sample_peers(count):
            self.gossip.send(address, digest)

    def _sample_peers(self, count: int) -> list[str]:
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

    def _handle_message(self, message: gossips.Message) -> None:
        match message:
            case gossips.Digest():
                self._handle_digest(message)
            case gossips.Delta():
                self._merge(
                    message.stream,
                    message.since,
                    message.upto,
                    message.changes,
                )
            case gossips.Suspicion():
                membership.record_answer(self.members, message.name)
                self.on_suspicion(message)
            case gossips.Leaving():
                self._handle_leaving(message)

    def _handle_digest(self, digest: gossips.Digest) -> None:
        is_behind = False
        for name, stream in self.streams.items():
            peer_revision = digest.seen.get(name, 0)
            if peer_revision < stream.revisions.seen:
                upto, changes = revisions.delta(
                    stream.revisions, peer_revision
                )
                self.gossip.send(
                    digest.address,
                    gossips.Delta(
                        self.config.name, name, peer_revision, upto, changes
                    ),
                )
            is_behind = is_behind or peer_revision > stream.revisions.seen
        if is_behind:
            own_digest = gossips.Digest(
                self.config.name, self.gossip.address, self.seen_revisions()
            )
            self.gossip.send(digest.address, own_digest)

    def _handle_leaving(self, message: gossips.Leaving) -> None:
        is_new = membership.record_departure(
            self.members, message.name, message.incarnation
        )
        if not is_new:
            return
        for address in self._sample_peers(FANOUT):
            self.gossip.send(address, message)
        self.on_change(set())

    def send_leaving(self) -> None:
        """Announce to all peers that this process is shutting down.

        The message goes to a few peers, which forward it to others.
        """
        message = gossips.Leaving(self.config.name, self.incarnation)
        for address in self._sample_peers(LEAVING_FANOUT):
            self.gossip.send(address, message)

    def send_suspicion(
        self, database: str, owners: tuple[str, ...], term: int, suspects: bool
    ) -> None:
        """Report to the other owners whether this one suspects the primary."""
        message = gossips.Suspicion(self.config.name, database, term, suspects)
        for name in owners:
            member = self.members.listed.get(name)
            if member is not None and name != self.config.name:
                address = _gossip_address(member.host, member.gossip_port)
                self.gossip.send(address, message)

    # ---- merging changes ----

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
            self.change_reports.add(_databases_in(name, new))
        if new:
            self._send_digest(FANOUT)

    def _apply(self, name: str, changes: list[revisions.Change]) -> None:
        if name == CONFIGURATION:
            faults = catalogue.apply_changes(self.catalogue, changes)
            for fault in faults:
                self.failures.count(BAD_ENTRY)
                logger.error(
                    'ignored an invalid configuration change: %s', fault
                )
            return
        self._apply_instances(changes)

    def _apply_instances(self, changes: list[revisions.Change]) -> None:
        """Sort the changes of the list into proxies and upstreams."""
        leaving = set(self.leaving_upstreams)
        for change in changes:
            self.listed.pop(change.key, None)
            leaving.discard(change.key)
            if change.value is None:
                continue
            try:
                member = instances.decode(change.value)
            except Exception as error:
                # It names nobody, and must not block the entries behind it.
                self.failures.count(BAD_ENTRY)
                logger.error(
                    'ignored an invalid instance %s: %s',
                    change.key,
                    type(error).__name__,
                )
                continue
            if isinstance(member, membership.Member):
                self.listed[change.key] = member
            elif member.state == 'leaving':
                leaving.add(change.key)
        membership.apply_list(self.members, self.listed.values())
        self.leaving_upstreams = frozenset(leaving)


def _databases_in(stream: str, changes: list[revisions.Change]) -> set[str]:
    """Return the names of the databases whose configuration changed."""
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
