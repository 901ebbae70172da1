"""Run a small fleet of real processes: platform, upstreams and proxies.

Only demos, tests and measurements start processes this way; no process of
the product starts another.
"""

import asyncio
import contextlib
import json
import pathlib
import signal
import sys
import tempfile

from tornado import httpclient

from topazring.bench import plans
from topazring.bench import ports
from topazring import catalogue
from topazring import client
from topazring.core import organisations
from topazring import key_value
from topazring import platform_client

__all__ = ['Fleet', 'wait_until']

START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


class Fleet:
    """Manage the processes of a fleet and the directory of their files."""

    def __init__(self, plan: plans.Plan):
        self.plan = plan
        self.directory = tempfile.TemporaryDirectory(prefix='topazring-')
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.commands: dict[str, list[str]] = {}
        self.ports: dict[str, int] = {}
        self.links: list[dict] = []
        self.platform: platform_client.PlatformClient | None = None
        self.http = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=50
        )

    # ---- processes ----

    async def start(self) -> None:
        """Start all processes and wait until the fleet can serve requests."""
        await self._start_platform()
        for database in self.plan.databases:
            for name in self.upstream_names(database):
                self._prepare_upstream(database, name)
        for number in range(self.plan.proxies):
            self._prepare_proxy(f'p{number + 1}')
        if self.plan.faults:
            await self._start_faults()
        for name in list(self.commands):
            if name not in self.processes:
                await self.spawn(name)
        await self._configure()
        for number in range(self.plan.proxies):
            await self.wait_ready(f'p{number + 1}')
        for database in self.plan.databases:
            await self.wait_primary(database)
            for name in self.upstream_names(database):
                await self.wait_upstream(name)

    async def close(self) -> None:
        """Kill every process and delete the directory."""
        for name in list(self.processes):
            self.send_signal(name, signal.SIGKILL)
        for process in self.processes.values():
            await process.wait()
        if self.platform is not None:
            self.platform.close()
        self.http.close()
        self.directory.cleanup()

    def upstream_names(self, database: str) -> list[str]:
        """Return the names of a database's upstreams."""
        count = self.plan.upstreams_per_database
        return [f'{database}-u{number + 1}' for number in range(count)]

    async def spawn(self, name: str) -> None:
        """Start a process, or restart one that has ended."""
        log = open(pathlib.Path(self.directory.name) / f'{name}.log', 'ab')
        with log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *self.commands[name], stdout=log, stderr=log
            )

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process of this fleet if it still runs."""
        process = self.processes[name]
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal_number)

    async def kill(self, name: str) -> None:
        """Kill a process and wait until it has ended."""
        self.send_signal(name, signal.SIGKILL)
        await self.processes[name].wait()

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.send_signal(name, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a suspended process."""
        self.send_signal(name, signal.SIGCONT)

    def read_log(self, name: str) -> str:
        """Return the output of a process so far."""
        path = pathlib.Path(self.directory.name) / f'{name}.log'
        return path.read_text(errors='replace')

    # ---- settings ----

    def port(self, name: str) -> int:
        """Return the port under this name; the first use allocates it."""
        if name not in self.ports:
            self.ports[name] = ports.find_free_port()
        return self.ports[name]

    def _write_settings(self, name: str, value: dict) -> str:
        path = pathlib.Path(self.directory.name) / f'{name}.json'
        path.write_text(json.dumps(value))
        return str(path)

    def _build_command(self, module: str, *arguments: str) -> list[str]:
        return [sys.executable, '-m', module, *arguments]

    def route_port(self, link: str, target: str) -> int:
        """Return the port to reach `target` by.

        If the plan has fault injection, that is the port of a new link.
        """
        if not self.plan.faults:
            return self.port(target)
        self.links.append(
            {
                'name': link,
                'port': self.port(f'link {link}'),
                'target_port': self.port(target),
            }
        )
        return self.port(f'link {link}')

    async def _start_platform(self) -> None:
        settings = {
            'port': self.port('platform'),
            'list_lag_ms': self.plan.list_lag_ms,
            'state_file': str(
                pathlib.Path(self.directory.name) / 'platform.db'
            ),
        }
        path = self._write_settings('platform', settings)
        self.commands['platform'] = self._build_command(
            'topazring.standin.main', 'platform', path
        )
        await self.spawn('platform')
        self.platform = platform_client.PlatformClient(
            '127.0.0.1', self.port('platform'), 'fleet'
        )
        await wait_until(self._is_platform_up, 'the platform answers')

    async def _is_platform_up(self) -> bool:
        value = await self.platform.get('any')
        return not isinstance(value, key_value.Unavailable)

    def _prepare_upstream(self, database: str, name: str) -> None:
        peers = [
            {'name': peer, 'port': self.route_port(f'{name}/{peer}', peer)}
            for peer in self.upstream_names(database)
            if peer != name
        ]
        settings = {
            'name': name,
            'port': self.port(name),
            'peers': peers,
            'slots': self.plan.slots,
            'connections': self.plan.connections,
            'connect_delay_ms': self.plan.connect_delay_ms,
            'statement_ms': self.plan.statement_ms,
            'lag_ms': self.plan.lag_ms,
        }
        path = self._write_settings(name, settings)
        self.commands[name] = self._build_command(
            'topazring.standin.main', 'upstream', path
        )

    def _prepare_proxy(self, name: str) -> None:
        number = int(name[1:])
        data_centres = self.plan.data_centres
        routes = {}
        if self.plan.faults:
            for database in self.plan.databases:
                for upstream in self.upstream_names(database):
                    port = self.route_port(f'{name}/{upstream}', upstream)
                    routes[upstream] = {'port': port}
        platform = self.route_port(f'{name}/platform', 'platform')
        seeds = [
            {'port': self.port(f'p{peer + 1} gossip')}
            for peer in range(self.plan.proxies)
            if peer + 1 != number
        ]
        settings = {
            'name': name,
            'region': 'home',
            'data_centre': data_centres[number % len(data_centres)],
            'caller_port': self.port(f'{name} caller'),
            'hop_port': self.port(f'{name} hop'),
            'gossip_port': self.port(f'{name} gossip'),
            'operator_port': self.port(f'{name} operator'),
            'platform': {'port': platform},
            'seeds': seeds,
            'routes': routes,
            'limits': {'drain_ms': self.plan.drain_ms},
        }
        path = self._write_settings(name, settings)
        arguments = ('topazring.proxy.main',)
        if self.plan.baseline:
            arguments = ('topazring.bench.baselines', self.plan.baseline)
        self.commands[name] = self._build_command(*arguments, 'run', path)

    async def _start_faults(self) -> None:
        settings = {'port': self.port('faults'), 'links': self.links}
        path = self._write_settings('faults', settings)
        self.commands['faults'] = self._build_command(
            'topazring.standin.main', 'faults', path
        )
        await self.spawn('faults')

    async def set_link(self, link: str, **modes) -> None:
        """Set the modes of a link; see topazring.standin.faults."""
        await self.post(f'faults/links/{link.replace("/", "%2F")}', modes)

    async def post(self, target: str, arguments: dict) -> bytes:
        """Send a POST request to a stand-in; `target` is NAME/PATH."""
        name, _, path = target.partition('/')
        query = '&'.join(f'{k}={v}' for k, v in arguments.items())
        url = f'http://127.0.0.1:{self.port(name)}/{path}?{query}'
        reply = await self.http.fetch(url, method='POST', body='')
        return reply.body

    async def get(self, port_name: str, path: str) -> dict | None:
        """Return JSON fetched from a process, or None if that fails."""
        url = f'http://127.0.0.1:{self.port(port_name)}{path}'
        try:
            reply = await self.http.fetch(
                url, request_timeout=2.0, raise_error=False
            )
            return json.loads(reply.body)
        except (OSError, ValueError, TypeError, httpclient.HTTPError):
            return None

    # ---- configuration ----

    async def _configure(self) -> None:
        await self.put('token-key', '2026', {'secret_hex': 'a5' * 32})
        for name, value in plans.PROFILES.items():
            await self.put('profile', name, value)
        for name in self.plan.organisations:
            key = organisations.hash_key(f'{name}-key')
            await self.put('organisation', name, {'key_sha256': key})
        for database in self.plan.databases:
            await self.put(
                'database', database, self._build_database(database)
            )

    def _build_database(self, database: str) -> dict:
        upstreams = [
            {'name': name, 'port': self.port(name)}
            for name in self.upstream_names(database)
        ]
        return {
            'region': 'home',
            'organisations': list(self.plan.organisations),
            'upstreams': upstreams,
            'slots': self.plan.slots,
            'connections': self.plan.connections,
        }

    async def put(self, kind: str, name: str, value: dict) -> None:
        """Create a configured value; raise RuntimeError if that fails."""
        key = f'{catalogue.PREFIX}{kind}/{name}'
        written = await self.platform.put(key, json.dumps(value), None)
        if not isinstance(written, key_value.Written):
            raise RuntimeError(f'cannot write {key}: {written}')

    # ---- status ----

    async def wait_ready(self, proxy: str) -> None:
        """Wait until a proxy is ready and lists every proxy as a member."""

        async def is_ready() -> bool:
            status = await self.get(f'{proxy} operator', '/status')
            if status is None or status['state'] != 'ready':
                return False
            return len(status['members']) == self.plan.proxies

        try:
            await wait_until(is_ready, f'{proxy} is ready')
        except TimeoutError as error:
            raise TimeoutError(f'{error}\n{self.read_log(proxy)}') from None

    async def wait_upstream(self, name: str) -> None:
        """Wait until an upstream answers.

        A database has a primary as soon as a majority of them answers.
        """

        async def is_answering() -> bool:
            return await self.get(name, '/ledger') is not None

        await wait_until(is_answering, f'{name} answers')

    async def wait_primary(self, database: str) -> str:
        """Wait until a database has a primary; return its name."""

        async def find_primary() -> str:
            return await self.primary_of(database)

        return await wait_until(find_primary, f'{database} has a primary')

    async def primary_of(self, database: str) -> str:
        """Return the primary of the highest term, or '' if there is none."""
        latest = (0, '')
        for name in self.upstream_names(database):
            process = self.processes[name]
            if process.returncode is not None:
                continue
            ledger = await self.get(name, '/ledger')
            if ledger and ledger['leads']:
                latest = max(latest, (ledger['term'], name))
        return latest[1]

    async def ledger(self, name: str) -> dict:
        """Return the ledger and the log of an upstream."""
        return await self.get(name, '/ledger')

    async def owners_of(self, database: str) -> list[str]:
        """Return the proxies that own a database, in preference order."""
        for number in range(self.plan.proxies):
            name = f'p{number + 1}'
            reply = await self.get(f'{name} operator', f'/explain/{database}')
            if reply and 'state' in reply and reply['state']['owners']:
                return reply['state']['owners']
        return []

    def url(self, proxy: str) -> str:
        """Return the WebSocket URL at which a proxy accepts callers."""
        return f'ws://127.0.0.1:{self.port(f"{proxy} caller")}/session'

    async def session(
        self,
        proxy: str,
        profile: str = 'saves',
        database: str = '',
        organisation: str = '',
        token: str = '',
    ) -> client.Session:
        """Open a session at a proxy; raise RuntimeError if it is refused."""
        organisation = organisation or self.plan.organisations[0]
        session = client.Session(
            self.url(proxy),
            organisation,
            f'{organisation}-key',
            database or self.plan.databases[0],
            profile,
            token,
        )
        answer = await session.start()
        if not answer.done:
            raise RuntimeError(f'cannot open a session at {proxy}: {answer}')
        return session


async def wait_until(condition, what: str, limit_s: float = START_TIMEOUT_S):
    """Wait until a condition holds; return its value.

    Raises TimeoutError, which names the condition, after `limit_s`.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + limit_s
    while True:
        value = await condition()
        if value:
            return value
        if loop.time() > deadline_s:
            raise TimeoutError(f'condition not met within {limit_s} s: {what}')
        await asyncio.sleep(POLL_INTERVAL_S)
