"""Run one upstream: statement slots, connections, replicated SQL."""

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
    """Refuse a request that certainly was not executed."""

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
        # Every executed read and every appended entry, in order, including
        # entries that were later truncated from the log.
        self.ledger: list[dict] = []
        self.receiver = replication.Receiver(self.log, self._apply_log_change)
        self.receiver.lag_ms = config.lag_ms
        self.senders = [
            replication.Sender(self.log, peer) for peer in config.peers
        ]
        self.server: httpserver.HTTPServer | None = None

    async def start(self) -> None:
        """Start listening, and replicate the log while primary."""
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
        logger.info(
            '%s: listening on port %d', self.config.name, self.config.port
        )

    async def close(self) -> None:
        """Stop listening and sending."""
        self.server.stop()
        for sender in self.senders:
            await sender.close()

    # ---- log ----

    def _apply_log_change(self, truncated_from: int | None) -> None:
        """Apply new entries, or replay the log if it was truncated."""
        if truncated_from is not None:
            logger.info(
                '%s drops its log from %d', self.config.name, truncated_from
            )
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
        """Wake the senders and the requests that wait for a log change."""
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
        """Return the time since a primary's last message; 0 on the primary."""
        return 0 if self.log.leads else self.receiver.primary_silent_ms()

    # ---- statements ----

    async def run(
        self,
        ask: wire.SqlAsk,
        transaction: upstream_sockets.OpenTransaction | None,
    ) -> wire.SqlReply:
        """Execute a request in a free slot; return its reply."""
        try:
            if ask.at_replica:
                await self._wait_for_position(ask)
            self._take_slot()
        except Refusal as refusal:
            return self._reply(ask, 'refused', reason=refusal.reason)
        try:
            if self.config.statement_ms:
                await asyncio.sleep(self.config.statement_ms / 1000)
            return self._run_atomically(ask, transaction)
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

    async def _wait_for_position(self, ask: wire.SqlAsk) -> None:
        required_position = log_positions.LogPosition(
            ask.wait_log_term, ask.wait_position
        )
        deadline = time.monotonic() + ask.wait_ms / 1000
        while logs.last_position(self.log) < required_position:
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                raise Refusal(Reason.REPLICA_BEHIND)
            await self.wait_for_change(left_s)

    def _run_atomically(
        self,
        ask: wire.SqlAsk,
        transaction: upstream_sockets.OpenTransaction | None,
    ) -> wire.SqlReply:
        """Execute a request without awaiting, so that it runs atomically."""
        if not ask.at_replica:
            self._check_term(ask)
        match ask.kind:
            case Kind.READ:
                rows = database.read(
                    self.databases, ask.organisation, ask.statements
                )
                self._record_in_ledger(ask, 'read')
                return self._reply(ask, 'ran', rows=rows)
            case Kind.WRITE:
                return self._write(ask, ask.statements)
            case Kind.SETTLE:
                return self._resolve_in_doubt(ask)
            case Kind.BEGIN | Kind.ROLLBACK:
                return self._reply(ask, 'ran')
            case Kind.EXECUTE:
                return self._execute(ask, transaction)
            case Kind.COMMIT:
                return self._commit(ask, transaction)
        raise Refusal(Reason.BAD_STATEMENT)

    def _check_term(self, ask: wire.SqlAsk) -> None:
        """Refuse unless this is the primary of the request's exact term."""
        if not self.log.leads or self.log.accepted_term != ask.term:
            raise Refusal(Reason.REPLACED)

    def _write(self, ask: wire.SqlAsk, statements) -> wire.SqlReply:
        recorded_reply = self._find_recorded_reply(ask)
        if recorded_reply is not None:
            return recorded_reply
        return self._append(ask, statements, cancelled=False)

    def _resolve_in_doubt(self, ask: wire.SqlAsk) -> wire.SqlReply:
        """Reply from the request record, or record the id as cancelled.

        A cancelled id is never executed afterwards.
        """
        recorded_reply = self._find_recorded_reply(ask)
        if recorded_reply is not None:
            return recorded_reply
        return self._append(ask, (), cancelled=True)

    def _find_recorded_reply(self, ask: wire.SqlAsk) -> wire.SqlReply | None:
        record = database.find_record(
            self.databases, ask.organisation, ask.request_id
        )
        if record is None:
            retention_ms = database.RECORD_RETENTION_MS
            if request_ids.is_too_old(
                ask.request_id, clock.wall_ms(), retention_ms
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
        self._record_in_ledger(ask, 'cancel' if cancelled else 'write')
        self.notify_waiters()
        return self._reply(ask, 'ran', rows=rows, cancelled=cancelled)

    def _execute(
        self,
        ask: wire.SqlAsk,
        transaction: upstream_sockets.OpenTransaction | None,
    ):
        if transaction is None or transaction.term != ask.term:
            raise Refusal(Reason.TRANSACTION_LOST)
        if len(transaction.statements) >= MAX_TRANSACTION_STATEMENTS:
            raise database.StatementError('the transaction is too long')
        rows = database.run_and_roll_back(
            self.databases,
            transaction.organisation,
            [*transaction.statements, *ask.statements],
        )
        transaction.statements += ask.statements
        transaction.results.append(rows)
        return self._reply(ask, 'ran', rows=rows)

    def _commit(
        self,
        ask: wire.SqlAsk,
        transaction: upstream_sockets.OpenTransaction | None,
    ):
        if transaction is None or transaction.term != ask.term:
            raise Refusal(Reason.TRANSACTION_LOST)
        recorded_reply = self._find_recorded_reply(ask)
        if recorded_reply is not None:
            return recorded_reply
        for count in range(1, len(transaction.statements) + 1):
            rows = database.run_and_roll_back(
                self.databases,
                transaction.organisation,
                transaction.statements[:count],
            )
            if rows != transaction.results[count - 1]:
                raise Refusal(Reason.CONFLICT)
        return self._append(ask, transaction.statements, cancelled=False)

    def _record_in_ledger(self, ask: wire.SqlAsk, what: str) -> None:
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
        position = logs.last_position(self.log)
        return wire.SqlReply(
            ask.id,
            result,
            self.log.accepted_term,
            position.log_term,
            position.position,
            rows=rows or [],
            leads=self.log.leads,
            **more,
        )
