"""Own one caller's connection and its session."""

import asyncio
import collections
import enum
import typing

from tornado import iostream

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
# What begins an operation at an upstream.
_OPERATIONS = frozenset(
    {
        statements.Verb.BEGIN,
        statements.Verb.READ,
        statements.Verb.WRITE,
        statements.Verb.EXECUTE,
    }
)
# An operation may be several statements outside a transaction, each sent on
# the answer to the last. A session that has been still for less may be in
# the middle of one, or its next request is on the way already.
IDLE_MS = 250
LATE_IDLE_MS = 60
# A message that is too long is thrown away for so long, then cut.
DISCARD_TIMEOUT_S = 0.5
# A caller starts its session with its first message. One that says nothing
# for so long only takes up a descriptor.
START_TIMEOUT_S = 10.0


class ShutdownPhase(enum.IntEnum):
    """Say how far this process is on its way to its end."""

    RUNNING = 0
    # Sessions end as soon as they are between operations.
    CLOSE_IDLE = 1
    # Open transactions end too.
    CLOSE_TRANSACTIONS = 2
    # Nothing new is begun any more.
    REFUSE_NEW = 3


class Host(typing.Protocol):
    """Say what a session needs of its process."""

    codec: ports.CallerCodec
    log: events.EventLog
    shutdown_phase: ShutdownPhase

    def policy(self, database: str) -> messages.Policy | None:
        """Return the policy in force for a database."""

    async def run(self, request: messages.Request) -> outcomes.Outcome:
        """Return the request's one final answer."""

    def withdraw(self, service: str, transaction: int) -> None:
        """Undo a transaction whose caller is gone, or rolled it back."""

    def next_key(self) -> int:
        """Return a number that this process has not used."""

    def message_bytes(self) -> int:
        """Return how long a caller's message may be."""

    def note(self, kind: str, outcome: outcomes.Outcome, ms: int) -> None:
        """Count an answer and how long it took."""

    def configured(self) -> bool:
        """Say whether any configuration is known."""

    async def wait_configured(self) -> bool:
        """Wait a moment for the first configuration."""


class CallerTask:
    """Serve one session, one statement at a time, in order."""

    def __init__(self, host: Host, stream: iostream.IOStream):
        self.host = host
        self.stream = stream
        self.reader = host.codec.reader(host.message_bytes())
        self.pending: collections.deque[ports.CallerItem] = collections.deque()
        self.session: sessions.Session | None = None
        self.busy = False
        self.still_since_ms = clock.boottime_ms()
        dialling.enable_keepalive(stream.socket)

    async def serve(self) -> None:
        """Serve until the caller or this process ends the session."""
        loop = asyncio.get_running_loop()
        unstarted = loop.call_later(START_TIMEOUT_S, self._end_unstarted)
        try:
            while not self.stream.closed():
                item = await self._next()
                self.busy = True
                if not await self._take(item):
                    break
                self.busy = False
                self.still_since_ms = clock.boottime_ms()
        except iostream.StreamClosedError:
            # The caller left; what it had open is undone below.
            pass
        finally:
            unstarted.cancel()
            self.busy = False
            self._undo()
            self.stream.close()

    async def _next(self) -> ports.CallerItem:
        while not self.pending:
            data = await self.stream.read_bytes(READ_BYTES, partial=True)
            self.pending.extend(self.reader.feed(data))
        return self.pending.popleft()

    def _may_end(self) -> bool:
        """Say whether the session may be closed without cutting anything."""
        if self.busy or self.pending:
            return False
        still_ms = clock.boottime_ms() - self.still_since_ms
        match self.host.shutdown_phase:
            case ShutdownPhase.RUNNING:
                return False
            case ShutdownPhase.CLOSE_IDLE:
                open_one = self.session and self.session.transaction
                return still_ms >= IDLE_MS and not open_one
            case ShutdownPhase.CLOSE_TRANSACTIONS | ShutdownPhase.REFUSE_NEW:
                return still_ms >= LATE_IDLE_MS

    def _end_unstarted(self) -> None:
        """Close a connection on which no session was started."""
        if self.session is None:
            self.stream.close()

    def close_if_idle(self) -> None:
        """Close the session if nothing is under way on it."""
        if self._may_end():
            self.stream.close()

    def _undo(self) -> None:
        session = self.session
        if session is None or session.transaction is None:
            return
        policy = session.transaction.policy
        self._withdraw(policy, sessions.fail_transaction(session))

    def _withdraw(self, policy: messages.Policy, transaction: int) -> None:
        if transaction:
            self.host.withdraw(policy.service, transaction)

    async def _take(self, item: ports.CallerItem) -> bool:
        """Serve one message; False ends the session."""
        match item:
            case ports.Quit():
                return False
            case ports.Fault():
                return await self._fault(item)
            case ports.StartSession():
                return await self._start(item)
            case statements.Statement():
                return await self._statement(item)

    async def _fault(self, fault: ports.Fault) -> bool:
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
        await self._answer(rejected)
        return True

    async def _discard(self) -> None:
        """Read on for a moment, so that the caller gets to read its answer.

        A connection that is closed with unread bytes is reset, and the
        answer that is on its way is lost with it.
        """
        try:
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                while True:
                    await self.stream.read_bytes(READ_BYTES, partial=True)
        except TimeoutError:
            return

    async def _start(self, start: ports.StartSession) -> bool:
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
        number = self.host.next_key()
        self.session = sessions.Session(number, start.database)
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
        return None

    async def _statement(self, statement: statements.Statement) -> bool:
        session = self.session
        if session is None:
            rejected = outcomes.Rejected(
                Reason.BAD_STATEMENT, 'start a session first'
            )
            await self.stream.write(self.host.codec.refusal(rejected))
            return False
        if self._comes_too_late(session, statement):
            refusal = outcomes.NotRun(
                Reason.DRAINING, primary_availability.OTHER_PROXY_RETRY_MS
            )
            self.host.note(str(statement.verb), refusal, 0)
            await self._answer(refusal)
            return True
        began_ms = clock.boottime_ms()
        open_before = session.transaction
        taken = sessions.handle_statement(
            session,
            began_ms,
            self.host.next_key(),
            statement,
            self.host.policy(session.database),
        )
        if isinstance(taken, sessions.LocalAnswer):
            if open_before is not None:
                self._withdraw(open_before.policy, taken.ends)
            outcome = taken.outcome
        else:
            outcome = await self.host.run(taken)
            sessions.record_outcome(session, taken, outcome)
        took_ms = clock.boottime_ms() - began_ms
        self.host.note(str(statement.verb), outcome, took_ms)
        await self._answer(outcome)
        return True

    def _comes_too_late(
        self, session: sessions.Session, statement: statements.Statement
    ) -> bool:
        """Say whether a new operation comes just before this process ends.

        A session that never rests is not closed between operations. Its last
        one would be cut when the process ends, and whether it ran be unknown;
        refused, it runs at another proxy.
        """
        if self.host.shutdown_phase is not ShutdownPhase.REFUSE_NEW:
            return False
        return session.transaction is None and statement.verb in _OPERATIONS

    async def _answer(self, outcome: outcomes.Outcome) -> None:
        state = self.session.state
        await self.stream.write(self.host.codec.answer(outcome, state))
