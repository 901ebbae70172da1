"""Stand-in of the database backends of one service.

All backends of a service run in this process and share one log: a replica
holds what the primary holds a few milliseconds after it. No primary is lost
here, so `POST /promote` only ever names the present one.
"""

import asyncio
import dataclasses
import itertools

REPLICATION_S = 0.005
HANDSHAKE_S = 0.012
WORK_S = 0.004


@dataclasses.dataclass
class Run:
    """One statement that a backend has run."""

    backend: str
    request_id: str
    text: str
    values: dict
    in_transaction: bool
    ok: bool


class Refusal(Exception):
    """Answer of a backend that is an error."""


class Service:
    """The primary and its replicas."""

    def __init__(self, name, zones, store, max_conns=23):
        self.name = name
        self.max_conns = max_conns
        self.store = store
        self.term = 3
        self.number = 100
        self.items = {}
        self.runs = []
        self.statements = itertools.count(1)
        self.backends = [
            Backend(self, f'i-{name}-{place}', zone, place == 0)
            for place, zone in enumerate(zones)
        ]

    async def start(self):
        """Start all backends and list them."""
        for backend in self.backends:
            await backend.start()

    async def add_replica(self, zone):
        """Start another replica; it holds what the primary holds."""
        name = f'i-{self.name}-{len(self.backends)}'
        replica = Backend(self, name, zone, False)
        self.backends.append(replica)
        await replica.start()

    def close(self):
        """Stop all backends."""
        for backend in self.backends:
            backend.close()

    def promote(self, name):
        """Accept an order for the present primary; it changes nothing."""
        return name == self.backends[0].name

    def place(self):
        """Return the position of the log."""
        return f'{self.term}.{self.number}'


class Backend:
    """One backend: a listener, its entry in the store, its connections."""

    def __init__(self, service, name, zone, leads):
        self.service = service
        self.name = name
        self.zone = zone
        self.leads = leads
        self.sequence = 0
        self.state = 'ready'
        self.connections = 0
        self.writers = set()
        self.held_term = 0
        # Called with the text of each statement; returns an error or None.
        self.fault = lambda text: None
        self.failed = 0
        self.server = None
        self.address = ''
        self.task = None

    async def start(self):
        """Listen on a free port and report to the store."""
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=1 << 21
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self.task = asyncio.create_task(self._beat_forever())

    def close(self):
        """Stop."""
        self.task.cancel()
        self.server.close()

    def drain(self):
        """Report that it leaves; it goes on serving until it exits."""
        self.state = 'draining'
        self._beat()

    def exit(self):
        """Leave: remove the entry and close all connections."""
        self.close()
        for writer in self.writers:
            writer.close()
        self.service.store.remove(f'servers/{self.name}')

    async def _beat_forever(self):
        while True:
            self._beat()
            await asyncio.sleep(1.2)

    def _beat(self):
        self.sequence += 1
        entry = {
            'service': self.service.name,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'capacity': 3,
            'state': self.state,
            'cold-left-ms': 0,
            'db-role': 'primary' if self.leads else 'replica',
            'sequence': self.sequence,
        }
        self.service.store.put_json(f'servers/{self.name}', entry)

    async def _serve(self, reader, writer):
        self.connections += 1
        self.writers.add(writer)
        try:
            line = (await reader.readline()).decode().rstrip('\r\n')
            fields = line.split(' ')
            error = ''
            if fields[0] != 'START' or len(fields) < 3:
                error = 'MALFORMED start'
            elif fields[1] != self.service.name:
                error = 'MISROUTED service'
            elif len(fields) > 3 and fields[3] != self.name:
                error = 'MISROUTED id'
            elif self.connections > self.service.max_conns:
                error = 'TOOMANY connections'
            if error:
                writer.write(f'ERROR {error}\r\n'.encode())
                return
            await asyncio.sleep(HANDSHAKE_S)
            writer.write(f'READY I {self.service.place()}\r\n'.encode())
            session = _Session(self)
            while line := await reader.readline():
                if not line.endswith(b'\r\n'):
                    break
                word, _, rest = line.decode().rstrip('\r\n').partition(' ')
                if word != 'QUERY':
                    break
                request_id, _, text = rest.partition(' ')
                answer = await session.answer(request_id, text)
                writer.write(answer.encode())
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            # The caller left, or the case has ended.
            pass
        finally:
            self.connections -= 1
            self.writers.discard(writer)
            writer.close()


