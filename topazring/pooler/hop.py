"""Carry requests between proxies over one TCP stream a pair.

Frames are length-prefixed msgpack, with ids of our own. Nothing is sent
again by itself: a link that ends leaves open what became of a request, and
the entry decides what to do about it. At one core a stream costs 32 us a
message, pynng 295 us and 1.4 MB a process.
"""

import asyncio
import dataclasses
import itertools
import struct
import typing

import msgspec
from tornado import iostream
from tornado import tcpclient
from tornado import tcpserver

from topazring.core import outcomes
from topazring.core import places
from topazring.core.synchronous import forwarding
from topazring.core.synchronous import messages
from topazring.plumbing import clock
from topazring.plumbing import dialling
from topazring.pooler import settings

__all__ = ['Link', 'Server']

_LENGTH = struct.Struct('>I')
# A caller's message and what its session set, several times over.
MOST_FRAME_BYTES = 8_000_000
# A peer answers a connection within milliseconds.
CONNECT_S = 0.3
# A link with requests under way that has been silent for so long is asked
# for a sign of life, and given up after so much longer: a statement takes
# 10 to 20 ms, a caller has 600.
QUIET_MS = 150
SILENT_MS = 400
WATCH_S = 0.05
# The answer takes a little of the caller's time on its way back.
MARGIN_MS = 5


class Ask(msgspec.Struct, array_like=True, tag='q'):
    """Carry a request; `left_ms` is what is left of its time."""

    id: int
    left_ms: int
    request: messages.Request


class Told(msgspec.Struct, array_like=True, tag='a'):
    """Carry an answer, by the name of its kind."""

    id: int
    kind: str
    rows: list[typing.Any] = []
    place: places.Place | None = None
    signature: str = ''
    served_by: str = ''
    reason: str = ''
    retry_after_ms: int = 0
    detail: str = ''
    # Requests that wait at the owner for the same service.
    waiting: int = 0


class Withdraw(msgspec.Struct, array_like=True, tag='w'):
    """Say that a transaction's caller is gone, or rolled it back."""

    service: str
    transaction: int


class Ping(msgspec.Struct, array_like=True, tag='p'):
    """Ask for a sign of life."""


class Pong(msgspec.Struct, array_like=True, tag='o'):
    """Give a sign of life."""


Frame = Ask | Told | Withdraw | Ping | Pong
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Frame).decode


def to_told(number: int, outcome: outcomes.Outcome) -> Told:
    """Return the frame for an answer."""
    kind = type(outcome).__name__
    match outcome:
        case outcomes.Done():
            return Told(
                number,
                kind,
                outcome.rows,
                outcome.place,
                outcome.signature,
                outcome.served_by,
            )
        case outcomes.NotRun():
            return Told(
                number,
                kind,
                reason=outcome.reason,
                retry_after_ms=outcome.retry_after_ms,
            )
        case outcomes.Unknown():
            return Told(number, kind, reason=outcome.reason)
        case outcomes.Rejected():
            return Told(
                number, kind, reason=outcome.reason, detail=outcome.detail
            )


def to_outcome(told: Told) -> outcomes.Outcome:
    """Return the answer that a frame carries; ValueError if it is none."""
    match told.kind:
        case 'Done':
            return outcomes.Done(
                told.rows, told.place, told.served_by, False, told.signature
            )
        case 'NotRun':
            reason = outcomes.Reason(told.reason)
            return outcomes.NotRun(reason, told.retry_after_ms)
        case 'Unknown':
            return outcomes.Unknown(outcomes.Reason(told.reason))
        case 'Rejected':
            reason = outcomes.Reason(told.reason)
            return outcomes.Rejected(reason, told.detail)
    raise ValueError(f'no such outcome: {told.kind[:20]}')


def _write(stream: iostream.IOStream, frame: Frame) -> None:
    """Send a frame; the reader notices if the stream has ended."""
    data = _encode(frame)
    try:
        sent = stream.write(_LENGTH.pack(len(data)) + data)
    except iostream.StreamClosedError:
        return
    sent.add_done_callback(_take_error)


def _take_error(written: asyncio.Future) -> None:
    if not written.cancelled():
        written.exception()


