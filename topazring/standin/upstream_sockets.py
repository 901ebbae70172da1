"""Serve an upstream's sockets: statements, control, replication, ledger."""

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
    """Hold an interactive transaction: what ran and what it showed.

    Its statements run again at commit. If they show something else by then,
    another transaction came between, and the commit is refused.
    """

    organisation: str
    term: int
    statements: list = dataclasses.field(default_factory=list)
    results: list = dataclasses.field(default_factory=list)


class _CountedSocket(websocket.WebSocketHandler):
    """Count the connection and let it take its time to open."""

    def initialize(self, upstream) -> None:
        self.upstream = upstream
        self.counted = False

    async def prepare(self) -> None:
        if self.upstream.connections >= self.upstream.config.connections:
            self.set_status(503)
            self.finish('too many connections')
            return
        self.upstream.connections += 1
        self.counted = True
        await asyncio.sleep(self.upstream.config.connect_delay_ms / 1000)

    def on_finish(self) -> None:
        self._uncount()

    def on_close(self) -> None:
        self._uncount()

    def on_connection_close(self) -> None:
        super().on_connection_close()
        self._uncount()

    def _uncount(self) -> None:
        if self.counted:
            self.counted = False
            self.upstream.connections -= 1


class SqlSocket(_CountedSocket):
    """Serve statements, one at a time, and perhaps a transaction."""

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
    """Serve statuses and terms; asks may be answered out of order."""

    async def on_message(self, raw) -> None:
        ask = wire.decode_control_ask(raw)
        task = asyncio.create_task(self._answer(ask))
        # A task without a reference can be collected before it ends.
        self.tasks = getattr(self, 'tasks', set())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _answer(self, ask: wire.ControlAsk) -> None:
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
            await self._wait(ask)
        place = logs.last_position(log)
        reply = wire.ControlReply(
            ask.id,
            log.accepted_term,
            place.log_term,
            place.position,
            log.leads,
            self.upstream.primary_silent_ms(),
            accepted,
        )
        sockets.write_if_open(self, wire.encode_control(reply), True)

    async def _wait(self, ask: wire.ControlAsk) -> None:
        log = self.upstream.log
        wanted = log_positions.LogPosition(ask.log_term, ask.position)
        until = time.monotonic() + ask.wait_ms / 1000
        while log.accepted_term <= ask.term:
            place = logs.last_position(log)
            left_s = until - time.monotonic()
            held = place.log_term == ask.term and place >= wanted
            if held or wanted == log_positions.ORIGIN or left_s <= 0:
                return
            await self.upstream.wait_for_change(left_s)


class ReplicateSocket(websocket.WebSocketHandler):
    """Take the log from a primary."""

    def initialize(self, upstream) -> None:
        self.upstream = upstream
        self.inbox: asyncio.Queue = asyncio.Queue()
        self.worker: asyncio.Task | None = None

    def open(self) -> None:
        self.worker = asyncio.create_task(self._work())

    def on_message(self, raw) -> None:
        due, message, reply = self.upstream.receiver.receive(raw)
        self._send(reply)
        self.inbox.put_nowait((due, message))

    async def _work(self) -> None:
        while True:
            due, message = await self.inbox.get()
            delay_s = due - time.monotonic()
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
    """Show what ran and what the log holds: the oracle of the tests."""

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
    """Change the lag or the statement's time while running."""

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