class _Session:
    def __init__(self, backend):
        self.backend = backend
        self.service = backend.service
        self.state = 'I'
        self.read_only = False
        self.writes = []
        self.values = {}
        self.prepared = {}

    async def answer(self, request_id, text):
        """Return all lines that answer a statement."""
        try:
            lines = await self._run(request_id, text)
        except Refusal as refusal:
            lines = f'ERROR {refusal}\r\n'
        return f'{lines}READY {self.state} {self.service.place()}\r\n'

    async def _run(self, request_id, text):
        words = text.split(' ')
        if words[0] == 'AFTER':
            term, _, number = words[1].partition('.')
            wanted = (int(term), int(number))
            if wanted > (self.service.term, self.service.number):
                raise Refusal('LAGGING log')
            text = ' '.join(words[2:])
            words = words[2:]
        if words[0] in ('STATUS', 'DEMOTE', 'PAUSE', 'RESUME'):
            return self._report()
        if self.state == 'E' and words[0] not in ('ROLLBACK', 'COMMIT'):
            raise Refusal('MALFORMED the transaction failed')
        error = self.backend.fault(text)
        if error:
            self.backend.failed += 1
            if self.state == 'T':
                self.state = 'E'
            await asyncio.sleep(WORK_S)
            self._note(request_id, text, False)
            raise Refusal(error)
        method = getattr(self, f'_{words[0].lower()}', None)
        if method is None:
            raise Refusal('MALFORMED statement')
        return await method(request_id, text, words[1:])

    def _report(self):
        service, backend = self.service, self.backend
        role = 'primary' if backend.leads else 'replica'
        row = f'{role} {service.term} {service.place()} 0 3 0'
        return f'ROW {row} {backend.connections}\r\nDONE -\r\n'

    def _note(self, request_id, text, ok):
        self.service.runs.append(
            Run(
                self.backend.name,
                request_id,
                text,
                dict(self.values),
                self.state != 'I',
                ok,
            )
        )

    def _require_lead(self):
        if not self.backend.leads:
            raise Refusal(f'READONLY {self.backend.name}')

    async def _begin(self, request_id, text, words):
        if self.state != 'I':
            raise Refusal('MALFORMED a transaction is open')
        if not words:
            self._require_lead()
        self.read_only = bool(words)
        self.state, self.writes = 'T', []
        return 'DONE -\r\n'

    async def _rollback(self, request_id, text, words):
        self.state, self.writes = 'I', []
        return 'DONE -\r\n'

    async def _commit(self, request_id, text, words):
        if self.state == 'I':
            raise Refusal('MALFORMED no transaction')
        failed, writes = self.state == 'E', self.writes
        self.state, self.writes = 'I', []
        if failed:
            raise Refusal('ABORTED the transaction failed')
        self._note(request_id, text, True)
        if writes:
            await self._apply(writes)
        return self._done()

    async def _set(self, request_id, text, words):
        self.values[words[0]] = ' '.join(words[1:])
        return 'DONE -\r\n'

    async def _reset(self, request_id, text, words):
        self.values.clear()
        self.prepared.clear()
        return 'DONE -\r\n'

    async def _prepare(self, request_id, text, words):
        self.prepared[words[0]] = (words[1], ' '.join(words[2:]))
        return 'DONE -\r\n'

    async def _dealloc(self, request_id, text, words):
        self.prepared.pop(words[0], None)
        return 'DONE -\r\n'

    async def _execute(self, request_id, text, words):
        if words[0] not in self.prepared:
            raise Refusal(f'NOSTMT {words[0]}')
        if self.prepared[words[0]][0] == 'WRITE':
            return await self._write(request_id, text, words[1:])
        return await self._read(request_id, text, words[1:])

    async def _read(self, request_id, text, words):
        await asyncio.sleep(WORK_S)
        self._note(request_id, text, True)
        row = self.service.items.get(words[0], 'none')
        return f'ROW {row}\r\n{self._done()}'

    async def _write(self, request_id, text, words):
        self._require_lead()
        await asyncio.sleep(WORK_S)
        self._note(request_id, text, True)
        write = (words[0], ' '.join(words[1:]))
        if self.state == 'T':
            self.writes.append(write)
        else:
            await self._apply([write])
        return self._done()

    async def _apply(self, writes):
        self.service.number += 1
        self.service.items.update(writes)
        await asyncio.sleep(REPLICATION_S)

    def _done(self):
        number = next(self.service.statements)
        return f'DONE {self.backend.name}.{number}\r\n'
