"""Stage a soak: real proxies before our stand-ins for the platform."""

import asyncio
import contextlib
import pathlib
import time

from topazring.bench import ports
from topazring.core.synchronous import messages
from topazring.platform.tests import fake_store
from topazring.platform.tests import soak_upstreams
from topazring.platform.tests import support
from topazring.soak import checks
from topazring.soak import environment
from topazring.soak import observations
from topazring.soak import schedules
from topazring.standin import faults as link_faults
from topazring.standin import settings as link_settings

HOST = '127.0.0.1'
LEASE_TICK_S = 0.05
POLL_INTERVAL_S = 1.0
MAX_FAILED_PROBES = 2
PROBE_INTERVAL_S = 0.25
PROBE_TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 2.0
SLOW_DELAY_S = 0.25
_PROMISES = ('BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'TOOMANY')
_UNKNOWN = ('UNKNOWN', 'TIMEOUT', 'FAILED')
Mode = link_faults.Mode
# Forward, backward, delay, and which connections.
_LINKS = {
    'delayed': (Mode.PASS, Mode.PASS, 0.15, ''),
    'reset': (Mode.CUT, Mode.CUT, 0.0, ''),
    'one way': (Mode.PASS, Mode.SILENT, 0.0, ''),
    'no way': (Mode.SILENT, Mode.SILENT, 0.0, ''),
    'loses answers for good': (Mode.PASS, Mode.DROP, 0.0, 'old'),
}
_DATABASES = [
    environment.Database('exact', messages.Freshness.PRIMARY),
    environment.Database('own', messages.Freshness.SESSION, 2500),
    environment.Database('old', messages.Freshness.BOUNDED, 1500),
]


class Store(fake_store.FakeStore):
    """Hold leases that end unless they are kept."""

    def __init__(self):
        super().__init__()
        self.kept_s: dict[int, float] = {}
        # Whether leases stand still while nobody is served.
        self.pausing = False

    def renew(self, lease: int) -> None:
        """Take in that a lease begins or is kept."""
        self.kept_s[lease] = time.monotonic()

    @property
    def is_away(self) -> bool:
        """Say whether nobody is served."""
        return bool(self.failure_code) or self.is_unresponsive

    async def end_leases(self) -> None:
        """End each lease in its time, for ever."""
        while True:
            await asyncio.sleep(LEASE_TICK_S)
            if self.is_away and self.pausing:
                for lease in self.kept_s:
                    self.kept_s[lease] += LEASE_TICK_S
            now_s = time.monotonic()
            for lease, ttl_ms in list(self.leases.items()):
                if now_s - self.kept_s[lease] > ttl_ms / 1000:
                    await self.end_lease(lease)

    def disturb(self, how: str, choice: float, ports: list[int]) -> None:
        """Be in trouble; `well` ends it."""
        self.failure_code = 503 if how == 'down' else 0
        self.is_unresponsive = how == 'silent'
        self.slow_s = SLOW_DELAY_S if how == 'slow' else 0.0
        self.loses_responses = how == 'loses answers'
        self.pausing = choice < 0.5
        self.failure_codes_by_port.clear()
        if how == 'forgets':
            self.compact_history()
        if how == 'turns away':
            code = (503, 429)[int(choice * 10) % 2]
            self.failure_codes_by_port[ports[int(choice * len(ports))]] = code


class SessionClient(support.Caller):
    """Speak one session, and hear what nobody asked for."""

    def __init__(self, reader, writer):
        super().__init__(reader, writer)
        self.unasked: list[str] = []
        self.lines: asyncio.Queue[str] = asyncio.Queue()
        self.waits = False
        self.reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        with contextlib.suppress(OSError):
            while line := await self.reader.readline():
                text = line.decode().rstrip('\r\n')
                # An error is allowed at any time, before a close.
                if not self.waits and not text.startswith('ERROR'):
                    self.unasked.append(text)
                self.lines.put_nowait(text)
        # The end.
        self.lines.put_nowait('')

    async def ask(self, line: str, *ends: str) -> list[str]:
        """Send a line; return what is said up to one of the ends."""
        self.waits = True
        self.writer.write(f'{line}\r\n'.encode())
        said = []
        while not said or not said[-1].startswith(ends):
            said.append(await self.lines.get())
            if not said[-1]:
                raise environment.SessionEnded(str(said))
        self.waits = False
        return said

    async def execute(self, ask: observations.Ask) -> observations.Answer:
        """Return the answer; raise Ended without one."""
        text = f'{ask.verb.upper()} {ask.item} {ask.data}'.rstrip()
        said = await self.ask(f'QUERY {ask.request_id} {text}', 'READY')
        rows = tuple(line[4:] for line in said if line.startswith('ROW '))
        word, _, rest = said[-2].partition(' ')
        if word == 'DONE':
            return observations.Answer(observations.Kind.DONE, rest, rows)
        code = rest.partition(' ')[0]
        kind = observations.Kind.REJECTED
        if code in _PROMISES:
            kind = observations.Kind.NOT_RUN
        elif code in _UNKNOWN:
            kind = observations.Kind.UNKNOWN
        return observations.Answer(kind, rows=rows, detail=rest)

    def close(self) -> None:
        """Leave."""
        self.reading.cancel()
        super().close()


class Links:
    """Own links, each before one port."""

    def __init__(self):
        self.links: dict[str, link_faults.Link] = {}

    async def open(self, name: str, target_port: int) -> int:
        """Return the port to reach a target by, the same each time."""
        if name not in self.links:
            config = link_settings.LinkSettings(
                name=name, port=ports.find_free_port(), target_port=target_port
            )
            self.links[name] = link_faults.Link(config, HOST)
            await self.links[name].start()
        return self.links[name].config.port

    async def end(self, name: str) -> None:
        """End a link."""
        self.mend(name)
        await self.links.pop(name).close()

    def disturb(self, name: str, how: str) -> None:
        """Put a link in trouble, if it is still there."""
        if name in self.links:
            self.links[name].set_modes(*_LINKS[how])

    def mend(self, name: str) -> None:
        """Have a link pass again, but not where an answer was lost.

        Those connections stay silent: the rest would be taken for it.
        """
        link = self.links.get(name)
        pipes = link.pipes if link else ()
        lost = [pipe for pipe in pipes if Mode.DROP in pipe.modes.values()]
        if link:
            link.set_modes(Mode.PASS, Mode.PASS, 0.0, '')
        for pipe in lost:
            pipe.set_modes(Mode.PASS, Mode.DROP)


class Stage:
    """Own everything that a soak starts."""

    def __init__(
        self, schedule: schedules.Schedule, proxies: int, folder: str
    ):
        self.oracle = checks.Oracle()
        self.databases = _DATABASES
        self.grace_s = 3.0
        self.folder = folder
        self.store = Store()
        self.links = Links()
        self.upstreams = soak_upstreams.Upstreams(
            self.store, self.links, self.oracle.note, schedule.promote_ms
        )
        self.store.promote = self.upstreams.promote
        self.rotation: list[support.Proxy] = []
        self.instances: list[support.Proxy] = []
        self.proxies = proxies
        self.version = 0
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Start everything, and wait until it is ready."""
        store_ports = ports.find_free_ports(self.proxies)
        self.store.start(store_ports)
        for number, port in enumerate(store_ports, start=1):
            name = f'p{number}'
            door = await self.links.open(f'{name}/service', port)
            mine = ports.find_free_ports(4)
            proxy = support.Proxy(name, door, self.folder, mine)
            self.instances.append(proxy)
        for proxy in self.instances:
            self.rewrite_settings(proxy)
        await self.configure()
        await self.upstreams.start()
        await asyncio.gather(*(each.start() for each in self.instances))
        work = [self.store.end_leases(), self._probe_forever()]
        work += [self._balance(proxy) for proxy in self.instances]
        self.tasks = [asyncio.create_task(each) for each in work]
        self.rotation = list(self.instances)

    async def close(self) -> None:
        """End everything that was started, and nothing else."""
        for task in self.tasks:
            task.cancel()
        for process in [p for each in self.instances for p in each.started]:
            if process.returncode is None:
                process.kill()
            await process.wait()
        self.upstreams.close()
        for name in list(self.links.links):
            await self.links.end(name)
        # Let the connections find out that they are closed.
        await asyncio.sleep(LEASE_TICK_S)
        self.store.close()

    def logs(self) -> list[pathlib.Path]:
        """Return the files that the proxies log to."""
        return [proxy.log for proxy in self.instances]

    def final_log(self) -> list[observations.Entry]:
        """Return the log that leads."""
        return self.upstreams.group.primary().log

    # ---- callers ----

    async def connect(
        self, instance: support.Proxy, database: str
    ) -> SessionClient:
        """Start a session; raise Ended if it is refused."""
        talk, said = await self._greet(instance, database)
        if said.startswith('READY'):
            return talk
        talk.close()
        raise environment.SessionEnded(said)

    async def _greet(
        self, instance: support.Proxy, database: str
    ) -> tuple[SessionClient, str]:
        talk = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                talk = SessionClient(
                    *await asyncio.open_connection(HOST, instance.caller_port)
                )
                said = await talk.ask(f'START {database} me', 'READY', 'ERROR')
            return talk, said[0]
        except OSError as error:
            if talk is not None:
                talk.close()
            raise environment.SessionEnded('no greeting') from error

    async def _balance(self, proxy: support.Proxy) -> None:
        """Take a proxy in and out of rotation as the platform does."""
        misses = 0
        while True:
            ready = False
            with contextlib.suppress(OSError):
                async with asyncio.timeout(PROBE_TIMEOUT_S):
                    ready = await proxy.is_ready()
            misses = 0 if ready else misses + 1
            if ready and proxy not in self.rotation:
                self.rotation.append(proxy)
            elif misses >= MAX_FAILED_PROBES and proxy in self.rotation:
                self.rotation.remove(proxy)
            code = proxy.process.returncode
            if code is not None and code not in checks.ALLOWED_EXIT_CODES:
                now, note = environment.now_ms(), self.oracle.note
                note(observations.Exited(now, proxy.name, code))
                note(observations.Started(now, proxy.name))
                await proxy.restart()
            await asyncio.sleep(POLL_INTERVAL_S)

    # ---- the operator ----

    def rewrite_settings(self, instance: support.Proxy) -> None:
        """Write an instance's settings anew."""
        seeds = [f'{HOST}:{p.peer_port}' for p in self.instances]
        instance.write_settings(seeds)

    async def configure(self) -> None:
        """Have the operator write a version with a route of its own.

        The route of the version before is dropped.
        """
        self.version += 1
        routes = [support.route(f'v{self.version}', 'primary')]
        for base in self.databases:
            kind = {
                messages.Freshness.PRIMARY: 'primary',
                messages.Freshness.SESSION: 'read_your_writes',
                messages.Freshness.BOUNDED: 'bounded_staleness',
            }[base.freshness]
            more = {'max-staleness-ms': base.max_staleness_ms}
            routes.append(support.route(base.name, kind, **more))
        value = {
            'version': self.version,
            'routes': routes,
            'services': [{'name': support.SERVICE, 'max-conns': 23}],
            'limits': {'max-body-bytes': 4096, 'tx-idle-ms': 3000},
        }
        await self.store.put_json('op/config', value)
        in_force = observations.InForce(environment.now_ms(), self.version)
        self.oracle.note(in_force)

    async def _probe_forever(self) -> None:
        while True:
            versions = (self.version, self.version - 1)
            asking = [
                self._probe(proxy, version)
                for proxy in self.instances
                for version in versions
            ]
            await asyncio.gather(*asking, asyncio.sleep(PROBE_INTERVAL_S))

    async def _probe(self, proxy: support.Proxy, version: int) -> None:
        """Ask an instance for a database that only a version has."""
        asked_ms, process = environment.now_ms(), proxy.process
        try:
            talk, said = await self._greet(proxy, f'v{version}')
        except environment.SessionEnded:
            return
        talk.close()
        taken = said.startswith('READY')
        answered = taken or said.startswith('ERROR NODB')
        if answered and process is proxy.process:
            now = environment.now_ms()
            probed = (now, asked_ms, proxy.name, version, taken)
            self.oracle.note(observations.Probed(*probed))

    # ---- trouble ----

    async def disturb(
        self, part: str, how: str, choice: float, for_ms: int, gap_ms: int
    ) -> None:
        """Trouble upstreams, the store or a link, until that is over."""
        if part == 'service':
            doors = [proxy.store_port for proxy in self.instances]
            self.store.disturb(how, choice, doors)
            await asyncio.sleep(for_ms / 1000)
            self.store.disturb('well', choice, doors)
        elif part == 'links':
            names = sorted(self.links.links)
            name = names[int(choice * len(names))]
            self.links.disturb(name, how)
            await asyncio.sleep(for_ms / 1000)
            self.links.mend(name)
        else:
            await self.upstreams.disturb(how, choice, for_ms, gap_ms)
