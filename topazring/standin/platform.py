"""Run the platform's service: values, watches, leases, instances."""

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
# Changes in one answer; the rest is asked for next.
MAX_PAGE_CHANGES = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """Hold a value with the revision of its last change; None is deleted."""

    revision: int
    value: str | None


class Store:
    """Hold values under one counter of revisions."""

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
        """Return the value, unless it was never set or was deleted."""
        found = self.values.get(key)
        return found if found and found.value is not None else None

    async def put(self, key: str, value: str | None) -> int:
        """Set a value; wake the watches."""
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
        """Return what changed after a revision, oldest first."""
        found = [
            {'key': key, 'revision': v.revision, 'value': v.value}
            for key, v in self.values.items()
            if v.revision > revision and key.startswith(prefix)
        ]
        return sorted(found, key=lambda change: change['revision'])


class Platform:
    """Own the stores and watch over the instances."""

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
        """Listen, and probe the instances."""
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
        logger.info('listens on %d', self.config.port)

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
            await asyncio.gather(*(self._probe(name) for name in names))

    async def _probe(self, name: str) -> None:
        """Ask an instance how it is; drop it when it stays silent."""
        listed = self.instances.values[name]
        known = json.loads(listed.value)
        if not known.get('health_port'):
            return
        url = f'http://{known["host"]}:{known["health_port"]}/health'
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
                await self._list(name, None, listed.revision)
            return
        self.missed_probes[name] = 0
        if state == 'leaving' and known['state'] != 'leaving':
            changed = {**known, 'state': 'leaving'}
            await self._list(name, changed, listed.revision)

    async def _list(
        self, name: str, instance: dict | None, revision: int
    ) -> None:
        """Change the list, late; not if the instance was listed anew.

        A successor would be struck off for its predecessor's silence.
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

    async def wait_since(self, store: Store, prefix: str) -> None:
        """Answer with the changes after `since`, waiting for the first."""
        since = int(self.get_argument('since', '0'))
        wait_ms = int(self.get_argument('wait_ms', '0'))
        until = time.monotonic() + min(wait_ms, MAX_WAIT_MS) / 1000
        while True:
            changes = store.changes_since(since, prefix)
            left_s = until - time.monotonic()
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
    """Get, set by compare-and-swap, delete."""

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
        if not self._matches(key):
            self.set_status(412)
            return
        text = self.request.body.decode()
        revision = await self.platform.values.put(key, text)
        self.set_header('ETag', f'"{revision}"')

    async def delete(self, key: str) -> None:
        if not self._matches(key):
            self.set_status(412)
            return
        revision = await self.platform.values.put(key, None)
        self.set_header('ETag', f'"{revision}"')

    def _matches(self, key: str) -> bool:
        found = self.platform.values.get(key)
        if self.request.headers.get('If-None-Match') == '*':
            return found is None
        wanted = self.request.headers.get('If-Match')
        if wanted is None:
            return True
        return found is not None and wanted == f'"{found.revision}"'

    def compute_etag(self) -> None:
        """Leave the ETag to the revision."""
        return None


class WatchHandler(_Handler):
    """Wait for changes under a prefix."""

    async def get(self) -> None:
        prefix = self.get_argument('prefix', '')
        await self.wait_since(self.platform.values, prefix)


class LeaseHandler(_Handler):
    """Take, renew and give up a lease."""

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
        await self.wait_since(self.platform.instances, '')


class InstanceHandler(_Handler):
    """Let whoever starts an instance list it; the list lags all the same."""

    async def put(self, name: str) -> None:
        instance = json.loads(self.request.body)
        self.platform.missed_probes[name] = 0
        await self.platform.instances.put(name, json.dumps(instance))

    async def delete(self, name: str) -> None:
        await self.platform.instances.put(name, None)


class CallsHandler(_Handler):
    """Tell how many calls each caller made."""

    def get(self) -> None:
        self.write(self.platform.calls)
