"""Fake the upstreams of a service on the platform's line protocol."""

import asyncio
import collections.abc
import dataclasses
import inspect
import itertools

from tornado import iostream
from tornado import tcpserver

from topazring.platform.tests import line_oracle

MAX_CONNECTIONS = 23


@dataclasses.dataclass
class Member:
    """Hold one upstream's role and log."""

    name: str
    port: int
    role: str
    term: int = 1
    # Item and data of each commit; replicas receive commits immediately.
    log: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    # Term of its last commit. A new primary's term appears here only after
    # its first own commit.
    log_term: int = 1
    paused_for_term: int = 0
    # Whether it closes the connection after a write, without answering.
    loses_answers: bool = False
    # Called with the verb of each statement; whether the member fails it.
    fails: collections.abc.Callable[[str], bool] = lambda verb: False
    # Duration of each read, or of its wait for a slot.
    reads_take_s: float = 0.0


class Session:
    """Hold one connection's state."""

    def __init__(self, client: str):
        # Whom the connection serves.
        self.client = client
        self.wire = line_oracle.Wire()
        self.values: dict[str, str] = {}
        # Access and shape by name.
        self.prepared: dict[str, tuple[str, str]] = {}
        # Whether the transaction is read-only; None outside a transaction.
        self.read_only: bool | None = None
        self.failed = False
        # Term in which its transaction began.
        self.term = 0
        self.writes: list[tuple[str, str]] = []


class FakeGroup:
    """Run upstreams whose logs are kept identical."""

    def __init__(self, service: str, ports: list[int]):
        self.service = service
        self.members = [Member(f'i-{port}', port, 'replica') for port in ports]
        self.members[0].role = 'primary'
        self.servers: dict[str, Server] = {}
        self.signatures = itertools.count(1)
        # Request id, text and session values of every statement that ran.
        self.ran: list[tuple[str, str, dict]] = []
        # The client and the text of every statement that ran.
        self.ran_for: list[tuple[str, str]] = []
        # Judges the lines as they arrive, if set.
        self.line_oracle: line_oracle.LineOracle | None = None

    def start(self) -> None:
        """Start every upstream."""
        for member in self.members:
            self.listen(member)

    def listen(self, member: Member) -> None:
        """Start one upstream."""
        server = self.make_server(member)
        server.listen(member.port, '127.0.0.1')
        self.servers[member.name] = server

    def make_server(self, member: Member) -> 'Server':
        """Return a server for a member."""
        return Server(self, member)

    def close(self) -> None:
        """Stop every upstream."""
        for name in list(self.servers):
            self.crash(name)

    def crash(self, name: str) -> None:
        """Stop one upstream and close its connections."""
        server = self.servers.pop(name)
        server.stop()
        for stream in list(server.streams):
            stream.close()

    def primary(self) -> Member:
        """Return the member that is the primary."""
        return next(m for m in self.members if m.role == 'primary')

    def promote(self, service: str, name: str) -> bool:
        """Make a member the primary of the next term; return success."""
        if name not in self.servers or service != self.service:
            return False
        chosen = next(m for m in self.members if m.name == name)
        if chosen.role == 'primary':
            return True
        term = max(member.term for member in self.members) + 1
        for member in self.members:
            member.role = 'replica'
            member.term = term
            member.paused_for_term = 0
            member.log = list(chosen.log)
            member.log_term = chosen.log_term
        chosen.role = 'primary'
        return True

    def entry(self, member: Member, **more) -> dict:
        """Return the entry that a member writes to the store."""
        return {
            'service': self.service,
            'address': f'127.0.0.1:{member.port}',
            'zone': 'here',
            'version': 'v1',
            'capacity': 3,
            'state': 'ready',
            'cold-left-ms': 0,
            'db-role': member.role,
            'sequence': 1,
            **more,
        }