async def _read(stream: iostream.IOStream) -> Frame:
    """Return the next frame; ValueError if it is none."""
    (length,) = _LENGTH.unpack(await stream.read_bytes(_LENGTH.size))
    if length > MOST_FRAME_BYTES:
        raise ValueError('the frame is too long')
    return _decode(await stream.read_bytes(length))


class Link:
    """Own the stream to one other proxy, opened when it is needed."""

    def __init__(self, address: str):
        self.address = address
        self.numbers = itertools.count(1)
        self.asked: dict[int, asyncio.Future] = {}
        self.stream: iostream.IOStream | None = None
        self.opening: asyncio.Task | None = None
        self.tasks: set[asyncio.Task] = set()
        self.heard_ms = 0

    def close(self) -> None:
        """End the stream; what is under way on it is lost."""
        for task in list(self.tasks):
            task.cancel()
        self._end()

    async def ask(
        self,
        request: messages.Request,
        deadline_ms: int,
        load: forwarding.Load | None = None,
    ) -> outcomes.Outcome | forwarding.Lost:
        """Return the answer, or that the link was lost before it.

        `load` is brought up to date with what the owner tells of its line.
        """
        if load is None:
            load = forwarding.Load()
        load.under_way += 1
        try:
            return await self._ask(request, deadline_ms, load)
        finally:
            load.under_way -= 1

    async def _ask(
        self,
        request: messages.Request,
        deadline_ms: int,
        load: forwarding.Load,
    ) -> outcomes.Outcome | forwarding.Lost:
        stream = await self._open()
        if stream is None:
            return forwarding.Lost(False)
        number = next(self.numbers)
        answer = asyncio.get_running_loop().create_future()
        if not self.asked:
            # Silence counts from the first question on.
            self.heard_ms = clock.suspended_ms()
        self.asked[number] = answer
        left_ms = deadline_ms - clock.suspended_ms() - MARGIN_MS
        _write(stream, Ask(number, left_ms, request))
        told = await answer
        if isinstance(told, forwarding.Lost):
            return told
        load.waiting = told.waiting
        load.told_ms = clock.suspended_ms()
        return to_outcome(told)

    def withdraw(self, service: str, transaction: int) -> None:
        """Tell the owner to undo a transaction."""
        if self.stream is not None:
            _write(self.stream, Withdraw(service, transaction))

    async def _open(self) -> iostream.IOStream | None:
        if self.stream is not None and not self.stream.closed():
            return self.stream
        if self.opening is None:
            self.opening = asyncio.create_task(self._connect())
        return await asyncio.shield(self.opening)

    async def _connect(self) -> iostream.IOStream | None:
        target = settings.endpoint(self.address)
        try:
            async with asyncio.timeout(CONNECT_S):
                stream = await tcpclient.TCPClient().connect(
                    target.host, target.port
                )
        except (OSError, TimeoutError, iostream.StreamClosedError):
            return None
        finally:
            self.opening = None
        dialling.keep_alive(stream.socket)
        self.stream = stream
        self.heard_ms = clock.suspended_ms()
        for work in (self._read_forever(stream), self._watch(stream)):
            task = asyncio.create_task(work)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return stream

    async def _read_forever(self, stream: iostream.IOStream) -> None:
        try:
            while True:
                frame = await _read(stream)
                self.heard_ms = clock.suspended_ms()
                if isinstance(frame, Told):
                    self._take(frame)
        except (OSError, iostream.StreamClosedError, ValueError):
            # What was asked is told that the link is lost.
            pass
        finally:
            if self.stream is stream:
                self._end()

    def _take(self, told: Told) -> None:
        answer = self.asked.pop(told.id, None)
        if answer is not None and not answer.done():
            answer.set_result(told)

    async def _watch(self, stream: iostream.IOStream) -> None:
        """End a link on which nothing comes although something is due.

        A peer without power or behind a partition answers nothing, and the
        kernel notices seconds later; callers have a part of one.
        """
        while not stream.closed():
            await asyncio.sleep(WATCH_S)
            if not self.asked:
                continue
            silent_ms = clock.suspended_ms() - self.heard_ms
            if silent_ms >= SILENT_MS:
                stream.close()
            elif silent_ms >= QUIET_MS:
                _write(stream, Ping())

    def _end(self) -> None:
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.close()
        asked, self.asked = self.asked, {}
        for answer in asked.values():
            if not answer.done():
                answer.set_result(forwarding.Lost(True))


