"""Run proxies as processes, with small stand-ins for all that they talk to.

The store, the platform's orders, the upstreams and the callers speak what
`PROTOCOL.md` says. Only the standard library is used.
"""

import asyncio
import base64
import collections
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
# Both as in the pages of the small deployments.
HEARTBEAT_S = 1.2
MISSED_HEARTBEATS = 3
PROMOTE_S = 0.3


def now_s() -> float:
    """Return the steady time in seconds."""
    return time.monotonic()


def free_ports(count: int) -> list[int]:
    """Return ports of the loopback address that nobody listens at."""
    with contextlib.ExitStack() as stack:
        found = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind((HOST, 0))
            found.append(sock.getsockname()[1])
        return found


class Record:
    """Write what was sent, answered and run to a file."""

    def __init__(self, path: pathlib.Path):
        self.began_s = now_s()
        self.file = open(path, 'w', encoding='utf-8')

    def note(self, text: str) -> None:
        """Write one line with the time since the start."""
        self.file.write(f'{now_s() - self.began_s:9.4f} {text}\n')

    def close(self) -> None:
        """Close the file."""
        self.file.close()


class Store:
    """Hold the platform's keys and leases, and receive its orders."""

    def __init__(self, record: Record):
        self.record = record
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.numbers = itertools.count(1)
        self.changed = asyncio.Condition()
        # Calls get no answer, and nothing is done, until this time.
        self.down_until_s = 0.0
        # Carries out an order; returns whether its upstream runs.
        self.promote = lambda service, name: False
        self.tokens: dict[str, int] = {}
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()

    async def start(self, port: int) -> None:
        """Listen, and end leases in time."""
        self.server = await asyncio.start_server(self._serve, HOST, port)
        self.tasks.add(asyncio.create_task(self._end_leases()))

    def close(self) -> None:
        """Stop."""
        self.server.close()
        for task in self.tasks:
            task.cancel()

    async def _end_leases(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            for lease, (until_s, _) in list(self.leases.items()):
                if now_s() >= until_s:
                    await self.end_lease(lease)

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item['lease'] == lease:
                await self.put(key, None)

    async def put(self, key: str, value: str | None, lease: int = 0) -> None:
        """Write a value, or remove the key."""
        self.revision += 1
        self._set(key, value, lease)
        await self._wake()

    def _set(self, key: str, value: str | None, lease: int) -> None:
        before = self.items.pop(key, None)
        if value is None:
            if before is None:
                return
            event = {'key': key, 'revision': self.revision, 'deleted': True}
        else:
            created = before['created'] if before else self.revision
            event = {
                'key': key,
                'value': value,
                'revision': self.revision,
                'created': created,
                'lease': lease,
            }
            self.items[key] = event
        self.history.append(event)

    async def _wake(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    async def put_json(self, key: str, value: dict | None) -> None:
        """Write a JSON value as the operator and the upstreams do."""
        text = None
        if value is not None:
            text = base64.b64encode(json.dumps(value).encode()).decode()
        await self.put(key, text)

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                line = (await reader.readline()).decode()
                if not line.strip():
                    return
                method, target, _ = line.split()
                headers = {}
                while True:
                    raw = (await reader.readline()).decode().strip()
                    if not raw:
                        break
                    name, _, value = raw.partition(':')
                    headers[name.lower()] = value.strip()
                length = int(headers.get('content-length', 0))
                body = await reader.readexactly(length)
                if now_s() < self.down_until_s and target != '/promote':
                    # It answers nothing on this connection.
                    await asyncio.sleep(30)
                    return
                code, answer = await self._answer(
                    method, target, headers, body
                )
                raw = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {code} x\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(raw)}\r\n\r\n'.encode()
                    + raw
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def _answer(self, method, target, headers, body):
        path, _, query_text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(query_text))
        if path == '/-/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'current-rev': self.revision}
            return 200, {**item, 'current-rev': self.revision}
        if path == '/-/kv-range':
            return 200, self._range(query)
        if path == '/-/kv-watch':
            return 200, await self._watch(query)
        if path == '/-/kv-txn':
            return await self._txn(json.loads(body))
        if path == '/-/kv-lease':
            ttl_ms = max(1000, min(600_000, json.loads(body)['ttl-ms']))
            lease = next(self.numbers)
            self.leases[lease] = (now_s() + ttl_ms / 1000, ttl_ms / 1000)
            return 200, {'lease': lease, 'ttl-ms': ttl_ms}
        if path.startswith('/-/kv-keep/'):
            lease = int(path.rpartition('/')[2])
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][1]
            self.leases[lease] = (now_s() + ttl_s, ttl_s)
            return 200, {'lease': lease, 'ttl-ms': round(ttl_s * 1000)}
        if path.startswith('/-/kv-lease-end/'):
            await self.end_lease(int(path.rpartition('/')[2]))
            return 200, {}
        if path == '/promote':
            return self._order(headers, json.loads(body))
        return 404, {}

    def _range(self, query: dict) -> dict:
        prefix, after = query.get('path-prefix', ''), query.get('after', '')
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        return {
            'items': [self.items[key] for key in keys[:500]],
            'has-more': len(keys) > 500,
            'current-rev': self.revision,
        }

    async def _watch(self, query: dict) -> dict:
        prefix, after = query.get('path-prefix', ''), int(query['after'])
        until_s = now_s() + int(query['wait-ms']) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]
            left_s = until_s - now_s()
            if events or left_s <= 0:
                return {'events': events, 'current-rev': self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s), self.changed:
                    await self.changed.wait()

    async def _txn(self, body: dict):
        for row in body.get('expect', []):
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                found = [
                    self.items[each['key']]
                    for each in body['expect']
                    if each['key'] in self.items
                ]
                return 412, {'items': found}
        puts = body.get('puts', [])
        if any(p.get('lease') and p['lease'] not in self.leases for p in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            self._set(put['key'], put['value'], put.get('lease', 0))
        for key in body.get('remove', []):
            self._set(key, None, 0)
        await self._wake()
        return 200, {'revision': self.revision}

    def _order(self, headers: dict, body: dict):
        token = int(headers['x-topazring-fencing-token'])
        service, name = body['service'], body['id']
        self.record.note(f'order: promote {name} with token {token}')
        if token < self.tokens.get(service, 0):
            return 409, {}
        self.tokens[service] = token
        return (200, {}) if self.promote(service, name) else (409, {})


class Upstream:
    """Hold one upstream: its log, its role and its connections."""

    def __init__(self, name: str, port: int):
        self.name, self.port = name, port
        self.role = 'replica'
        self.term = 1
        # Term, item and data of each entry; the first one is empty.
        self.log: list[tuple[int, str, str]] = [(1, '', '')]
        self.paused_for = 0
        self.is_running = True
        # It receives nothing.
        self.is_deaf = False
        # Time from a statement to its answer on the network.
        self.round_trip_s = 0.0
        # Cleared while it answers nothing.
        self.is_awake = asyncio.Event()
        self.is_awake.set()
        self.writers: set[asyncio.StreamWriter] = set()
        # Length of the log and waiter of each commit nobody has received.
        self.waiting: list[tuple[int, asyncio.Future]] = []
        self.server: asyncio.Server | None = None

    def receives(self) -> bool:
        """Return whether commits of the primary arrive."""
        return self.is_running and not (self.is_deaf or self.paused_for)

    def position(self) -> str:
        """Return the position of the last entry."""
        return f'{self.log[-1][0]}.{len(self.log)}'


class Session:
    """Hold the state of one connection to an upstream."""

    def __init__(self, client: str):
        self.client = client
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        # 'plain' or 'read' in a transaction.
        self.transaction = ''
        self.failed = False
        self.term = 0
        self.writes: list[tuple[str, str]] = []


class Group:
    """Run the upstreams of one service; commits reach replicas at once."""

    def __init__(self, service: str, ports: list[int], record, store: Store):
        self.service = service
        self.record = record
        self.store = store
        self.members = [Upstream(f'i-{port}', port) for port in ports]
        self.members[0].role = 'primary'
        self.term = 1
        self.signatures = itertools.count(1)
        # When each read, write and commit ran: its client, id and text.
        self.runs: list[tuple[float, str, str, str]] = []
        # How many of them had run as each promotion took effect.
        self.led_runs: list[int] = []
        self.max_connections = 23
        self.promote_s = PROMOTE_S
        # Least and greatest time of a commit on its way to a replica, one way;
        # without them it arrives at once.
        self.delay_s: tuple[float, float] | None = None
        self.rng = random.Random()
        # Members whose next RESUME gets no answer and is carried out late;
        # and those that have got it.
        self.late_resumes: set[str] = set()
        self.resumes_due: list[Upstream] = []
        # Called with each upstream that begins to lead.
        self.has_led = lambda member: None

    async def start(self) -> None:
        """Start all upstreams and list them."""
        for member in self.members:
            await self.listen(member)
            await self.list_member(member)

    async def listen(self, member: Upstream) -> None:
        """Accept connections to an upstream."""
        member.server = await asyncio.start_server(
            lambda r, w: self._serve(member, r, w), HOST, member.port
        )

    async def list_member(self, member: Upstream) -> None:
        """Write the entry of an upstream."""
        entry = {
            'service': self.service,
            'address': f'{HOST}:{member.port}',
            'zone': 'hall-1',
            'version': 'v1',
            'capacity': 8,
            'state': 'ready',
            'cold-left-ms': 0,
            'db-role': member.role,
            'sequence': 1,
            'born': 1,
        }
        await self.store.put_json(f'servers/{member.name}', entry)

    async def unlist(self, member: Upstream) -> None:
        """Remove the entry of an upstream: it was silent for too long."""
        self.record.note(f'the entry of {member.name} is removed')
        await self.store.put(f'servers/{member.name}', None)

    def close(self) -> None:
        """Stop all upstreams."""
        for member in self.members:
            self.stop(member)

    def stop(self, member: Upstream) -> None:
        """End the process of an upstream."""
        member.is_running = False
        member.server.close()
        for writer in list(member.writers):
            writer.transport.abort()

    def promote(self, service: str, name: str) -> bool:
        """Carry out an order; return whether the upstream runs."""
        member = next((m for m in self.members if m.name == name), None)
        if service != self.service or member is None:
            return False
        if not member.is_running:
            return False
        if member.role != 'primary':
            loop = asyncio.get_running_loop()
            loop.call_later(self.promote_s, self._lead, member)
        return True

    def _lead(self, member: Upstream) -> None:
        if not member.is_running or member.role == 'primary':
            return
        self.term += 1
        self.record.note(f'{member.name} leads term {self.term}')
        self.led_runs.append(len(self.runs))
        self.has_led(member)
        for other in self.members:
            other.role = 'replica'
            for _, is_kept in other.waiting:
                if not is_kept.done():
                    is_kept.set_result(False)
            other.waiting = []
            other.paused_for = 0
            other.term = self.term
            if other.is_running:
                other.log = list(member.log)
        member.role = 'primary'
        for other in self.members:
            if other.is_running:
                asyncio.ensure_future(self.list_member(other))

    async def _serve(self, member: Upstream, reader, writer) -> None:
        member.writers.add(writer)
        try:
            words = (await reader.readline()).decode().split()
            await member.is_awake.wait()
            if words[1] != self.service or words[3:] != [member.name]:
                writer.write(b'ERROR MISROUTED no\r\n')
                return
            if len(member.writers) > self.max_connections:
                writer.write(b'ERROR TOOMANY no\r\n')
                return
            session = Session(words[2])
            writer.write(f'READY I {member.position()}\r\n'.encode())
            while True:
                line = (await reader.readline()).decode().rstrip('\r\n')
                if not line or line == 'QUIT':
                    return
                await member.is_awake.wait()
                _, request_id, text = line.split(' ', 2)
                answer = self._answer(member, session, request_id, text)
                if isinstance(answer, asyncio.Future):
                    answer = await answer
                    if answer is None:
                        return
                state = 'I'
                if session.transaction:
                    state = 'E' if session.failed else 'T'
                answer.append(f'READY {state} {member.position()}')
                if member.round_trip_s:
                    await asyncio.sleep(member.round_trip_s)
                writer.write(''.join(f'{a}\r\n' for a in answer).encode())
                await writer.drain()
        except (OSError, IndexError):
            return
        finally:
            member.writers.discard(writer)
            writer.close()

    def _answer(self, member, session, request_id, text) -> list[str]:
        words = text.split(' ')
        if words[0] == 'AFTER':
            term, number = map(int, words[1].split('.'))
            is_held = number <= len(member.log)
            if number and not (is_held and member.log[number - 1][0] == term):
                return self._refuse(session, 'LAGGING')
            words = words[2:]
        verb, rest = words[0], words[1:]
        if session.failed and verb != 'ROLLBACK':
            return ['ERROR MALFORMED the transaction failed']
        match verb:
            case 'BEGIN':
                if not rest and member.role != 'primary':
                    return self._refuse(session, 'READONLY')
                session.transaction = 'read' if rest else 'plain'
                session.term = member.term
                return ['DONE -']
            case 'ROLLBACK':
                self._end(session)
                return ['DONE -']
            case 'SET':
                session.values[rest[0]] = ' '.join(rest[1:])
                return ['DONE -']
            case 'RESET':
                session.values.clear()
                session.prepared.clear()
                return ['DONE -']
            case 'PREPARE':
                session.prepared[rest[0]] = (rest[1], ' '.join(rest[2:]))
                return ['DONE -']
            case 'RESUME' if member.name in self.late_resumes:
                self.record.note(f'the RESUME of {member.name} is late')
                self.late_resumes.discard(member.name)
                self.resumes_due.append(member)
                return asyncio.get_running_loop().create_future()
            case 'STATUS' | 'PAUSE' | 'RESUME' | 'DEMOTE':
                return self._control(member, verb, rest)
            case 'EXECUTE':
                if rest[0] not in session.prepared:
                    return self._refuse(session, 'NOSTMT')
                verb, rest = session.prepared[rest[0]][0], rest[1:]
        return self._run(member, session, request_id, verb, rest)

    def _refuse(self, session: Session, code: str) -> list[str]:
        if session.transaction:
            session.failed = True
        return [f'ERROR {code} no']

    def _end(self, session: Session) -> None:
        session.transaction, session.failed = '', False
        session.writes.clear()

    def _control(self, member, verb, rest) -> list[str]:
        if verb == 'PAUSE' and member.role == 'replica':
            if int(rest[0]) > member.term:
                member.paused_for = int(rest[0])
        elif verb == 'RESUME':
            member.paused_for = 0
            self.catch_up(member)
        elif verb == 'DEMOTE' and member.term < int(rest[0]):
            member.role = 'replica'
        status = (
            f'{member.role} {member.term} {member.position()} '
            f'{member.paused_for} 0 0 {len(member.writers)}'
        )
        return [f'ROW {status}', 'DONE -']

    def carry_out_resumes(self) -> None:
        """Carry out each RESUME that is late."""
        for member in self.resumes_due:
            self.record.note(f'the late RESUME of {member.name} comes')
            self._control(member, 'RESUME', [])
        self.resumes_due = []

    def catch_up(self, member: Upstream) -> None:
        """Have a replica receive what it lacks, if the primary runs."""
        for leader in self.members:
            if leader.role == 'primary' and leader.is_running:
                if not member.receives():
                    return
                if self.delay_s is None:
                    member.log = list(leader.log)
                else:
                    self._send_log(leader, member, len(leader.log))

    def _run(self, member, session, request_id, verb, rest) -> list[str]:
        has_lost = member.role != 'primary' or session.term != member.term
        is_plain = session.transaction == 'plain'
        writes = verb == 'WRITE' or verb == 'COMMIT' and session.writes
        if is_plain and has_lost and (verb != 'COMMIT' or writes):
            return self._refuse(session, 'READONLY')
        if writes and member.role != 'primary':
            return self._refuse(session, 'READONLY')
        text = ' '.join([verb, *rest])
        self.runs.append((now_s(), session.client, request_id, text))
        self.record.note(f'run {member.name} {session.client} {request_id}')
        rows, is_kept = [], None
        if verb == 'READ':
            found = [d for _, i, d in member.log if i == ' '.join(rest)]
            rows = [f'ROW {found[-1]}'] if found else []
        elif verb == 'WRITE':
            session.writes.append((rest[0], ' '.join(rest[1:])))
        if verb == 'COMMIT' or verb == 'WRITE' and not session.transaction:
            is_kept = self._append(member, session.writes)
            self._end(session)
        answer = [*rows, f'DONE {member.name}.{next(self.signatures)}']
        if is_kept is None:
            return answer
        return asyncio.ensure_future(self._confirm(is_kept, answer))

    async def _confirm(self, is_kept: asyncio.Future, answer: list[str]):
        return answer if await is_kept else None

    def _append(self, member: Upstream, writes: list) -> asyncio.Future | None:
        """Commit; return what is set once a replica has received it."""
        if not writes:
            return None
        for item, data in writes:
            member.log.append((member.term, item, data))
        if self.delay_s is None:
            for each in self.members:
                if each is not member and each.receives():
                    each.log = list(member.log)
            return None
        loop = asyncio.get_running_loop()
        is_kept = loop.create_future()
        upto = len(member.log)
        member.waiting.append((upto, is_kept))
        for each in self.members:
            if each is not member:
                self._send_log(member, each, upto)
        return is_kept

    def _send_log(
        self, leader: Upstream, replica: Upstream, upto: int
    ) -> None:
        loop = asyncio.get_running_loop()
        delay_s = self.rng.uniform(*self.delay_s)
        loop.call_later(delay_s, self._receive, leader, replica, upto)

    def _receive(self, leader: Upstream, replica: Upstream, upto: int) -> None:
        if leader.role != 'primary' or not replica.receives():
            return
        if len(replica.log) < upto <= len(leader.log):
            replica.log.extend(leader.log[len(replica.log) : upto])
        received = len(replica.log)
        loop = asyncio.get_running_loop()
        delay_s = self.rng.uniform(*self.delay_s)
        loop.call_later(delay_s, self._note_received, leader, received)

    def _note_received(self, leader: Upstream, received: int) -> None:
        if leader.role != 'primary':
            return
        waiting, leader.waiting = leader.waiting, []
        for upto, is_kept in waiting:
            if upto > received:
                leader.waiting.append((upto, is_kept))
            elif not is_kept.done():
                is_kept.set_result(True)


class Proxy:
    """Run one proxy as the deploy file says."""

    def __init__(self, name: str, folder: str, ports: list[int]):
        self.name = name
        self.caller, self.ready, self.control, self.hop = ports
        self.path = os.path.join(folder, f'{name}.json')
        self.log = os.path.join(folder, f'{name}.log')
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self, store_port: int, seeds: list[str], **more):
        """Write the settings as `deploy/settings.json` renders them."""
        settings = {
            'name': self.name,
            'data_centre': 'hall-1',
            'caller_address': f'{HOST}:{self.caller}',
            'ready_address': f'{HOST}:{self.ready}',
            'peer_address': f'{HOST}:{self.control}',
            'peers': seeds,
            'hop_address': f'{HOST}:{self.hop}',
            'store_address': f'{HOST}:{store_port}',
            'orders_address': f'{HOST}:{store_port}',
            'config_apply_ms': 3000,
            'upstream_drain_ms': 7000,
            'checks_tokens': True,
            'cpu_share': 0.537,
            'cpu_speed': 2,
            'link_mbps': 1000.0,
            'memory_mb': 300,
            'max_descriptors': 4200,
            'grace_s': 6,
            **more,
        }
        pathlib.Path(self.path).write_text(json.dumps(settings))

    async def start(self) -> None:
        """Start the process, and wait until it is ready."""
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['TOPAZRING_SETTINGS'] = self.path
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        with open(self.log, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3', '-P', '-m', 'topazring.platform.main',
                cwd=ROOT, env=env, stdout=log, stderr=log,
            )  # fmt: skip
        until_s = now_s() + 20
        while not await self.is_ready():
            if now_s() > until_s or self.process.returncode is not None:
                raise RuntimeError(f'{self.name} does not become ready')
            await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready)
            writer.write(b'GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n')
            async with asyncio.timeout(1):
                line = await reader.readline()
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line

    def send(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def end(self, number: int = signal.SIGKILL) -> None:
        """Send a signal and wait for the end of the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            await self.process.wait()


class Caller:
    """Hold one session at a proxy."""

    def __init__(self, record: Record, name: str):
        self.record = record
        self.name = name
        self.ids = itertools.count(1)

    async def connect(self, port: int, database: str, key: str) -> list[str]:
        """Start a session; return the answer."""
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        self.writer.write(f'START {database} {key}\r\n'.encode())
        return await self._read()

    async def query(self, text: str, timeout_s: float = 10.0) -> list[str]:
        """Send a statement; return the lines of the answer."""
        request_id = f'{self.name}-{next(self.ids)}'
        self.last_id, self.sent_s = request_id, now_s()
        self.record.note(f'send {request_id} {text}')
        self.writer.write(f'QUERY {request_id} {text}\r\n'.encode())
        async with asyncio.timeout(timeout_s):
            answer = await self._read()
        self.record.note(f'answer {request_id} {answer}')
        return answer

    async def _read(self) -> list[str]:
        lines = []
        while True:
            line = (await self.reader.readline()).decode()
            if not line:
                return lines
            lines.append(line.rstrip('\r\n'))
            if line.startswith('READY'):
                return lines

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class Stage:
    """Hold everything that one case starts."""

    def __init__(self, record_path: pathlib.Path, proxies: int):
        self.record = Record(record_path)
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store(self.record)
        ports = free_ports(4 + 4 * proxies)
        self.store_port = ports.pop()
        self.group = Group('records', ports[:3], self.record, self.store)
        self.store.promote = self.group.promote
        ports = ports[3:]
        self.proxies = [
            Proxy(f'p{n + 1}', self.folder.name, ports[4 * n : 4 * n + 4])
            for n in range(proxies)
        ]

    async def start(self, configuration: dict, **settings) -> None:
        """Start all; the configuration is there before the proxies."""
        await self.store.start(self.store_port)
        await self.store.put_json('op/config', configuration)
        await self.group.start()
        seeds = [f'{HOST}:{p.control}' for p in self.proxies[:3]]
        for proxy in self.proxies:
            proxy.write_settings(self.store_port, seeds, **settings)
        await asyncio.gather(*(proxy.start() for proxy in self.proxies))

    async def close(self) -> None:
        """End all that was started."""
        for proxy in self.proxies:
            await proxy.end()
        self.group.close()
        self.store.close()
        self.record.close()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for proxy in self.proxies:
                text = pathlib.Path(proxy.log).read_text()
                pathlib.Path(keep, f'{proxy.name}.log').write_text(text)
        self.folder.cleanup()


def play(
    case, record_path: pathlib.Path, proxies: int, is_troubled: bool
) -> None:
    """Run a case and exit with its verdict; 2 if it could not run."""

    async def run() -> int:
        stage = Stage(record_path, proxies)
        try:
            async with asyncio.timeout(110):
                return await case(stage, is_troubled)
        finally:
            await stage.close()

    try:
        code = asyncio.run(run())
    except Exception as error:
        print(f'the case could not run: {error!r}', file=sys.stderr)
        code = 2
    sys.exit(code)


def count_windows(times_s: list[float], window_s: float) -> int:
    """Return the most events in any span of a length."""
    most, span = 0, collections.deque()
    for each in sorted(times_s):
        span.append(each)
        while each - span[0] > window_s:
            span.popleft()
        most = max(most, len(span))
    return most
