"""Handle an upstream's WebSocket and HTTP requests."""

import asyncio
import dataclasses
import json
import time

from tornado import web
from tornado import websocket

from topazring.core import log_positions
from topazring.core import requests
from topazring.plumbing import sockets
from topazring.standin import log as logs
from topazring.standin import replication
from topazring import wire

__all__ = [
    'ControlSocket',
    'LedgerHandler',
    'OpenTransaction',
    'ReplicateSocket',
    'SetHandler',
    'SqlSocket',
]

Kind = requests.Kind


@dataclasses.dataclass(slots=True)
class OpenTransaction:
    """Hold the statements of an interactive transaction and their results.

    The statements are executed again at commit. If the results differ, another
    transaction has committed in between and the commit is refused.
    """

    organisation: str
    term: int
    statements: list = dataclasses.field(default_factory=list)
    results: list = dataclasses.field(default_factory=list)


class _CountedSocket(websocket.WebSocketHandler):
    """Enforce the connection limit and delay the opening handshake."""

    def initialize(self, upstream) -> None:
        self.upstream = upstream
        self.is_counted = False

    async def prepare(self) -> None:
        if self.upstream.connections >= self.upstream.config.connections:
            self.set_status(503)
            self.finish('too many connections')
            return
        self.upstream.connections += 1
        self.is_counted = True
        await asyncio.sleep(self.upstream.config.connect_delay_ms / 1000)

    def on_finish(self) -> None:
        self._uncount()

    def on_close(self) -> None:
        self._uncount()

    def on_connection_close(self) -> None:
        super().on_connection_close()
        self._uncount()

    def _uncount(self) -> None:
        if self.is_counted:
            self.is_counted = False
            self.upstream.connections -= 1


class SqlSocket(_CountedSocket):
    """Execute requests in turn, with at most one open transaction."""

    open_transaction: OpenTransaction | None = None

    async def on_message(self, raw) -> None:
        ask = wire.decode_sql_ask(raw)
        reply = await self.upstream.run(ask, self.open_transaction)
        if reply.result == 'ran' and ask.kind == Kind.BEGIN:
            self.open_transaction = OpenTransaction(ask.organisation, ask.term)
        elif ask.kind in (Kind.COMMIT, Kind.ROLLBACK):
            self.open_transaction = None
        sockets.write_if_open(self, wire.encode(reply))


class ControlSocket(_CountedSocket):
    """Serve status queries and term changes; replies may be out of order."""

    async def on_message(self, raw) -> None:
        ask = wire.decode_control_ask(raw)
        task = asyncio.create_task(self._handle_request(ask))
        # asyncio keeps only a weak reference to a task: without another one it
        # can be garbage-collected before it ends.
        self.tasks = getattr(self, 'tasks', set())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _handle_request(self, ask: wire.ControlAsk) -> None:
        log = self.upstream.log
        accepted = True
        if ask.kind == 'fence':
            accepted = logs.fence(log, ask.term, ask.claimant)
            self.upstream.notify_waiters()
        elif ask.kind == 'lead':
            accepted = logs.lead(log, ask.term, ask.claimant)
            self.upstream.databases.applied = len(log.entries)
            self.upstream.notify_waiters()
        elif ask.wait_ms:
            await self._wait_for_position(ask)
        position = logs.last_position(log)
        reply = wire.ControlReply(
            ask.id,
            log.accepted_term,
            position.log_term,
            position.position,
            log.leads,
            self.upstream.primary_silent_ms(),
            accepted,
        )
        sockets.write_if_open(self, wire.encode_control(reply), True)

    async def _wait_for_position(self, ask: wire.ControlAsk) -> None:
        """Wait until the log reaches a position in the term, or time out.

        Returns early once a higher term is accepted, and at once for ORIGIN.
        """
        log = self.upstream.log
        required = log_positions.LogPosition(ask.log_term, ask.position)
        deadline = time.monotonic() + ask.wait_ms / 1000
        while log.accepted_term <= ask.term:
            position = logs.last_position(log)
            left_s = deadline - time.monotonic()
            is_reached = position.log_term == ask.term and position >= required
            if is_reached or required == log_positions.ORIGIN or left_s <= 0:
                return
            await self.upstream.wait_for_change(left_s)


class ReplicateSocket(websocket.WebSocketHandler):
    """Receive the log from a primary."""

    def initialize(self, upstream) -> None:
        self.upstream = upstream
        self.inbox: asyncio.Queue = asyncio.Queue()
        self.worker: asyncio.Task | None = None

    def open(self) -> None:
        self.worker = asyncio.create_task(self._apply_messages())

    def on_message(self, raw) -> None:
        due_at, message, reply = self.upstream.receiver.receive(raw)
        self._send(reply)
        self.inbox.put_nowait((due_at, message))

    async def _apply_messages(self) -> None:
        while True:
            due_at, message = await self.inbox.get()
            delay_s = due_at - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            reply = self.upstream.receiver.apply(message)
            if not reply.fits:
                self._send(reply)

    def _send(self, reply: replication.Acknowledge) -> None:
        sockets.write_if_open(self, replication.encode(reply))

    def on_close(self) -> None:
        if self.worker is not None:
            self.worker.cancel()


class LedgerHandler(web.RequestHandler):
    """Return the executed requests and the log, for the tests' checks."""

    def initialize(self, upstream) -> None:
        self.upstream = upstream

    def get(self) -> None:
        log = self.upstream.log
        entries = [
            {
                'term': entry.log_term,
                'organisation': entry.organisation,
                'request_id': entry.request_id,
                'cancelled': entry.cancelled,
            }
            for entry in log.entries
        ]
        self.write(
            json.dumps(
                {
                    'name': log.name,
                    'term': log.accepted_term,
                    'leads': log.leads,
                    'connections': self.upstream.connections,
                    'ledger': self.upstream.ledger,
                    'log': entries,
                }
            )
        )


class SetHandler(web.RequestHandler):
    """Change the replication lag or the statement duration at run time."""

    def initialize(self, upstream) -> None:
        self.upstream = upstream

    def post(self) -> None:
        lag_ms = self.get_argument('lag_ms', None)
        if lag_ms is not None:
            self.upstream.receiver.lag_ms = float(lag_ms)
        statement_ms = self.get_argument('statement_ms', None)
        if statement_ms is not None:
            changed = {'statement_ms': float(statement_ms)}
            self.upstream.config = self.upstream.config.model_copy(
                update=changed
            )
        self.write('ok')