class Host(typing.Protocol):
    """Say what serves the requests that come from other proxies."""

    async def serve_other(self, request: messages.Request) -> outcomes.Outcome:
        """Serve another proxy's request, without asking a third."""

    def withdraw_here(self, service: str, transaction: int) -> None:
        """Undo a transaction that was begun here."""

    def waiting_here(self, service: str) -> int:
        """Return how many requests wait here for a service."""

    def next_key(self) -> int:
        """Return a number that this process has not used."""


class Server(tcpserver.TCPServer):
    """Serve the requests of other proxies."""

    def __init__(self, host: Host):
        super().__init__()
        self.host = host
        self.entries: dict[iostream.IOStream, _Entry] = {}

    def start_at(self, address: str) -> None:
        """Listen."""
        target = settings.endpoint(address)
        self.listen(target.port, target.host)

    def close(self) -> None:
        """Stop listening and end all streams."""
        self.stop()
        for stream in list(self.entries):
            stream.close()

    def is_busy(self) -> bool:
        """Say whether anything of another proxy is under way or open."""
        return any(
            entry.tasks or entry.transactions
            for entry in self.entries.values()
        )

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple
    ) -> None:
        """Serve one proxy until its stream ends; undo what it left open."""
        dialling.keep_alive(stream.socket)
        entry = _Entry(self.host, stream)
        self.entries[stream] = entry
        try:
            while True:
                entry.take(await _read(stream))
        except (OSError, iostream.StreamClosedError, ValueError):
            # Its end is known there too; what it had open is undone.
            pass
        finally:
            del self.entries[stream]
            entry.undo()
            stream.close()


class _Entry:
    """Hold what one other proxy has under way here."""

    def __init__(self, host: Host, stream: iostream.IOStream):
        self.host = host
        self.stream = stream
        # The entry's number of a transaction to ours and its service.
        self.transactions: dict[int, tuple[int, str]] = {}
        self.tasks: set[asyncio.Task] = set()

    def take(self, frame: Frame) -> None:
        """Take in one frame."""
        match frame:
            case Ask():
                task = asyncio.create_task(self._serve(frame))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            case Withdraw():
                self._withdraw(frame.transaction)
            case Ping():
                _write(self.stream, Pong())
            case _:
                raise ValueError('no question')

    async def _serve(self, ask: Ask) -> None:
        request = self._adopt(ask)
        outcome = await self.host.serve_other(request)
        theirs = ask.request.transaction
        ends = request.statement.verb.ends_transaction
        if theirs and (ends or not isinstance(outcome, outcomes.Done)):
            self.transactions.pop(theirs, None)
        if self.stream.closed():
            return
        told = to_told(ask.id, outcome)
        told.waiting = self.host.waiting_here(request.policy.service)
        _write(self.stream, told)

    def _adopt(self, ask: Ask) -> messages.Request:
        """Return the request as one of this process.

        Its age and its proof count from its arrival here: later than where
        it came in, so what it sees is rather newer than it has to be.
        """
        theirs = ask.request.transaction
        transaction = 0
        if theirs:
            service = ask.request.policy.service
            known = self.transactions.get(theirs)
            transaction = known[0] if known else self.host.next_key()
            self.transactions[theirs] = (transaction, service)
        policy = dataclasses.replace(
            ask.request.policy, timeout_ms=max(0, ask.left_ms)
        )
        return dataclasses.replace(
            ask.request,
            key=self.host.next_key(),
            policy=policy,
            arrived_ms=clock.suspended_ms(),
            transaction=transaction,
        )

    def _withdraw(self, theirs: int) -> None:
        known = self.transactions.pop(theirs, None)
        if known is not None:
            self.host.withdraw_here(known[1], known[0])

    def undo(self) -> None:
        """Undo all that its end leaves open."""
        for theirs in list(self.transactions):
            self._withdraw(theirs)
