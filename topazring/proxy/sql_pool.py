"""Own the statement connections to one upstream."""

import asyncio
import collections
import collections.abc
import contextlib

from tornado import websocket

from topazring.core import messages
from topazring.core import outcomes
from topazring.core import requests
from topazring.plumbing import clock
from topazring.plumbing import sockets
from topazring.proxy import control_link
from topazring import wire

__all__ = ['SqlPool']

Kind = requests.Kind
Reason = outcomes.Reason
CONNECT_TIMEOUT_S = 1.0
# A busy connection is asked for a sign of life after so long, an idle one
# less often: what goes silent while idle is found before it is used again.
BUSY_PING_MS = 250
IDLE_PING_MS = 5000
PONG_TIMEOUT_MS = 500


class SqlConnection:
    """Carry one statement at a time, and perhaps a transaction.

    After a timeout the connection is closed and never used again, so that a
    late answer cannot reach another caller.
    """

    def __init__(self, pool: 'SqlPool'):
        self.pool = pool
        self.socket: websocket.WebSocketClientConnection | None = None
        self.execute: messages.Execute | None = None
        self.sent = False
        self.timer: asyncio.TimerHandle | None = None
        self.transaction = 0
        self.last_received_ms = clock.monotonic_ms()
        self.pinged_ms = 0
        self.closed = False

    async def open(self) -> None:
        """Connect, and run what waits for it."""
        try:
            self.socket = await asyncio.wait_for(
                websocket.websocket_connect(
                    self.pool.url, on_message_callback=self._handle_message
                ),
                CONNECT_TIMEOUT_S,
            )
        except Exception:
            self.fail(Reason.CONNECTION_LOST)
            return
        if self.closed:
            control_link.abort(self.socket)
            return
        self.socket.on_pong = self._record_activity
        self._record_activity(b'')
        if self.execute is not None:
            self._write()
        else:
            self.pool.release(self)

    def run(self, execute: messages.Execute) -> None:
        """Run a statement, at once or when the connection is open."""
        self.execute = execute
        self.sent = False
        timeout_s = execute.timeout_ms / 1000
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(
            timeout_s, self.fail, Reason.UPSTREAM_TIMEOUT
        )
        if self.socket is not None:
            self._write()

    def _write(self) -> None:
        execute = self.execute
        request = execute.request
        ask = wire.SqlAsk(
            execute.attempt,
            str(execute.kind),
            request.organisation,
            execute.term,
            [(s.sql, s.parameters) for s in request.statements],
            request.request_id,
            execute.at_replica,
            execute.wait_position.log_term,
            execute.wait_position.position,
            execute.wait_ms,
        )
        self.sent = True
        self.pinged_ms = 0
        self.last_received_ms = clock.monotonic_ms()
        if not sockets.write_if_open(self.socket, wire.encode(ask)):
            self.fail(Reason.CONNECTION_LOST)

    def _record_activity(self, data: bytes) -> None:
        self.last_received_ms = clock.monotonic_ms()
        self.pinged_ms = 0

    def _handle_message(self, raw: str | None) -> None:
        if raw is None:
            self.fail(Reason.CONNECTION_LOST)
            return
        self._record_activity(b'')
        reply = wire.decode_sql_reply(raw)
        if self.execute is None or reply.id != self.execute.attempt:
            self.fail(Reason.CONNECTION_LOST)
            return
        execute, self.execute = self.execute, None
        self.timer.cancel()
        result = _result(self.pool.name, reply)
        self._update_transaction(execute, result)
        if not self.transaction:
            self.pool.release(self)
        self.pool.finish(execute, result)

    def _update_transaction(self, execute, result) -> None:
        ran = isinstance(result, messages.Ran)
        if execute.kind is Kind.BEGIN and ran:
            self.transaction = execute.key
            self.pool.transactions[execute.key] = self
        elif execute.kind in (Kind.COMMIT, Kind.ROLLBACK):
            self.pool.transactions.pop(self.transaction, None)
            self.transaction = 0

    def fail(self, reason: Reason) -> None:
        """Close for good; what was under way has an open fate."""
        if self.closed:
            return
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        if self.socket is not None:
            control_link.abort(self.socket)
        self.pool.remove_connection(self)
        if self.execute is not None:
            execute, self.execute = self.execute, None
            self.pool.finish(
                execute, messages.ConnectionLost(reason, self.sent)
            )

    def tick(self, now_ms: int) -> None:
        """Ask for a sign of life; close when none comes."""
        if self.socket is None:
            return
        if self.pinged_ms:
            if now_ms - self.pinged_ms > PONG_TIMEOUT_MS:
                self.pool.timed_out_pings += 1
                self.fail(Reason.UPSTREAM_TIMEOUT)
            return
        period_ms = BUSY_PING_MS if self.execute else IDLE_PING_MS
        if now_ms - self.last_received_ms > period_ms:
            self.pinged_ms = now_ms
            with contextlib.suppress(websocket.WebSocketClosedError):
                self.socket.ping()


