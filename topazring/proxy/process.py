"""Put a proxy's parts together; start and end them in order."""

import asyncio
import os
import resource
import secrets

from tornado import httpserver
from tornado import web

from topazring import platform_client
from topazring.plumbing import clock
from topazring.plumbing import logs
from topazring.proxy import cluster_state as knowledges
from topazring.proxy import entry as entries
from topazring.proxy import hop
from topazring.proxy import metrics as metric_sets
from topazring.proxy import operators
from topazring.proxy import ownership as ownerships
from topazring.proxy import sessions
from topazring.proxy import settings

__all__ = ['Proxy']

logger = logs.part_logger('proxy')
REFRESH_S = 5.0
DRAIN_POLL_S = 0.02
# Time for the balancer and the peers to notice before sessions are ended.
LEAVING_S = 0.3
# A session that is silent for so long after the notice is ended.
QUIET_MS = 1000
TOLERANCE = 4


def resident_kb() -> int:
    """Return the memory that this process holds now."""
    with open('/proc/self/statm', encoding='ascii') as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize() // 1024


class Proxy:
    """Own all parts of one proxy process."""

    def __init__(self, config: settings.ProxySettings):
        self.config = config
        self.incarnation = f'{config.name}-{secrets.token_hex(8)}'
        self.started_ms = clock.monotonic_ms()
        self.leaving = False
        self.metrics = metric_sets.Metrics()
        self.platform = platform_client.PlatformClient(
            config.platform.host, config.platform.port, config.name
        )
        self.cluster_state = knowledges.ClusterState(
            config,
            self.incarnation,
            self.platform,
            self._changed,
            self._suspected,
        )
        self.ownership = ownerships.Ownership(
            config, self.incarnation, self.platform, self.cluster_state
        )
        self.entry = entries.Entry(
            config.name, self.cluster_state, self.ownership
        )
        self.front = sessions.Frontend(
            config, self.cluster_state, self.entry, self.metrics
        )
        self.hop_server = hop.HopServer(self.entry.serve_hop)
        self.servers: list[httpserver.HTTPServer] = []
        self.task: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen and begin to learn."""
        config = self.config
        self._add_sources()
        self._listen(operators.routes(self), config.operator_port)
        self.hop_server.listen(config.hop_port, config.host)
        route = ('/session', sessions.SessionSocket, {'front': self.front})
        self._listen([route], config.caller_port)
        self.entry.start()
        await self.cluster_state.start()
        self.task = asyncio.create_task(self._refresh_forever())
        logger.info('%s runs as %s', config.name, self.incarnation)

    def _listen(self, routes, port: int) -> None:
        application = web.Application(
            routes,
            # What is somewhat too large gets an answer that says so; what
            # is far too large is not even read.
            websocket_max_message_size=TOLERANCE
            * self.config.limits.message_bytes,
        )
        server = httpserver.HTTPServer(application)
        server.listen(port, self.config.host)
        self.servers.append(server)

    def _add_sources(self) -> None:
        self.metrics.add_source(
            'topazring_owner_events',
            'What owners decided, refusals and retries by reason',
            self._owner_counters,
        )
        self.metrics.add_source(
            'topazring_platform_calls',
            'Calls on the platform, waiting watches included',
            lambda: self.platform.calls,
        )
        self.metrics.add_source(
            'topazring_entry_retries',
            'Requests sent to another owner by reason',
            lambda: self.entry.retries,
        )

    def _owner_counters(self) -> dict[str, int]:
        total: dict[str, int] = {}
        for owner in self.ownership.owners.values():
            for name, count in owner.state.counters.items():
                total[name] = total.get(name, 0) + count
        return total

    def _changed(self, databases: set[str]) -> None:
        self.ownership.follow(databases)
        self.entry.refresh()

    def _suspected(self, message) -> None:
        self.ownership.suspected(message)

    async def _refresh_forever(self) -> None:
        while True:
            await asyncio.sleep(REFRESH_S)
            self.ownership.refresh()
            self.entry.refresh()

    def health(self) -> str:
        """Return live, ready or leaving."""
        if self.leaving:
            return 'leaving'
        return 'ready' if self.cluster_state.is_ready() else 'live'

    async def drain(self) -> None:
        """Finish what is open, up to the limit in the settings.

        The order matters: first nobody sends anything new, then sessions
        end as they fall quiet, and only then do the owners' parts close.
        """
        self.leaving = True
        logger.info('leaves')
        self.ownership.drain()
        self.cluster_state.tell_leaving()
        await self.platform.withdraw(self.config.name)
        await asyncio.sleep(LEAVING_S)
        self.front.drain()
        until_ms = clock.monotonic_ms() + self.config.limits.drain_ms
        while clock.monotonic_ms() < until_ms:
            self.front.close_idle_sessions(QUIET_MS)
            if not self.front.sockets and not self.ownership.busy():
                break
            await asyncio.sleep(DRAIN_POLL_S)
        else:
            logger.warning('leaves with %d still open', self._busy())

    def _busy(self) -> int:
        return self.front.busy() + self.ownership.busy()

    async def close(self) -> None:
        """Close all parts."""
        if self.task is not None:
            self.task.cancel()
        for server in self.servers:
            server.stop()
        self.hop_server.stop()
        await self.cluster_state.close()
        self.entry.close()
        await self.ownership.close()
        self.platform.close()

    def status(self) -> dict:
        """Return what operators are shown."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        members = self.cluster_state.members
        return {
            'name': self.config.name,
            'incarnation': self.incarnation,
            'pid': os.getpid(),
            'state': self.health(),
            'up_ms': clock.monotonic_ms() - self.started_ms,
            'seen': self.cluster_state.seen(),
            'confirmed_ms_ago': self.cluster_state.ages_ms(),
            'members': sorted(members.listed),
            'owns': sorted(self.ownership.owners),
            'sessions': len(self.front.sockets),
            'in_flight': self.entry.in_flight,
            'hops': self.entry.hops,
            'platform_calls': dict(self.platform.calls),
            'gossip_bytes': [
                self.cluster_state.gossip.sent_bytes,
                self.cluster_state.gossip.received_bytes,
            ],
            'control_bytes': self.ownership.control_bytes(),
            'databases': len(self.cluster_state.catalogue.regions),
            'processor_s': round(usage.ru_utime + usage.ru_stime, 3),
            'resident_kb': resident_kb(),
            'peak_kb': usage.ru_maxrss,
        }
