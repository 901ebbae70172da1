"""Carry requests between an entry and an owner over one TCP stream.

Frames are length-prefixed msgpack with ids of our own. A lost stream is
never sent over again: whether a request ran is then an open fate, and the
entry decides what to do about it.
"""

import asyncio
import collections.abc
import typing

import msgspec
from tornado import iostream
from tornado import tcpclient
from tornado import tcpserver

from topazring.core import log_positions
from topazring.core import messages
from topazring.core import outcomes
from topazring.core import requests
from topazring.plumbing import clock
from topazring.plumbing import framing
from topazring.plumbing import logs

__all__ = ['HopAnswer', 'HopClient', 'HopRequest', 'HopServer', 'Withdraw']

logger = logs.part_logger('hop')

CONNECT_TIMEOUT_S = 1.0
PING_AFTER_MS = 500
PONG_TIMEOUT_MS = 1500


class HopRequest(msgspec.Struct, array_like=True, tag='q'):
    """Carry a request, with its profile as the entry has it in force."""

    id: int
    kind: str
    organisation: str
    database: str
    profile: requests.Profile
    left_ms: int
    statements: list[requests.Statement]
    request_id: str
    token: tuple[int, int]
    transaction: int
    repeat: bool = False


class HopAnswer(msgspec.Struct, array_like=True, tag='a'):
    """Carry an outcome; `transaction` names one that began."""

    id: int
    outcome: str
    rows: list[list[typing.Any]] = []
    place: tuple[int, int] = (0, 0)
    reason: str = ''
    retry_after_ms: int = 0
    detail: str = ''
    served_by: str = ''
    repeated: bool = False
    transaction: int = 0


class Withdraw(msgspec.Struct, array_like=True, tag='w'):
    """Say that a transaction's caller is gone."""

    database: str
    transaction: int


Frame = HopRequest | HopAnswer | Withdraw | framing.Ping | framing.Pong
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Frame).decode


def to_answer(
    frame_id: int, outcome: outcomes.Outcome, transaction: int
) -> HopAnswer:
    """Return the frame for an outcome."""
    match outcome:
        case outcomes.Done():
            place = (outcome.place.log_term, outcome.place.position)
            return HopAnswer(
                frame_id,
                'done',
                outcome.rows,
                place,
                served_by=outcome.served_by,
                repeated=outcome.repeated,
                transaction=transaction,
            )
        case outcomes.NotRun():
            return HopAnswer(
                frame_id,
                'not_run',
                reason=outcome.reason,
                retry_after_ms=outcome.retry_after_ms,
            )
        case outcomes.Unknown():
            return HopAnswer(frame_id, 'unknown', reason=outcome.reason)
        case outcomes.Rejected():
            return HopAnswer(
                frame_id,
                'rejected',
                reason=outcome.reason,
                detail=outcome.detail,
            )


def to_outcome(answer: HopAnswer) -> outcomes.Outcome:
    """Return the outcome that a frame carries."""
    match answer.outcome:
        case 'done':
            return outcomes.Done(
                answer.rows,
                log_positions.LogPosition(*answer.place),
                answer.served_by,
                answer.repeated,
            )
        case 'not_run':
            reason = outcomes.Reason(answer.reason)
            return outcomes.NotRun(reason, answer.retry_after_ms)
        case 'unknown':
            return outcomes.Unknown(outcomes.Reason(answer.reason))
    return outcomes.Rejected(outcomes.Reason(answer.reason), answer.detail)


async def _read_frame(stream: iostream.IOStream) -> Frame:
    return _decode(await framing.read_frame(stream))


def _write_frame(stream: iostream.IOStream, frame: Frame) -> bool:
    """Write a frame; False if the stream is closed."""
    return framing.write_frame(stream, _encode(frame))


class HopServer(tcpserver.TCPServer):
    """Take requests from entries and answer them as they end."""

    def __init__(self, serve: collections.abc.Callable):
        """Serve with `serve(frame, answer)` and `serve(withdraw, None)`."""
        super().__init__()
        self.serve = serve

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple
    ) -> None:
        """Serve one entry until its stream ends."""
        stream.set_nodelay(True)
        begun: dict[tuple[str, int], None] = {}
        try:
            while True:
                frame = await _read_frame(stream)
                self._handle_frame(stream, frame, begun)
        except (iostream.StreamClosedError, ValueError):
            stream.close()
        # The entry is gone, and with it the sessions that could go on with
        # these transactions. Each would hold a connection until its end.
        for database, transaction in begun:
            self.serve(Withdraw(database, transaction), None)

    def _handle_frame(
        self,
        stream: iostream.IOStream,
        frame: Frame,
        begun: dict[tuple[str, int], None],
    ) -> None:
        match frame:
            case HopRequest():

                def answer(key: int, outcome: outcomes.Outcome) -> None:
                    transaction = 0
                    done = isinstance(outcome, outcomes.Done)
                    if frame.kind == requests.Kind.BEGIN and done:
                        transaction = key
                        begun[(frame.database, key)] = None
                    reply = to_answer(frame.id, outcome, transaction)
                    written = _write_frame(stream, reply)
                    if not written and transaction:
                        gone = Withdraw(frame.database, transaction)
                        self.serve(gone, None)

                self.serve(frame, answer)
                if frame.kind in ('commit', 'rollback'):
                    begun.pop((frame.database, frame.transaction), None)
            case Withdraw():
                begun.pop((frame.database, frame.transaction), None)
                self.serve(frame, None)
            case framing.Ping():
                _write_frame(stream, framing.Pong())


