"""Stand-in of a group of backends whose primary can be replaced.

Each member has a log of its own. A commit is acknowledged once one replica
has received it. A paused replica receives nothing until it is resumed, a
member is promoted, or it restarts.
"""

import asyncio
import dataclasses
import time

REPLICATION_S = 0.003
HANDSHAKE_S = 0.005
BEAT_S = 1.2


@dataclasses.dataclass(frozen=True)
class Entry:
    """One commit in a log."""

    term: int
    number: int
    request_id: str
    writes: tuple


@dataclasses.dataclass(frozen=True)
class Promotion:
    """A member that began to lead, and what its log held then."""

    member: str
    at_s: float
    request_ids: frozenset


class Refusal(Exception):
    """Answer of a backend that is an error."""


class Group:
    """The members of one service."""

    def __init__(self, name, zones, store, record, promote_s, max_conns):
        self.name = name
        self.store = store
        self.record = record
        self.promote_s = promote_s
        self.max_conns = max_conns
        self.promotions = []
        # Set once an order for another member than the leader was accepted.
        self.ordered = asyncio.Event()
        self.term = 3
        self.members = [
            Member(self, f'i-{name}-{place}', zone)
            for place, zone in enumerate(zones)
        ]
        self.leader = self.members[0]
        self.leader.leads = True
        self.tasks = set()

    async def start(self):
        """Start all members."""
        for member in self.members:
            await member.start()

    def close(self):
        """Stop all members."""
        for member in self.members:
            member.close()

    def reaches(self, one, other):
        """Return whether two members reach each other."""
        return one.alive and other.alive

    def replicate(self):
        """Let all replicas that can receive what the leader holds."""
        for member in self.members:
            if member is self.leader or member.held_term:
                continue
            if self.reaches(self.leader, member):
                member.follow(self.leader)

    def is_confirmed(self, entry):
        """Return whether a replica has received an entry."""
        return any(
            member is not self.leader
            and len(member.log) >= entry.number
            and member.log[entry.number - 1] == entry
            for member in self.members
        )

    def promote(self, name):
        """Accept an order; return whether the backend runs."""
        member = next((m for m in self.members if m.name == name), None)
        if member is None or not member.alive:
            return False
        if member is not self.leader:
            self.ordered.set()
            task = asyncio.create_task(self._lead_later(member))
            self.tasks.add(task)
        return True

    async def _lead_later(self, member):
        await asyncio.sleep(self.promote_s)
        if member is self.leader or not member.alive:
            return
        self.record.add(
            f'{member.name} leads; its log ends at {member.place()}, that of '
            f'{self.leader.name} at {self.leader.place()}'
        )
        self.promotions.append(
            Promotion(
                member.name,
                time.monotonic(),
                frozenset(entry.request_id for entry in member.log),
            )
        )
        self.leader.leads = False
        self.term += 1
        self.leader = member
        member.leads = True
        member.beat()
        for each in self.members:
            each.held_term = 0
            each.term = self.term
        self.replicate()


