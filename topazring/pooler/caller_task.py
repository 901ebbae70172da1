"""Serve one caller's connection and its session."""

import asyncio
import collections
import enum
import typing

from tornado import iostream

from topazring.core import organisations
from topazring.core import outcomes
from topazring.core.synchronous import forwarding
from topazring.core.synchronous import messages
from topazring.core.synchronous import primary_availability
from topazring.core.synchronous import sessions
from topazring.core.synchronous import statements
from topazring.plumbing import clock
from topazring.plumbing import dialling
from topazring.plumbing import events
from topazring.pooler import ports

__all__ = ['CallerTask', 'Host', 'ShutdownPhase']

Reason = outcomes.Reason

READ_BYTES = 65536
_UNKNOWN_KEY = outcomes.Rejected(Reason.FORBIDDEN, 'no such key')
# Verbs that begin an operation at an upstream.
_OPERATIONS = frozenset(
    {
        statements.Verb.BEGIN,
        statements.Verb.READ,
        statements.Verb.WRITE,
        statements.Verb.EXECUTE,
    }
)
# An operation may consist of several statements outside a transaction, each
# sent after the answer to the last. A session that has been idle for less may
# be in the middle of one, or its next request may be on its way.
IDLE_MS = 250
LATE_IDLE_MS = 60
# How long the rest of a message that is too long is read and discarded before
# the connection is closed.
DISCARD_TIMEOUT_S = 0.5
# How long a session whose key was revoked stays open after its last refusal.
REVOKED_CLOSE_S = 1.0
# A caller starts its session with its first message. A connection without one
# for this long only occupies a descriptor.
START_TIMEOUT_S = 10.0


class ShutdownPhase(enum.IntEnum):
    """Phases of a process's shutdown, in order."""

    RUNNING = 0
    # Sessions are closed between operations.
    CLOSE_IDLE = 1
    # Sessions with open transactions are closed too.
    CLOSE_TRANSACTIONS = 2
    # New operations are refused.
    REFUSE_NEW = 3


class Host(typing.Protocol):
    """Interface of the process to its sessions."""

    codec: ports.CallerCodec
    log: events.EventLog
    shutdown_phase: ShutdownPhase

    def policy(self, database: str) -> messages.Policy | None:
        """Return the policy in force for a database."""

    def organisation(self, database: str, key_hash: str) -> str | None:
        """Return the organisation that may use a database with a key.

        It is `organisations.ANONYMOUS` if the database needs no key, and None
        if no organisation holds the key.
        """

    async def run(self, request: messages.Request) -> outcomes.Outcome:
        """Return the final outcome of a request."""

    def withdraw(self, service: str, transaction: int) -> None:
        """Abort a transaction that its caller rolled back or abandoned."""

    def next_key(self) -> int:
        """Return a number that is unique in this process."""

    def message_bytes(self) -> int:
        """Return the maximum length of a caller's message."""

    def note(self, kind: str, outcome: outcomes.Outcome, ms: int) -> None:
        """Record an outcome and its latency."""

    def configured(self) -> bool:
        """Return whether any configuration has been read."""

    async def wait_configured(self) -> bool:
        """Wait briefly for the first configuration."""