class HopClient:
    """Own the stream to one owner; match answers to requests."""

    def __init__(self, name: str, host: str, port: int):
        self.name = name
        self.host = host
        self.port = port
        self.stream: iostream.IOStream | None = None
        self.connect_task: asyncio.Task | None = None
        self.pending: dict[int, asyncio.Future] = {}
        self.next_id = 1
        self.last_received_ms = 0
        self.pinged_ms = 0

    def close(self) -> None:
        """Close the stream."""
        self._fail_pending()

    async def call(
        self, make_frame: collections.abc.Callable[[int], HopRequest]
    ) -> tuple[outcomes.Outcome, int] | messages.ConnectionLost:
        """Send a request; return its outcome and transaction, or a loss."""
        if self.stream is None and not await self._connect():
            return messages.ConnectionLost(outcomes.Reason.OWNER_LOST, False)
        frame_id = self.next_id
        self.next_id += 1
        answered = asyncio.get_running_loop().create_future()
        self.pending[frame_id] = answered
        if not self.pending or len(self.pending) == 1:
            self.last_received_ms = max(
                self.last_received_ms, clock.monotonic_ms()
            )
        if not _write_frame(self.stream, make_frame(frame_id)):
            self.pending.pop(frame_id, None)
            self._fail_pending()
            return messages.ConnectionLost(outcomes.Reason.OWNER_LOST, True)
        return await answered

    def withdraw(self, database: str, transaction: int) -> None:
        """Tell the owner that a transaction's caller is gone."""
        if self.stream is not None:
            _write_frame(self.stream, Withdraw(database, transaction))

    async def _connect(self) -> bool:
        if self.connect_task is None:
            self.connect_task = asyncio.create_task(self._open())
        await asyncio.shield(self.connect_task)
        return self.stream is not None

    async def _open(self) -> None:
        try:
            self.stream = await asyncio.wait_for(
                tcpclient.TCPClient().connect(self.host, self.port),
                CONNECT_TIMEOUT_S,
            )
        except (OSError, asyncio.TimeoutError, iostream.StreamClosedError):
            self.stream = None
        finally:
            self.connect_task = None
        if self.stream is not None:
            self.stream.set_nodelay(True)
            self.last_received_ms = clock.monotonic_ms()
            self.pinged_ms = 0
            asyncio.create_task(self._read(self.stream))

    async def _read(self, stream: iostream.IOStream) -> None:
        try:
            while True:
                frame = await _read_frame(stream)
                self.last_received_ms = clock.monotonic_ms()
                self.pinged_ms = 0
                if isinstance(frame, HopAnswer):
                    self._handle_answer(frame)
        except (iostream.StreamClosedError, ValueError):
            if self.stream is stream:
                self._fail_pending()

    def _handle_answer(self, frame: HopAnswer) -> None:
        waiting = self.pending.pop(frame.id, None)
        if waiting is not None and not waiting.done():
            waiting.set_result((to_outcome(frame), frame.transaction))

    def _fail_pending(self) -> None:
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.close()
        waiting = list(self.pending.values())
        self.pending.clear()
        for future in waiting:
            if not future.done():
                lost = messages.ConnectionLost(
                    outcomes.Reason.OWNER_LOST, True
                )
                future.set_result(lost)

    def tick(self, now_ms: int) -> None:
        """Find a stream that went silent while requests wait on it."""
        if self.stream is None or not self.pending:
            return
        if self.pinged_ms and now_ms - self.pinged_ms > PONG_TIMEOUT_MS:
            logger.warning('%s went silent', self.name)
            self._fail_pending()
        elif (
            not self.pinged_ms
            and now_ms - self.last_received_ms > PING_AFTER_MS
        ):
            self.pinged_ms = now_ms
            _write_frame(self.stream, framing.Ping())
