"""Serve the platform's API: values, watches, leases, instances."""

import asyncio
import contextlib
import dataclasses
import json
import sqlite3
import time

from tornado import httpclient
from tornado import httpserver
from tornado import web

from topazring.plumbing import logs as part_logs
from topazring.standin import settings

__all__ = ['Platform']

logger = part_logs.part_logger('platform')
PROBE_INTERVAL_S = 0.5
MAX_MISSED_PROBES = 2
MAX_WAIT_MS = 60_000
# Changes in one response; the client requests the rest with `since`.
MAX_PAGE_CHANGES = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """Hold a value, None once deleted, and the revision of its last change."""

    revision: int
    value: str | None


class Store:
    """Hold values that share one revision counter."""

    def __init__(self, file: str, table: str):
        self.revision = 0
        self.values: dict[str, Value] = {}
        self.changed = asyncio.Condition()
        self.table = table
        self.disk = sqlite3.connect(file or ':memory:', isolation_level=None)
        self.disk.execute('PRAGMA synchronous=OFF')
        self.disk.execute(
            f'CREATE TABLE IF NOT EXISTS {table} '
            '(key TEXT PRIMARY KEY, revision INTEGER, value TEXT)'
        )
        rows = self.disk.execute(f'SELECT key, revision, value FROM {table}')
        for key, revision, value in rows:
            self.values[key] = Value(revision, value)
            self.revision = max(self.revision, revision)

    def get(self, key: str) -> Value | None:
        """Return the value, or None if it was never set or was deleted."""
        found = self.values.get(key)
        return found if found and found.value is not None else None

    async def put(self, key: str, value: str | None) -> int:
        """Set a value, or delete it with None, and wake pending watches.

        Returns the new revision.
        """
        self.revision += 1
        self.values[key] = Value(self.revision, value)
        self.disk.execute(
            f'REPLACE INTO {self.table} VALUES (?, ?, ?)',
            (key, self.revision, value),
        )
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    def changes_since(self, revision: int, prefix: str) -> list[dict]:
        """Return the changes after a revision, oldest first."""
        changes = [
            {'key': key, 'revision': v.revision, 'value': v.value}
            for key, v in self.values.items()
            if v.revision > revision and key.startswith(prefix)
        ]
        return sorted(changes, key=lambda change: change['revision'])