class Member:
    """One backend."""

    def __init__(self, group, name, zone):
        self.group = group
        self.name = name
        self.zone = zone
        self.leads = False
        self.alive = True
        self.term = 3
        self.held_term = 0
        self.log = [Entry(3, n, '', ()) for n in range(1, 101)]
        self.sequence = 0
        self.server = None
        self.port = 0
        self.writers = set()
        self.task = None

    def place(self):
        """Return where its log ends."""
        return f'{self.log[-1].term}.{self.log[-1].number}'

    def follow(self, leader):
        """Receive what the leader holds; drop what it does not hold."""
        self.log = list(leader.log)
        self.term = leader.term

    async def start(self):
        """Listen and report to the store."""
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port, limit=1 << 21
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.task = asyncio.create_task(self._beat_forever())

    def close(self):
        """Stop."""
        self.task.cancel()
        self.server.close()

    async def restart(self, down_s):
        """Crash, and come back with the log but without the pause."""
        self.alive = False
        self.close()
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(down_s)
        self.alive = True
        self.held_term = 0
        await self.start()
        self.group.record.add(f'{self.name} is back, at {self.place()}')
        self.group.replicate()

    async def _beat_forever(self):
        while True:
            self.beat()
            await asyncio.sleep(BEAT_S)

    def beat(self):
        """Write the entry in the store."""
        self.sequence += 1
        entry = {
            'service': self.group.name,
            'address': f'127.0.0.1:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'capacity': 2,
            'state': 'ready',
            'cold-left-ms': 0,
            'db-role': 'primary' if self.leads else 'replica',
            'sequence': self.sequence,
        }
        self.group.store.put_json(f'servers/{self.name}', entry)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            line = (await reader.readline()).decode().rstrip('\r\n')
            fields = line.split(' ')
            if len(fields) < 3 or fields[1] != self.group.name:
                writer.write(b'ERROR MISROUTED service\r\n')
                return
            if len(fields) > 3 and fields[3] != self.name:
                writer.write(b'ERROR MISROUTED id\r\n')
                return
            if len(self.writers) > self.group.max_conns:
                writer.write(b'ERROR TOOMANY connections\r\n')
                return
            await asyncio.sleep(HANDSHAKE_S)
            writer.write(f'READY I {self.place()}\r\n'.encode())
            session = _Session(self)
            while line := await reader.readline():
                word, _, rest = line.decode().rstrip('\r\n').partition(' ')
                if word != 'QUERY' or not line.endswith(b'\r\n'):
                    break
                request_id, _, text = rest.partition(' ')
                answer = await session.answer(request_id, text)
                writer.write(answer.encode())
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            # The caller left, or the member has crashed.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class _Session:
    def __init__(self, member):
        self.member = member
        self.group = member.group
        self.state = 'I'
        self.plain = False
        self.writes = []

    async def answer(self, request_id, text):
        """Return all lines that answer a statement."""
        try:
            lines = await self._run(request_id, text)
        except Refusal as refusal:
            if self.state == 'T':
                self.state = 'E'
            lines = f'ERROR {refusal}\r\n'
        return f'{lines}READY {self.state} {self.member.place()}\r\n'

    async def _run(self, request_id, text):
        words = text.split(' ')
        if words[0] == 'AFTER':
            term, _, number = words[1].partition('.')
            last = self.member.log[-1]
            if (int(term), int(number)) > (last.term, last.number):
                raise Refusal('LAGGING log')
            words = words[2:]
        verb = words[0]
        if verb in ('STATUS', 'DEMOTE', 'PAUSE', 'RESUME'):
            return self._control(verb, words)
        if verb == 'ROLLBACK':
            self.state, self.writes = 'I', []
            return 'DONE -\r\n'
        if verb in ('SET', 'RESET', 'PREPARE', 'DEALLOC'):
            return 'DONE -\r\n'
        if verb == 'BEGIN':
            self.plain = len(words) == 1
            if self.plain:
                self._require_lead()
            self.state, self.writes = 'T', []
            return 'DONE -\r\n'
        if self.state == 'T' and self.plain and verb != 'COMMIT':
            self._require_lead()
        if verb == 'READ':
            return f'ROW v\r\nDONE {self.member.name}.{request_id}\r\n'
        if verb == 'WRITE':
            self._require_lead()
            self.writes.append((words[1], words[2]))
            if self.state == 'T':
                return f'DONE {self.member.name}.{request_id}\r\n'
        if verb in ('WRITE', 'COMMIT'):
            return await self._commit(request_id)
        raise Refusal('MALFORMED statement')

    def _require_lead(self):
        if not self.member.leads:
            raise Refusal(f'READONLY {self.member.name}')

    def _control(self, verb, words):
        member, group = self.member, self.group
        term = int(words[1]) if len(words) > 1 else 0
        if verb == 'PAUSE' and not member.leads and term > member.term:
            member.held_term = term
        if verb == 'RESUME':
            member.held_term = 0
            group.replicate()
        if verb == 'DEMOTE' and member.leads and term > member.term:
            member.leads = False
        role = 'primary' if member.leads else 'replica'
        row = f'{role} {member.term} {member.place()} {member.held_term}'
        return f'ROW {row} 0 0 {len(member.writers)}\r\nDONE -\r\n'

    async def _commit(self, request_id):
        writes, self.writes, self.state = self.writes, [], 'I'
        if not writes:
            return f'DONE {self.member.name}.{request_id}\r\n'
        self._require_lead()
        member, group = self.member, self.group
        number = member.log[-1].number + 1
        entry = Entry(member.term, number, request_id, tuple(writes))
        member.log.append(entry)
        while True:
            await asyncio.sleep(REPLICATION_S)
            if not member.leads:
                # The lead was lost; nobody says what became of it.
                await asyncio.sleep(3600)
            group.replicate()
            if group.is_confirmed(entry):
                return f'DONE {member.name}.{request_id}\r\n'