class CallerTask:
    """Serve one session, one statement at a time, in order."""

    def __init__(self, host: Host, stream: iostream.IOStream):
        self.host = host
        self.stream = stream
        self.reader = host.codec.reader(host.message_bytes())
        self.pending: collections.deque[ports.CallerItem] = collections.deque()
        self.session: sessions.Session | None = None
        # The request that this process or another one serves.
        self.request: messages.Request | None = None
        self.busy = False
        self.idle_since_ms = clock.boottime_ms()
        dialling.enable_keepalive(stream.socket)

    async def serve(self) -> None:
        """Serve until the caller or this process ends the session."""
        loop = asyncio.get_running_loop()
        start_timer = loop.call_later(START_TIMEOUT_S, self._close_unstarted)
        try:
            while not self.stream.closed():
                item = await self._next_item()
                self.busy = True
                if not await self._handle_item(item):
                    break
                self.busy = False
                self.idle_since_ms = clock.boottime_ms()
        except iostream.StreamClosedError:
            # The caller disconnected; its open transaction is aborted below.
            pass
        finally:
            start_timer.cancel()
            self.busy = False
            self._abort_transaction()
            self.stream.close()

    async def _next_item(self) -> ports.CallerItem:
        while not self.pending:
            data = await self.stream.read_bytes(READ_BYTES, partial=True)
            self.pending.extend(self.reader.feed(data))
        return self.pending.popleft()

    def _may_close(self) -> bool:
        """Return whether the session can be closed without interruption."""
        if self.busy or self.pending:
            return False
        idle_ms = clock.boottime_ms() - self.idle_since_ms
        match self.host.shutdown_phase:
            case ShutdownPhase.RUNNING:
                return False
            case ShutdownPhase.CLOSE_IDLE:
                in_transaction = self.session and self.session.transaction
                return idle_ms >= IDLE_MS and not in_transaction
            case ShutdownPhase.CLOSE_TRANSACTIONS | ShutdownPhase.REFUSE_NEW:
                return idle_ms >= LATE_IDLE_MS

    def _close_unstarted(self) -> None:
        """Close the connection if no session was started on it."""
        if self.session is None:
            self.stream.close()

    def close_if_idle(self) -> None:
        """Close the session if it is idle."""
        if self._may_close():
            self.stream.close()

    def close_if_revoked(self) -> None:
        """End the session if its key is not valid any more.

        A request that is in progress is answered; the next one is refused. An
        open transaction is rolled back, and its next statement refused.
        """
        if self.session is None or self.busy or self.pending:
            return
        if self._is_authorised(self.session):
            return
        self._note_revoked(self.session)
        self._abort_transaction()
        if self.session.state is sessions.SessionState.IDLE:
            self.stream.close()

    def _is_authorised(self, session: sessions.Session) -> bool:
        """Return whether the session's key still stands for its organisation.

        Whether the database still exists is checked with each operation.
        """
        if self.host.policy(session.database) is None:
            return True
        found = self.host.organisation(session.database, session.key_hash)
        return found == session.organisation

    def _note_revoked(self, session: sessions.Session) -> None:
        self.host.note('revoked', _UNKNOWN_KEY, 0)
        inputs = {'organisation': session.organisation}
        self.host.log.emit('session', 'key revoked', inputs=inputs)

    async def _refuse_revoked(
        self, session: sessions.Session, statement: statements.Statement
    ) -> bool:
        """Refuse a statement whose session lost its key.

        The caller may have sent more already, which is answered as well. The
        session is closed once it is idle.
        """
        self._abort_transaction()
        if statement.verb.ends_transaction:
            session.state = sessions.SessionState.IDLE
        self._note_revoked(session)
        await self._send_answer(_UNKNOWN_KEY)
        loop = asyncio.get_running_loop()
        loop.call_later(REVOKED_CLOSE_S, self.close_if_revoked)
        return True

    def _abort_transaction(self) -> None:
        session = self.session
        if session is None or session.transaction is None:
            return
        policy = session.transaction.policy
        self._withdraw(policy, sessions.fail_transaction(session))

    def _withdraw(self, policy: messages.Policy, transaction: int) -> None:
        if transaction:
            self.host.withdraw(policy.service, transaction)

    async def _handle_item(self, item: ports.CallerItem) -> bool:
        """Handle one message; return False if the session has ended."""
        match item:
            case ports.Quit():
                return False
            case ports.Fault():
                return await self._handle_fault(item)
            case ports.StartSession():
                return await self._start_session(item)
            case statements.Statement():
                return await self._handle_statement(item)

    async def _handle_fault(self, fault: ports.Fault) -> bool:
        rejected = outcomes.Rejected(fault.reason, fault.detail)
        self.host.note('fault', rejected, 0)
        self.host.log.emit(
            'session',
            'bad input',
            inputs={
                'reason': str(fault.reason),
                'detail': fault.detail,
                'fatal': fault.fatal,
            },
        )
        if self.session is None or fault.fatal:
            await self.stream.write(self.host.codec.refusal(rejected))
            await self._discard()
            return False
        # The caller may have sent a COMMIT already, which must not keep the
        # other statements of the transaction.
        transaction = self.session.transaction
        result = sessions.reject(self.session, fault.reason, fault.detail)
        if transaction is not None:
            self._withdraw(transaction.policy, result.ends)
        await self._send_answer(result.outcome)
        return True

    async def _discard(self) -> None:
        """Read on for a moment, so that the caller can read its answer.

        A connection that is closed with unread bytes is reset, and an answer
        that is still on its way is lost.
        """
        try:
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                while True:
                    await self.stream.read_bytes(READ_BYTES, partial=True)
        except TimeoutError:
            return

    async def _start_session(self, start: ports.StartSession) -> bool:
        if not self.host.configured():
            await self.host.wait_configured()
        refusal = self._start_refusal(start)
        if refusal is not None:
            self.host.note('start', refusal, 0)
            self.host.log.emit(
                'session',
                'start refused',
                inputs={
                    'reason': str(refusal.reason),
                },
            )
            await self.stream.write(self.host.codec.refusal(refusal))
            return False
        key_hash = organisations.hash_key(start.key)
        self.session = sessions.Session(
            self.host.next_key(),
            start.database,
            self.host.organisation(start.database, key_hash),
            key_hash,
        )
        await self.stream.write(self.host.codec.greeting())
        return True

    def _start_refusal(
        self, start: ports.StartSession
    ) -> outcomes.Outcome | None:
        if self.session is not None:
            detail = 'the session has started already'
            return outcomes.Rejected(Reason.BAD_STATEMENT, detail)
        if not self.host.configured():
            return forwarding.unconfigured_outcome()
        if self.host.policy(start.database) is None:
            detail = 'no such database'
            return outcomes.Rejected(Reason.UNKNOWN_DATABASE, detail)
        key_hash = organisations.hash_key(start.key)
        if self.host.organisation(start.database, key_hash) is None:
            return _UNKNOWN_KEY
        return None

    async def _handle_statement(self, statement: statements.Statement) -> bool:
        session = self.session
        if session is None:
            rejected = outcomes.Rejected(
                Reason.BAD_STATEMENT, 'start a session first'
            )
            await self.stream.write(self.host.codec.refusal(rejected))
            return False
        if not self._is_authorised(session):
            return await self._refuse_revoked(session, statement)
        if self._must_refuse(session, statement):
            refusal = outcomes.NotRun(
                Reason.DRAINING, primary_availability.OTHER_PROXY_RETRY_MS
            )
            self.host.note(str(statement.verb), refusal, 0)
            await self._send_answer(refusal)
            return True
        began_ms = clock.boottime_ms()
        transaction_before = session.transaction
        result = sessions.handle_statement(
            session,
            began_ms,
            self.host.next_key(),
            statement,
            self.host.policy(session.database),
        )
        if isinstance(result, sessions.LocalAnswer):
            if transaction_before is not None:
                self._withdraw(transaction_before.policy, result.ends)
            outcome = result.outcome
        else:
            self.request = result
            outcome = await self.host.run(result)
            self.request = None
            sessions.record_outcome(session, result, outcome)
        took_ms = clock.boottime_ms() - began_ms
        self.host.note(str(statement.verb), outcome, took_ms)
        await self._send_answer(outcome)
        return True

    def _must_refuse(
        self, session: sessions.Session, statement: statements.Statement
    ) -> bool:
        """Return whether to refuse an operation shortly before the exit.

        A session that is never idle is not closed between operations. Its
        last one would be interrupted by the exit with an unknown outcome; if
        it is refused, it runs at another proxy.
        """
        if self.host.shutdown_phase is not ShutdownPhase.REFUSE_NEW:
            return False
        return session.transaction is None and statement.verb in _OPERATIONS

    async def _send_answer(self, outcome: outcomes.Outcome) -> None:
        state = self.session.state
        await self.stream.write(self.host.codec.answer(outcome, state))