class Platform:
    """Own the stores and probe the health of the instances."""

    def __init__(self, config: settings.PlatformSettings):
        self.config = config
        self.values = Store(config.state_file, 'kv')
        self.instances = Store(config.state_file, 'instances')
        self.leases: dict[str, tuple[str, float]] = {}
        self.missed_probes: dict[str, int] = {}
        self.calls: dict[str, int] = {}
        self.client = httpclient.AsyncHTTPClient(max_clients=100)
        self.server: httpserver.HTTPServer | None = None
        self.probe_task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start listening and probing the instances."""
        routes = [
            (r'/kv/(.+)', ValueHandler, {'platform': self}),
            (r'/watch', WatchHandler, {'platform': self}),
            (r'/lease/(.+)', LeaseHandler, {'platform': self}),
            (r'/instances/(.+)', InstanceHandler, {'platform': self}),
            (r'/instances', InstancesHandler, {'platform': self}),
            (r'/calls', CallsHandler, {'platform': self}),
        ]
        self.server = httpserver.HTTPServer(web.Application(routes))
        self.server.listen(self.config.port, self.config.host)
        self.probe_task = asyncio.create_task(self._probe_forever())
        logger.info('listening on port %d', self.config.port)

    async def close(self) -> None:
        """Stop listening and probing."""
        self.server.stop()
        self.probe_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.probe_task

    async def _probe_forever(self) -> None:
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            names = [
                key
                for key, value in self.instances.values.items()
                if value.value is not None
            ]
            await asyncio.gather(*(self._probe_safely(name) for name in names))

    async def _probe_safely(self, name: str) -> None:
        """Probe an instance; any error is that of its entry alone."""
        try:
            await self._probe(name)
        except Exception as error:
            logger.error('cannot probe %s: %s', name, type(error).__name__)

    async def _probe(self, name: str) -> None:
        """Request an instance's health and update the list.

        An instance that fails MAX_MISSED_PROBES probes in a row is removed;
        one that reports `leaving` is listed as leaving.
        """
        listed = self.instances.values[name]
        instance = json.loads(listed.value)
        if not instance.get('health_port'):
            return
        url = f'http://{instance["host"]}:{instance["health_port"]}/health'
        try:
            reply = await self.client.fetch(
                url, request_timeout=1.0, raise_error=False
            )
            state = json.loads(reply.body)['state'] if reply.body else None
        except (OSError, ValueError, httpclient.HTTPError):
            state = None
        if state is None:
            self.missed_probes[name] = self.missed_probes.get(name, 0) + 1
            if self.missed_probes[name] >= MAX_MISSED_PROBES:
                await self._update_list(name, None, listed.revision)
            return
        self.missed_probes[name] = 0
        if state == 'leaving' and instance['state'] != 'leaving':
            changed = {**instance, 'state': 'leaving'}
            await self._update_list(name, changed, listed.revision)

    async def _update_list(
        self, name: str, instance: dict | None, revision: int
    ) -> None:
        """Change the list after its lag, unless the instance was listed again.

        Otherwise a new instance of the same name would be removed because its
        predecessor did not answer probes.
        """
        await asyncio.sleep(self.config.list_lag_ms / 1000)
        if self.instances.values[name].revision != revision:
            return
        text = None if instance is None else json.dumps(instance)
        await self.instances.put(name, text)


class _Handler(web.RequestHandler):
    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    def prepare(self) -> None:
        caller = self.request.headers.get('X-Caller', 'unknown')
        calls = self.platform.calls
        calls[caller] = calls.get(caller, 0) + 1

    async def write_changes(self, store: Store, prefix: str) -> None:
        """Write the changes after `since`; wait up to `wait_ms` for one."""
        since = int(self.get_argument('since', '0'))
        wait_ms = int(self.get_argument('wait_ms', '0'))
        deadline = time.monotonic() + min(wait_ms, MAX_WAIT_MS) / 1000
        while True:
            changes = store.changes_since(since, prefix)
            left_s = deadline - time.monotonic()
            if changes or left_s <= 0:
                break
            async with store.changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(store.changed.wait(), left_s)
        page = changes[:MAX_PAGE_CHANGES]
        more = len(page) < len(changes)
        revision = page[-1]['revision'] if more else store.revision
        self.write({'revision': revision, 'changes': page, 'more': more})


class ValueHandler(_Handler):
    """Get, set or delete a value; If-Match makes it compare-and-swap."""

    def get(self, key: str) -> None:
        found = self.platform.values.get(key)
        if found is None:
            self.set_status(404)
            return
        self.set_header('ETag', f'"{found.revision}"')
        self.write(found.value)

    async def put(self, key: str) -> None:
        if len(self.request.body) > self.platform.config.value_limit_bytes:
            self.set_status(413)
            return
        if not self._is_precondition_met(key):
            self.set_status(412)
            return
        text = self.request.body.decode()
        revision = await self.platform.values.put(key, text)
        self.set_header('ETag', f'"{revision}"')

    async def delete(self, key: str) -> None:
        if not self._is_precondition_met(key):
            self.set_status(412)
            return
        revision = await self.platform.values.put(key, None)
        self.set_header('ETag', f'"{revision}"')

    def _is_precondition_met(self, key: str) -> bool:
        found = self.platform.values.get(key)
        if self.request.headers.get('If-None-Match') == '*':
            return found is None
        expected_etag = self.request.headers.get('If-Match')
        if expected_etag is None:
            return True
        return found is not None and expected_etag == f'"{found.revision}"'

    def compute_etag(self) -> None:
        """Return None: the ETag is the revision, not Tornado's hash."""
        return None


class WatchHandler(_Handler):
    """Wait for changes under a prefix."""

    async def get(self) -> None:
        prefix = self.get_argument('prefix', '')
        await self.write_changes(self.platform.values, prefix)


class LeaseHandler(_Handler):
    """Acquire, renew and release a lease."""

    def post(self, name: str) -> None:
        holder = self.get_argument('holder')
        ttl_ms = int(self.get_argument('ttl_ms'))
        held = self.platform.leases.get(name)
        now = time.monotonic()
        if held and held[0] != holder and held[1] > now:
            self.set_status(409)
            self.write({'holder': held[0]})
            return
        self.platform.leases[name] = (holder, now + ttl_ms / 1000)
        self.write({'holder': holder})

    def delete(self, name: str) -> None:
        held = self.platform.leases.get(name)
        if held and held[0] == self.get_argument('holder'):
            del self.platform.leases[name]


class InstancesHandler(_Handler):
    """List the instances, or wait for a change of the list."""

    async def get(self) -> None:
        await self.write_changes(self.platform.instances, '')


class InstanceHandler(_Handler):
    """Let the process that starts an instance list it or remove it.

    The list still lags behind changes that probes detect.
    """

    async def put(self, name: str) -> None:
        instance = json.loads(self.request.body)
        self.platform.missed_probes[name] = 0
        await self.platform.instances.put(name, json.dumps(instance))

    async def delete(self, name: str) -> None:
        await self.platform.instances.put(name, None)


class CallsHandler(_Handler):
    """Return the number of calls by caller, from the X-Caller header."""

    def get(self) -> None:
        self.write(self.platform.calls)
