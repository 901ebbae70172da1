"""Assemble the parts of a proxy; start and stop them in order."""

import asyncio
import os
import resource
import secrets

from tornado import httpserver
from tornado import web

from topazring import platform_client
from topazring.plumbing import clock
from topazring.plumbing import logs
from topazring.plumbing import supervision
from topazring.proxy import cluster_state as cluster_states
from topazring.proxy import entry as entries
from topazring.proxy import hop
from topazring.proxy import metrics as metric_sets
from topazring.proxy import operators
from topazring.proxy import ownership as ownerships
from topazring.proxy import sessions
from topazring.proxy import settings

__all__ = ['Proxy']

logger = logs.part_logger('proxy')
REFRESH_INTERVAL_S = 5.0
DRAIN_POLL_INTERVAL_S = 0.02
# Time for the load balancer and the peers to notice that this proxy leaves,
# before sessions are closed.
LEAVING_NOTICE_S = 0.3
# After the drain notice, a session whose caller has sent nothing for this long
# is closed.
IDLE_SESSION_MS = 1000
MAX_MESSAGE_SIZE_FACTOR = 4


def resident_kb() -> int:
    """Return the resident memory of this process."""
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
        self.failures = logs.FailureLog()
        self.cluster_state = cluster_states.ClusterState(
            config,
            self.incarnation,
            self.platform,
            self._handle_change,
            self._handle_suspicion,
            self.failures,
        )
        self.ownership = ownerships.Ownership(
            config, self.incarnation, self.platform, self.cluster_state
        )
        self.entry = entries.Entry(
            config.name, self.cluster_state, self.ownership, self.failures
        )
        self.front = sessions.Frontend(
            config, self.cluster_state, self.entry, self.metrics
        )
        self.hop_server = hop.HopServer(self.entry.serve_hop, self.failures)
        self.servers: list[httpserver.HTTPServer] = []
        self.refresh_task: asyncio.Task | None = None

    async def start(self) -> None:
        """Open the listening ports and start to follow the cluster state."""
        config = self.config
        self._add_metric_sources()
        self._listen(operators.routes(self), config.operator_port)
        self.hop_server.listen(config.hop_port, config.host)
        route = ('/session', sessions.SessionSocket, {'front': self.front})
        self._listen([route], config.caller_port)
        self.entry.start()
        await self.cluster_state.start()
        self.refresh_task = supervision.start(
            'refresh', self._refresh_forever, self.failures
        )
        logger.info('%s runs as incarnation %s', config.name, self.incarnation)

    def _listen(self, routes, port: int) -> None:
        application = web.Application(
            routes,
            # A message somewhat over the limit is read, so that its answer
            # can name the limit. One far over it is not read at all.
            websocket_max_message_size=MAX_MESSAGE_SIZE_FACTOR
            * self.config.limits.message_bytes,
        )
        server = httpserver.HTTPServer(application)
        server.listen(port, self.config.host)
        self.servers.append(server)

    def _add_metric_sources(self) -> None:
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
            'topazring_failures',
            'Failures of tasks, and entries that cannot be read',
            lambda: {
                cluster_states.BAD_ENTRY: 0,
                hop.FRAME_TOO_LONG: 0,
                **self.failures.counters,
            },
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

    def _handle_change(self, databases: set[str]) -> None:
        self.ownership.apply_changes(databases)
        self.entry.refresh()

    def _handle_suspicion(self, message) -> None:
        self.ownership.handle_suspicion(message)

    async def _refresh_forever(self) -> None:
        while True:
            await asyncio.sleep(REFRESH_INTERVAL_S)
            self.ownership.refresh()
            self.entry.refresh()

    def health(self) -> str:
        """Return 'live', 'ready' or 'leaving'."""
        if self.leaving:
            return 'leaving'
        return 'ready' if self.cluster_state.is_ready() else 'live'

    async def drain(self) -> None:
        """Finish open requests, for at most the time in the settings.

        The order matters: first new requests are kept away, then sessions
        are closed as they become idle. The owner tasks close only after that.
        """
        self.leaving = True
        logger.info('draining before shutdown')
        self.ownership.drain()
        self.cluster_state.send_leaving()
        await self.platform.withdraw(self.config.name)
        await asyncio.sleep(LEAVING_NOTICE_S)
        self.front.drain()
        until_ms = clock.monotonic_ms() + self.config.limits.drain_ms
        while clock.monotonic_ms() < until_ms:
            self.front.close_idle_sessions(IDLE_SESSION_MS)
            if not self.front.sockets and not self.ownership.count_open():
                break
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        else:
            logger.warning(
                'shutting down with %d still open', self._count_open()
            )

    def _count_open(self) -> int:
        return self.front.busy() + self.ownership.count_open()

    async def close(self) -> None:
        """Close all parts."""
        if self.refresh_task is not None:
            self.refresh_task.cancel()
        for server in self.servers:
            server.stop()
        self.hop_server.stop()
        await self.cluster_state.close()
        self.entry.close()
        await self.ownership.close()
        self.platform.close()

    def status(self) -> dict:
        """Return the status as shown to operators."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        members = self.cluster_state.members
        return {
            'name': self.config.name,
            'incarnation': self.incarnation,
            'pid': os.getpid(),
            'state': self.health(),
            'up_ms': clock.monotonic_ms() - self.started_ms,
            'seen': self.cluster_state.seen_revisions(),
            'confirmed_ms_ago': self.cluster_state.confirmation_ages_ms(),
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
