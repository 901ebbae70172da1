"""Start proxies with the command of the deploy file, and talk to them."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

from common import backends
from common import store as stores

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ('cork-hall', 'galway-hall', 'sligo-hall')
CONFIG_APPLY_S = 3.0
PORTS = range(18000, 30000)
COMMAND = ('python3', '-P', '-m', 'topazring.platform.main')
BOUNDS = {
    'config_apply_ms': 3000,
    'upstream_drain_ms': 7000,
    'checks_tokens': True,
    'cpu_share': 0.537,
    'cpu_speed': 2,
    'link_mbps': 1000.0,
    'memory_mb': 300,
    'max_descriptors': 4200,
    'grace_s': 6,
}


class CannotRun(Exception):
    """The case could not run at all."""


class Record:
    """Lines of `record.txt`, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.began_s = time.monotonic()

    def add(self, text):
        """Write a line."""
        took_s = time.monotonic() - self.began_s
        self.file.write(f'{took_s:8.3f} {text}\n')
        self.file.flush()


def free_ports(count):
    """Return ports that nobody uses now.

    They lie below the range from which the kernel takes ports for outgoing
    connections, so that none of these gets one before its process listens.
    """
    found = []
    for port in random.sample(PORTS, len(PORTS)):
        with socket.socket() as each:
            try:
                each.bind(('127.0.0.1', port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise CannotRun('too few free ports')


class Stage:
    """The platform, the backends and the proxies."""

    def __init__(self, record, services=3, proxies=3):
        self.record = record
        self.service_count = services
        self.proxy_count = proxies
        self.store = stores.Store()
        self.services = []
        self.proxies = []
        self.folder = tempfile.mkdtemp(prefix='review-')
        self.orders = None
        self.version = 0

    async def start(self, routes):
        """Start all; return once each proxy is ready and knows its peers."""
        await self.store.start()
        self.orders = await asyncio.start_server(
            self.answer_order, '127.0.0.1', 0
        )
        for place in range(self.service_count):
            name = f's{place + 1}'
            service = backends.Service(name, ZONES, self.store)
            self.services.append(service)
            await service.start()
        self.configure(routes)
        ports = [free_ports(4) for _ in range(self.proxy_count)]
        seeds = [f'127.0.0.1:{each[2]}' for each in ports[:3]]
        for place, own in enumerate(ports):
            path = self.write_settings(
                place, ZONES[place % 3], own, seeds, self.store.address
            )
            proxy = Proxy(path, own[0], own[1])
            await proxy.start()
            self.proxies.append(proxy)
        for proxy in self.proxies:
            await self.wait_ready(proxy)
        await asyncio.sleep(6)

    def configure(self, routes):
        """Write a configuration; `routes` are host, type, service."""
        self.version += 7
        config = {
            'version': self.version,
            'routes': [
                {
                    'name': f'r-{host}',
                    'host': host,
                    'path-prefix': '/',
                    'type': kind,
                    'timeout-ms': 800,
                    'latency-goal-ms': 250,
                    'priority': 1,
                    'service': service,
                    'max-attempts': 2,
                    'max-staleness-ms': 1500,
                }
                for host, kind, service in routes
            ],
            'services': [
                {
                    'name': service.name,
                    'health-path': '/health',
                    'max-conns': service.max_conns,
                    'protocol': 'h1',
                    'tls': False,
                    'sync-replicas': 1,
                }
                for service in self.services
            ],
            'limits': {'tx-idle-ms': 3000},
        }
        revision = self.store.put_json('op/config', config)
        self.record.add(
            f'store acknowledges configuration {self.version} '
            f'(revision {revision}): {sorted(r[0] for r in routes)}'
        )

    async def answer_order(self, reader, writer):
        """Answer orders to promote."""
        try:
            while await reader.readline():
                length = 0
                while (line := await reader.readline()) not in (b'\r\n', b''):
                    name, _, value = line.decode().partition(':')
                    if name.lower() == 'content-length':
                        length = int(value)
                body = json.loads(await reader.readexactly(length))
                accepted = any(
                    service.name == body['service']
                    and service.promote(body['id'])
                    for service in self.services
                )
                self.record.add(f'order to promote {body}: {accepted}')
                code = 200 if accepted else 409
                writer.write(
                    f'HTTP/1.1 {code} -\r\n'
                    'Content-Type: application/json\r\n'
                    'Content-Length: 2\r\n\r\n{}'.encode()
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The caller left, or the case has ended.
            pass
        finally:
            writer.close()

    def write_settings(self, place, zone, ports, seeds, store_address):
        """Write what `deploy/settings.json` becomes; return its path."""
        front, ready, peer, hop = ports
        orders_port = self.orders.sockets[0].getsockname()[1]
        settings = {
            'name': f'front-{zone}-{place}',
            'data_centre': zone,
            'caller_address': f'127.0.0.1:{front}',
            'ready_address': f'127.0.0.1:{ready}',
            'peer_address': f'127.0.0.1:{peer}',
            'peers': seeds,
            'hop_address': f'127.0.0.1:{hop}',
            'store_address': store_address,
            'orders_address': f'127.0.0.1:{orders_port}',
            **BOUNDS,
        }
        path = pathlib.Path(self.folder, f'{settings["name"]}.json')
        path.write_text(json.dumps(settings), encoding='utf-8')
        return path

    async def wait_ready(self, proxy):
        """Wait until a proxy is ready; raise CannotRun if it is not."""
        for _ in range(200):
            if await proxy.is_ready():
                self.record.add(f'{proxy.name} is ready')
                return
            if proxy.process.returncode is not None:
                break
            await asyncio.sleep(0.1)
        raise CannotRun(f'{proxy.name} does not become ready')

    async def close(self):
        """End all processes and stand-ins."""
        for proxy in self.proxies:
            await proxy.kill()
        for service in self.services:
            service.close()
        if self.orders is not None:
            self.orders.close()
        self.store.close()
        if os.environ.get('KEEP'):
            shutil.copytree(
                self.folder, os.environ['KEEP'], dirs_exist_ok=True
            )
        shutil.rmtree(self.folder, ignore_errors=True)


class Proxy:
    """One process of the project."""

    def __init__(self, settings_path, front, ready):
        self.settings_path = settings_path
        self.name = settings_path.stem
        self.front = front
        self.ready = ready
        self.process = None

    async def start(self):
        """Start the process with the command of the deploy file."""
        kept = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        with open(self.settings_path.with_suffix('.txt'), 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND,
                cwd=ROOT,
                env={
                    **kept,
                    'TOPAZRING_SETTINGS': str(self.settings_path),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                },
                stdout=log,
                stderr=log,
            )

    async def kill(self):
        """End the process at once."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self):
        """Return whether the ready probe is answered with 200."""
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', self.ready
            )
            writer.write(b'GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line


class Client:
    """One session of a client."""

    def __init__(self, proxy, database, name):
        self.proxy = proxy
        self.database = database
        self.name = name
        self.reader = None
        self.writer = None

    async def start(self):
        """Start the session; return the line that answers."""
        self.reader, self.writer = await asyncio.open_connection(
            '127.0.0.1', self.proxy.front, limit=1 << 21
        )
        self.writer.write(f'START {self.database} {self.name}\r\n'.encode())
        return await self._line(2)

    async def _line(self, timeout_s):
        try:
            line = await asyncio.wait_for(self.reader.readline(), timeout_s)
        except (TimeoutError, OSError):
            return ''
        return line.decode().rstrip('\r\n')

    async def query(self, request_id, text, timeout_s=3):
        """Send a statement; return the lines up to READY, or to the end."""
        self.writer.write(f'QUERY {request_id} {text}\r\n'.encode())
        lines = []
        while not lines or not lines[-1].startswith('READY'):
            line = await self._line(timeout_s)
            if not line:
                break
            lines.append(line)
        return lines

    def close(self):
        """Close the session."""
        if self.writer is not None:
            self.writer.close()


def run_case(folder, case, trouble):
    """Run a case; return 1 if the rule was broken, 0 if not, 2 if unable."""
    record = Record(pathlib.Path(folder, 'record.txt'))
    record.add(f'with the disruption: {trouble}')
    try:
        broken = asyncio.run(case(record, trouble))
    except Exception as error:
        record.add(f'the case could not run: {error!r}')
        print(f'could not run: {error!r}', file=sys.stderr)
        return 2
    record.add('RULE BROKEN' if broken else 'the rule held')
    print('rule broken' if broken else 'rule held')
    return int(broken)