class Server(tcpserver.TCPServer):
    """Serve the connections of one member."""

    def __init__(self, group: FakeGroup, member: Member):
        super().__init__()
        self.group = group
        self.member = member
        self.streams: set[iostream.IOStream] = set()

    async def handle_stream(self, stream, address) -> None:
        """Serve one connection, one line at a time."""
        self.streams.add(stream)
        try:
            await self._serve(stream)
        except iostream.StreamClosedError:
            return
        finally:
            self.streams.discard(stream)

    async def _serve(self, stream: iostream.IOStream) -> None:
        start = (await stream.read_until(b'\r\n')).decode().split()
        if start[1] != self.group.service or start[3:] != [self.member.name]:
            await stream.write(b'ERROR MISROUTED\r\n')
            stream.close()
            return
        if len(self.streams) > MAX_CONNECTIONS:
            await stream.write(b'ERROR TOOMANY\r\n')
            stream.close()
            return
        session = Session(start[2])
        await stream.write(f'READY I {self._position()}\r\n'.encode())
        while True:
            raw = (await stream.read_until(b'\r\n')).removesuffix(b'\r\n')
            if self.group.line_oracle is not None:
                self.group.line_oracle.check(session.wire, raw)
            word, request_id, text = raw.decode().split(' ', 2)
            answer = await self._answer(session, request_id, text)
            if (
                self.group.line_oracle is not None
                and answer is not None
                and answer[-1].startswith('DONE')
            ):
                self.group.line_oracle.follow(session.wire, raw)
            is_read = text.startswith('READ')
            await asyncio.sleep(self.member.reads_take_s if is_read else 0)
            if answer is None:
                stream.close()
                return
            state = 'I'
            if session.read_only is not None:
                state = 'E' if session.failed else 'T'
            answer.append(f'READY {state} {self._position()}')
            await stream.write(
                b''.join(f'{part}\r\n'.encode() for part in answer)
            )

    def _position(self) -> str:
        return f'{self.member.log_term}.{len(self.member.log)}'

    async def _answer(
        self, session: Session, request_id: str, text: str
    ) -> list[str] | None:
        words = text.split(' ')
        if words[0] == 'AFTER':
            if self._is_behind(*words[1].split('.')):
                return ['ERROR LAGGING behind']
            words = words[2:]
        verb, rest = words[0].lower(), words[1:]
        if self.member.fails(verb):
            if verb in ('read', 'write', 'execute') and not session.failed:
                # It has run, and has no effect.
                self._run_signed(session, request_id, words)
            return self._refuse(session, 'FAILED')
        handler = getattr(self, f'_{verb}')
        answer = handler(session, request_id, rest)
        return await answer if inspect.isawaitable(answer) else answer

    def _is_behind(self, term: str, number: str) -> bool:
        return int(number) > len(self.member.log)

    def _run_signed(self, session: Session, request_id: str, words) -> str:
        text = ' '.join(words)
        self.group.ran.append((request_id, text, dict(session.values)))
        self.group.ran_for.append((session.client, text))
        return f'DONE {request_id}.{next(self.group.signatures)}'

    def _refuse(self, session: Session, code: str) -> list[str]:
        if session.read_only is not None:
            session.failed = True
        return [f'ERROR {code} {self.member.name}']

    def _begin(self, session, request_id, rest):
        if not rest and self.member.role != 'primary':
            return self._refuse(session, 'READONLY')
        session.read_only = bool(rest)
        session.failed = False
        session.writes.clear()
        return ['DONE -']

    def _rollback(self, session, request_id, rest):
        session.read_only = None
        session.failed = False
        session.writes.clear()
        return ['DONE -']

    def _commit(self, session, request_id, rest):
        if self.member.role != 'primary' and session.writes:
            return self._refuse(session, 'READONLY')
        self._append(session.writes)
        session.read_only = None
        session.writes.clear()
        return [self._run_signed(session, request_id, ['COMMIT'])]

    def _append(self, writes) -> None:
        for member in self.group.members:
            if not member.paused_for_term:
                member.log.extend(writes)
                member.log_term = self.member.term

    def _read(self, session, request_id, rest):
        rows = [f'ROW {d}' for i, d in self.member.log if i == rest[0]][-1:]
        rows += [f'ROW {d}' for i, d in session.writes if i == rest[0]][-1:]
        return [
            *rows[-1:],
            self._run_signed(session, request_id, ['READ', *rest]),
        ]

    def _write(self, session, request_id, rest):
        if self.member.role != 'primary':
            return self._refuse(session, 'READONLY')
        done = self._run_signed(session, request_id, ['WRITE', *rest])
        if session.read_only is not None:
            session.writes.append((rest[0], ' '.join(rest[1:])))
            return [done]
        self._append([(rest[0], ' '.join(rest[1:]))])
        return None if self.member.loses_answers else [done]

    def _set(self, session, request_id, rest):
        session.values[rest[0]] = ' '.join(rest[1:])
        return ['DONE -']

    def _reset(self, session, request_id, rest):
        session.values.clear()
        session.prepared.clear()
        return ['DONE -']

    def _prepare(self, session, request_id, rest):
        if rest[1] not in ('READ', 'WRITE') or not rest[2:]:
            return self._refuse(session, 'MALFORMED')
        session.prepared[rest[0]] = (rest[1], ' '.join(rest[2:]))
        return ['DONE -']

    def _execute(self, session, request_id, rest):
        if rest[0] not in session.prepared:
            return self._refuse(session, 'NOSTMT')
        if session.prepared[rest[0]][0] == 'READ':
            return self._read(session, request_id, rest[1:])
        return self._write(session, request_id, rest[1:])

    def _status(self, session, request_id, rest):
        member = self.member
        row = (
            f'{member.role} {member.term} '
            f'{self._position()} {member.paused_for_term}'
        )
        return [f'ROW {row} 0 0 {len(self.streams)}', 'DONE -']

    def _pause(self, session, request_id, rest):
        if self.member.role == 'replica':
            self.member.paused_for_term = int(rest[0])
        return self._status(session, request_id, rest)

    def _resume(self, session, request_id, rest):
        self.member.paused_for_term = 0
        self.member.log = list(self.group.primary().log)
        self.member.log_term = self.group.primary().log_term
        return self._status(session, request_id, rest)

    def _demote(self, session, request_id, rest):
        if self.member.term < int(rest[0]):
            self.member.role = 'replica'
        return self._status(session, request_id, rest)
