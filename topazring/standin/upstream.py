"""Run one upstream: slots, connections, replicated SQL."""

import asyncio
import time

from tornado import httpserver
from tornado import web

from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core import request_ids
from topazring.core import requests
from topazring.plumbing import clock
from topazring.plumbing import logs as part_logs
from topazring.standin import database
from topazring.standin import log as logs
from topazring.standin import replication
from topazring.standin import settings
from topazring.standin import upstream_sockets
from topazring import wire

__all__ = ['Upstream']

logger = part_logs.part_logger('upstream')
Kind = requests.Kind
Reason = outcomes.Reason
MAX_TRANSACTION_STATEMENTS = 64


class Refusal(Exception):
    """Refuse a statement that was certainly not run."""

    def __init__(self, reason: Reason):
        super().__init__(str(reason))
        self.reason = reason


class Upstream:
    """Own the log, the databases and the sockets of one upstream."""

    def __init__(self, config: settings.UpstreamSettings):
        self.config = config
        self.log = logs.Log(config.name)
        self.databases = database.Databases()
        self.busy_slots = 0
        self.connections = 0
        self.waiters: set[asyncio.Future] = set()
        # What ran, in order, whether or not it was later cut back.
        self.ledger: list[dict] = []
        self.receiver = replication.Receiver(self.log, self._extended)
        self.receiver.lag_ms = config.lag_ms
        self.senders = [
            replication.Sender(self.log, peer) for peer in config.peers
        ]
        self.server: httpserver.HTTPServer | None = None

    async def start(self) -> None:
        """Listen, and send the log whenever this upstream leads."""
        routes = [
            ('/sql', upstream_sockets.SqlSocket, {'upstream': self}),
            ('/control', upstream_sockets.ControlSocket, {'upstream': self}),
            (
                '/replicate',
                upstream_sockets.ReplicateSocket,
                {'upstream': self},
            ),
            ('/ledger', upstream_sockets.LedgerHandler, {'upstream': self}),
            ('/set', upstream_sockets.SetHandler, {'upstream': self}),
        ]
        self.server = httpserver.HTTPServer(web.Application(routes))
        self.server.listen(
            self.config.port, self.config.host, reuse_port=False
        )
        for sender in self.senders:
            sender.on_higher_term = self._step_down
            sender.start()
        logger.info('%s listens on %d', self.config.name, self.config.port)

    async def close(self) -> None:
        """Stop listening and sending."""
        self.server.stop()
        for sender in self.senders:
            await sender.close()

    # ---- log ----

    def _extended(self, cut: int | None) -> None:
        if cut is not None:
            logger.info('%s drops its log from %d', self.config.name, cut)
            database.rebuild(self.databases, self.log.entries)
        else:
            entries = self.log.entries
            for position in range(self.databases.applied, len(entries)):
                database.apply_entry(
                    self.databases, entries[position], position + 1
                )
        self.notify_waiters()

    def _step_down(self, term: int) -> None:
        logs.fence(self.log, term, '')
        self.notify_waiters()

    def notify_waiters(self) -> None:
        """Wake those who wait for a place or a term."""
        waiters = list(self.waiters)
        self.waiters.clear()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)
        for sender in self.senders:
            sender.changed.set()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until the log or the term changes."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            await asyncio.wait_for(waiter, timeout_s)
        except asyncio.TimeoutError:
            self.waiters.discard(waiter)

    def primary_silent_ms(self) -> int:
        """Return how long this replica heard nothing of a primary."""
        return 0 if self.log.leads else self.receiver.primary_silent_ms()

    # ---- statements ----

    async def run(
        self, ask: wire.SqlAsk, opened: upstream_sockets.OpenTransaction | None
    ) -> wire.SqlReply:
        """Run one ask on a slot; say what became of it."""
        try:
            if ask.at_replica:
                await self._reach(ask)
            self._take_slot()
        except Refusal as refusal:
            return self._reply(ask, 'refused', reason=refusal.reason)
        try:
            if self.config.statement_ms:
                await asyncio.sleep(self.config.statement_ms / 1000)
            return self._run_now(ask, opened)
        except Refusal as refusal:
            return self._reply(ask, 'refused', reason=refusal.reason)
        except database.StatementError as error:
            return self._reply(ask, 'failed', reason=str(error))
        finally:
            self.busy_slots -= 1

    def _take_slot(self) -> None:
        if self.busy_slots >= self.config.slots:
            raise Refusal(Reason.SLOTS_BUSY)
        self.busy_slots += 1

    async def _reach(self, ask: wire.SqlAsk) -> None:
        wanted = log_positions.LogPosition(
            ask.wait_log_term, ask.wait_position
        )
        until = time.monotonic() + ask.wait_ms / 1000
        while logs.last_position(self.log) < wanted:
            left_s = until - time.monotonic()
            if left_s <= 0:
                raise Refusal(Reason.REPLICA_BEHIND)
            await self.wait_for_change(left_s)

    def _run_now(
        self, ask: wire.SqlAsk, opened: upstream_sockets.OpenTransaction | None
    ) -> wire.SqlReply:
        """Run without giving way, so that nothing comes between."""
        if not ask.at_replica:
            self._check_term(ask)
        match ask.kind:
            case Kind.READ:
                rows = database.read(
                    self.databases, ask.organisation, ask.statements
                )
                self._note(ask, 'read')
                return self._reply(ask, 'ran', rows=rows)
            case Kind.WRITE:
                return self._write(ask, ask.statements)
            case Kind.SETTLE:
                return self._settle(ask)
            case Kind.BEGIN | Kind.ROLLBACK:
                return self._reply(ask, 'ran')
            case Kind.EXECUTE:
                return self._execute(ask, opened)
            case Kind.COMMIT:
                return self._commit(ask, opened)
        raise Refusal(Reason.BAD_STATEMENT)

    def _check_term(self, ask: wire.SqlAsk) -> None:
        """Refuse unless this is the primary of the very term asked for."""
        if not self.log.leads or self.log.accepted_term != ask.term:
            raise Refusal(Reason.REPLACED)

    def _write(self, ask: wire.SqlAsk, statements) -> wire.SqlReply:
        record = self._find_record(ask)
        if record is not None:
            return record
        return self._append(ask, statements, cancelled=False)

    def _settle(self, ask: wire.SqlAsk) -> wire.SqlReply:
        """Answer from the record, or make sure that the id never runs."""
        record = self._find_record(ask)
        if record is not None:
            return record
        return self._append(ask, (), cancelled=True)

    def _find_record(self, ask: wire.SqlAsk) -> wire.SqlReply | None:
        record = database.find_record(
            self.databases, ask.organisation, ask.request_id
        )
        if record is None:
            kept_ms = database.RECORD_RETENTION_MS
            if request_ids.is_too_old(
                ask.request_id, clock.wall_ms(), kept_ms
            ):
                raise Refusal(Reason.REQUEST_ID_TOO_OLD)
            return None
        return self._reply(
            ask, 'ran', repeated=True, cancelled=record.cancelled
        )

    def _append(
        self, ask: wire.SqlAsk, statements, cancelled: bool
    ) -> wire.SqlReply:
        entry = logs.Entry(
            self.log.accepted_term,
            ask.organisation,
            tuple((sql, tuple(values)) for sql, values in statements),
            ask.request_id,
            cancelled,
            clock.wall_ms(),
        )
        position = len(self.log.entries) + 1
        rows = database.apply_entry(self.databases, entry, position)
        logs.append(self.log, entry)
        self._note(ask, 'cancel' if cancelled else 'write')
        self.notify_waiters()
        return self._reply(ask, 'ran', rows=rows, cancelled=cancelled)

    def _execute(
        self, ask: wire.SqlAsk, opened: upstream_sockets.OpenTransaction | None
    ):
        if opened is None or opened.term != ask.term:
            raise Refusal(Reason.TRANSACTION_LOST)
        if len(opened.statements) >= MAX_TRANSACTION_STATEMENTS:
            raise database.StatementError('the transaction is too long')
        rows = database.run_and_roll_back(
            self.databases,
            opened.organisation,
            [*opened.statements, *ask.statements],
        )
        opened.statements += ask.statements
        opened.results.append(rows)
        return self._reply(ask, 'ran', rows=rows)

    def _commit(
        self, ask: wire.SqlAsk, opened: upstream_sockets.OpenTransaction | None
    ):
        if opened is None or opened.term != ask.term:
            raise Refusal(Reason.TRANSACTION_LOST)
        record = self._find_record(ask)
        if record is not None:
            return record
        for count in range(1, len(opened.statements) + 1):
            rows = database.run_and_roll_back(
                self.databases,
                opened.organisation,
                opened.statements[:count],
            )
            if rows != opened.results[count - 1]:
                raise Refusal(Reason.CONFLICT)
        return self._append(ask, opened.statements, cancelled=False)

    def _note(self, ask: wire.SqlAsk, what: str) -> None:
        self.ledger.append(
            {
                'what': what,
                'organisation': ask.organisation,
                'request_id': ask.request_id,
                'term': self.log.accepted_term,
                'position': len(self.log.entries),
            }
        )

    def _reply(
        self,
        ask: wire.SqlAsk,
        result: str,
        rows: list | None = None,
        **more,
    ) -> wire.SqlReply:
        place = logs.last_position(self.log)
        return wire.SqlReply(
            ask.id,
            result,
            self.log.accepted_term,
            place.log_term,
            place.position,
            rows=rows or [],
            leads=self.log.leads,
            **more,
        )