class SqlPool:
    """Own up to `limit` connections to one upstream."""

    def __init__(
        self,
        name: str,
        url: str,
        limit: int,
        post: collections.abc.Callable[[object], None],
    ):
        self.name = name
        self.url = url
        self.limit = limit
        self.post = post
        self.connections: set[SqlConnection] = set()
        self.idle: collections.deque[SqlConnection] = collections.deque()
        self.transactions: dict[int, SqlConnection] = {}
        self.tasks: set[asyncio.Task] = set()
        self.timed_out_pings = 0
        self.closed = False

    def close(self) -> None:
        """Close every connection; nothing is run from now on."""
        self.closed = True
        for connection in list(self.connections):
            connection.fail(Reason.CONNECTION_LOST)

    def warm(self, count: int) -> None:
        """Open connections ahead of need: opening one takes its time."""
        while len(self.connections) < min(count, self.limit):
            self._open(None)

    def run(self, execute: messages.Execute) -> None:
        """Run a statement; its result is posted exactly once."""
        if self.closed:
            lost = messages.ConnectionLost(Reason.DRAINING, False)
            self.finish(execute, lost)
            return
        if execute.kind in (Kind.EXECUTE, Kind.COMMIT, Kind.ROLLBACK):
            self._run_in_transaction(execute)
            return
        if self.idle:
            self.idle.pop().run(execute)
        elif len(self.connections) < self.limit:
            self._open(execute)
        else:
            refused = messages.Refused(Reason.CONNECTION_LIMIT)
            self.finish(execute, refused)

    def _run_in_transaction(self, execute: messages.Execute) -> None:
        connection = self.transactions.get(execute.request.transaction)
        if connection is None:
            lost = messages.ConnectionLost(Reason.TRANSACTION_LOST, False)
            self.finish(execute, lost)
            return
        connection.run(execute)

    def _open(self, execute: messages.Execute | None) -> None:
        connection = SqlConnection(self)
        self.connections.add(connection)
        if execute is not None:
            connection.run(execute)
        task = asyncio.create_task(connection.open())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def release(self, connection: SqlConnection) -> None:
        """Take back a connection for other statements."""
        self.idle.append(connection)

    def remove_connection(self, connection: SqlConnection) -> None:
        """Drop a connection that was closed."""
        self.connections.discard(connection)
        with contextlib.suppress(ValueError):
            self.idle.remove(connection)
        if connection.transaction:
            self.transactions.pop(connection.transaction, None)

    def close_transaction(self, key: int) -> None:
        """Roll a transaction back by closing its connection."""
        connection = self.transactions.get(key)
        if connection is not None:
            connection.fail(Reason.TRANSACTION_LOST)

    def finish(self, execute: messages.Execute, result) -> None:
        """Post a result."""
        self.post(
            messages.Executed(execute.key, execute.attempt, self.name, result)
        )

    def tick(self, now_ms: int) -> None:
        """Look after the connections."""
        for connection in list(self.connections):
            connection.tick(now_ms)


def _result(upstream: str, reply: wire.SqlReply) -> messages.Result:
    if reply.result == 'ran':
        status = wire.status_of(upstream, reply)
        return messages.Ran(
            reply.rows,
            status.place,
            reply.accepted_term,
            reply.repeated,
            reply.cancelled,
            reply.leads,
        )
    if reply.result == 'failed':
        return messages.SqlFailed(reply.reason)
    status = wire.status_of(upstream, reply)
    return messages.Refused(Reason(reply.reason), status)
