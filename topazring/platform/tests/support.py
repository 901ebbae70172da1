"""Run pooling proxies as processes with fake upstreams and a fake store."""

import asyncio
import contextlib
import json
import logging
import os
import pathlib
import signal
import sys
import tempfile

import testtools

from topazring.bench import ports
from topazring.platform.tests import fake_store
from topazring.platform.tests import fake_upstreams
from topazring.tests import failure_logs

ROOT = pathlib.Path(__file__).resolve().parents[3]
SERVICE = 'calc-db'
STARTUP_TIMEOUT_S = 15.0
# Lines of a process' log to show if it does not become ready.
LINES_OF_FAILURE = 5

# Tests call the fake store many times per second and make it fail on purpose.
logging.getLogger('tornado.access').setLevel(logging.CRITICAL)


def route(host: str, kind: str, **more) -> dict:
    """Return a route as the operator writes it."""
    return {
        'name': f'r-{host}',
        'host': host,
        'type': kind,
        'service': SERVICE,
        'timeout-ms': 1500,
        'latency-goal-ms': 250,
        'priority': 1,
        **more,
    }


class Caller:
    """Hold one session on the line protocol."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.ids = 0

    @classmethod
    async def connect(
        cls, port: int, database: str, key: str = 'me'
    ) -> 'Caller':
        """Connect and start a session."""
        caller = cls(*await asyncio.open_connection('127.0.0.1', port))
        start = f'START {database} {key}'.rstrip()
        caller.greeting = await caller.send_line(start)
        return caller

    async def send_line(self, line: str) -> list[str]:
        """Send a line and return the lines of the answer."""
        self.writer.write(line.encode() + b'\r\n')
        return await self.read_answer()

    async def read_answer(self) -> list[str]:
        """Return the lines up to READY or the end of the connection."""
        received = []
        while True:
            async with asyncio.timeout(5):
                line = (await self.reader.readline()).decode().rstrip('\r\n')
            if not line:
                return received
            received.append(line)
            if line.startswith('READY'):
                return received

    async def query(self, text: str) -> list[str]:
        """Send a statement with a new request id; return the answer."""
        self.ids += 1
        return await self.send_line(f'QUERY q{id(self)}x{self.ids} {text}')

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class Proxy:
    """Run one proxy as a process."""

    def __init__(
        self, name: str, store_port: int, folder: str, ports: list[int]
    ):
        self.name = name
        self.caller_port, self.ready_port, self.peer_port = ports[:3]
        self.hop_port = ports[3]
        self.store_port = store_port
        # Settings that differ from the usual ones.
        self.changed_settings: dict[str, object] = {}
        self.path = pathlib.Path(folder) / f'{name}.json'
        self.log = pathlib.Path(folder) / f'{name}.log'
        self.process: asyncio.subprocess.Process | None = None
        self.started: list[asyncio.subprocess.Process] = []
        self.starting = asyncio.Lock()

    def write_settings(self, seeds: list[str]) -> None:
        """Write the settings as the platform renders them."""
        settings = {
            'name': self.name,
            'data_centre': 'here',
            'caller_address': f'127.0.0.1:{self.caller_port}',
            'ready_address': f'127.0.0.1:{self.ready_port}',
            'peer_address': f'127.0.0.1:{self.peer_port}',
            'store_address': f'127.0.0.1:{self.store_port}',
            'orders_address': f'127.0.0.1:{self.store_port}',
            'peers': seeds,
            'hop_address': f'127.0.0.1:{self.hop_port}',
            'grace_s': 3.0,
            'checks_tokens': True,
            'max_descriptors': 420,
            'not known yet': True,
            **self.changed_settings,
        }
        self.path.write_text(json.dumps(settings))

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        await self.restart()
        try:
            await wait_until(self.is_ready, STARTUP_TIMEOUT_S)
        except TimeoutError:
            code = self.process.returncode
            last = self.log.read_text().splitlines()[-LINES_OF_FAILURE:]
            raise AssertionError(
                '\n'.join([f'{self.name} is not ready, exit {code}', *last])
            ) from None

    async def restart(self) -> None:
        """Start the process unless it is running or being started."""
        async with self.starting:
            if self.process is None or self.process.returncode is not None:
                await self._spawn()
                self.started.append(self.process)

    async def _spawn(self) -> None:
        with open(self.log, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'topazring.platform.main',
                cwd=ROOT,
                env={**os.environ, 'TOPAZRING_SETTINGS': str(self.path)},
                stdout=log,
                stderr=log,
            )

    async def is_ready(self) -> bool:
        """Return whether the readiness probe of the balancer succeeds."""
        return (await self.get('/-/ready')).startswith('HTTP/1.1 200')

    async def is_listening(self) -> bool:
        """Return whether the process answers probes, whatever the status."""
        return bool(await self.get('/-/ready'))

    async def get(self, path: str) -> str:
        """Return a response from the probe address, empty if there is none."""
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', self.ready_port
            )
        except OSError:
            return ''
        writer.write(
            f'GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
            .encode()
        )  # fmt: skip
        with contextlib.suppress(OSError):
            return (await reader.read()).decode()
        return ''

    def events(self) -> list[dict]:
        """Return the events that the process logged."""
        lines = self.log.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]

    async def stop(self, number: int = signal.SIGTERM) -> int:
        """Send a signal; return the exit code."""
        if self.process.returncode is None:
            self.process.send_signal(number)
        async with asyncio.timeout(10):
            return await self.process.wait()


async def wait_until(holds, within_s: float = 5.0) -> None:
    """Wait until a condition holds; raise TimeoutError otherwise."""
    async with asyncio.timeout(within_s):
        while not await holds():
            await asyncio.sleep(0.02)


class PlatformTestCase(testtools.TestCase):
    """Provide each test with a store, a group and proxies."""

    # Connections that an upstream accepts from all proxies together.
    max_connections = 23

    def run_on_platform(self, steps, proxies: int = 1) -> None:
        """Run `steps` with everything started."""
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(self._run(steps, proxies, folder))

    async def _run(self, steps, proxies: int, folder: str) -> None:
        self.store = fake_store.FakeStore()
        store_ports = ports.find_free_ports(proxies)
        self.group = fake_upstreams.FakeGroup(
            SERVICE, ports.find_free_ports(3)
        )
        self.store.promote = self.promote
        found = ports.find_free_ports(4 * proxies)
        self.proxies = [
            Proxy(f'p{number}', port, folder, found[4 * number - 4 :])
            for number, port in enumerate(store_ports, start=1)
        ]
        seeds = [f'127.0.0.1:{p.peer_port}' for p in self.proxies]
        for proxy in self.proxies:
            proxy.write_settings(seeds)
        self.store.start(store_ports)
        self.group.start()
        await self.configure(1)
        await self.list_upstreams()
        try:
            for proxy in self.proxies:
                await proxy.start()
            await steps()
        except Exception:
            for proxy in self.proxies:
                if proxy.process is not None:
                    failure_logs.attach_log(
                        self, proxy.name, proxy.log.read_text()
                    )
            raise
        finally:
            for proxy in self.proxies:
                if proxy.process is not None:
                    await proxy.stop(signal.SIGKILL)
            self.group.close()
            self.store.close()

    async def configure(self, version: int, *routes: dict) -> None:
        """Write a configuration as the operator does."""
        await self.store.put_json(
            'op/config',
            {
                'version': version,
                'routes': routes or [
                    route('exact', 'primary'),
                    route('own', 'read_your_writes',
                          **{'max-staleness-ms': 2500}),
                    route('old', 'bounded_staleness',
                          **{'max-staleness-ms': 1500}),
                ],
                'services': [
                    {'name': SERVICE, 'max-conns': self.max_connections}
                ],
                'limits': {'max-body-bytes': 4096, 'tx-idle-ms': 3000},
            },
        )  # fmt: skip

    async def list_upstreams(self, **more) -> None:
        """Write the store entries of every upstream."""
        for member in self.group.members:
            entry = self.group.entry(member, **more.get(member.name, {}))
            await self.store.put_json(f'servers/{member.name}', entry)

    def promote(self, service: str, name: str) -> bool:
        """Carry out an order and update the entries if the primary changed.

        An order for the current primary changes nothing. Rewriting the
        entries for it would overwrite those that a test has just listed.
        """
        before = self.group.primary()
        done = self.group.promote(service, name)
        if done and self.group.primary() is not before:
            self.listing = asyncio.ensure_future(self.list_upstreams())
        return done

    async def session(self, database: str, proxy: int = 0) -> Caller:
        """Start a session at one of the proxies."""
        port = self.proxies[proxy].caller_port
        return await Caller.connect(port, database)
