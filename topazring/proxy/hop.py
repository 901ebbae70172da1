"""Send requests from an entry to an owner over one TCP stream.

Frames are length-prefixed msgpack; an id in each frame matches an answer to
its request. When a stream is lost, its requests are not sent again here: it
is not known whether they ran, and the entry decides how to proceed.
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
from topazring.plumbing import supervision

__all__ = [
    'FRAME_TOO_LONG',
    'HopAnswer',
    'HopClient',
    'HopRequest',
    'HopServer',
    'Withdraw',
    'report_too_long',
]

logger = logs.part_logger('hop')

# Counts requests and answers that are not sent, as the receiver would refuse
# them.
FRAME_TOO_LONG = 'frame_too_long'
CONNECT_TIMEOUT_S = 1.0
PING_AFTER_MS = 500
PONG_TIMEOUT_MS = 1500


class HopRequest(msgspec.Struct, array_like=True, tag='q'):
    """Request to an owner, with the profile in force at the entry."""

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
    """Outcome of a request; `transaction` is set if one was opened."""

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
    """Notice to an owner that a transaction's session has ended."""

    database: str
    transaction: int


Frame = HopRequest | HopAnswer | Withdraw | framing.Ping | framing.Pong
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Frame).decode


def to_answer(
    frame_id: int, outcome: outcomes.Outcome, transaction: int
) -> HopAnswer:
    """Return the answer frame for an outcome."""
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
    """Return the outcome in an answer frame."""
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
    """Write a frame; return False if the stream is closed.

    Raises FrameTooLongError, and writes nothing, if the receiver would refuse
    the frame.
    """
    body = _encode(frame)
    framing.check_length(len(body))
    return framing.write_frame(stream, body)


def _unreturned_outcome(
    kind: str,
) -> outcomes.Rejected | outcomes.Unknown | outcomes.NotRun:
    """Return the outcome of a request whose answer is too long.

    A transaction whose statement has it is rolled back.
    """
    reason = outcomes.Reason.TOO_LARGE
    if kind in requests.RECORDED_KINDS:
        return outcomes.Unknown(reason)
    if kind == requests.Kind.EXECUTE:
        return outcomes.NotRun(outcomes.Reason.TRANSACTION_LOST, 0)
    return outcomes.Rejected(reason, 'the answer is too long')


class HopServer(tcpserver.TCPServer):
    """Receive requests from entries and send the answers as they complete."""

    def __init__(
        self, serve: collections.abc.Callable, counts: supervision.Counts
    ):
        """Call `serve(frame, answer)` or `serve(withdraw, None)` per frame."""
        super().__init__()
        self.serve = serve
        self.counts = counts

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple
    ) -> None:
        """Serve one entry until its stream is closed."""
        stream.set_nodelay(True)
        open_transactions: dict[tuple[str, int], None] = {}
        try:
            while True:
                frame = await _read_frame(stream)
                self._handle_frame(stream, frame, open_transactions)
        except (iostream.StreamClosedError, ValueError):
            stream.close()
        # The sessions that could continue these transactions were lost with
        # the entry. Each transaction would hold a connection until its end.
        for database, transaction in open_transactions:
            self.serve(Withdraw(database, transaction), None)

    def _handle_frame(
        self,
        stream: iostream.IOStream,
        frame: Frame,
        open_transactions: dict[tuple[str, int], None],
    ) -> None:
        match frame:
            case HopRequest():

                def answer(key: int, outcome: outcomes.Outcome) -> None:
                    transaction = 0
                    is_done = isinstance(outcome, outcomes.Done)
                    if frame.kind == requests.Kind.BEGIN and is_done:
                        transaction = key
                        open_transactions[(frame.database, key)] = None
                    reply = to_answer(frame.id, outcome, transaction)
                    try:
                        is_written = _write_frame(stream, reply)
                    except framing.FrameTooLongError:
                        self._refuse_answer(stream, frame, open_transactions)
                        return
                    if not is_written and transaction:
                        withdrawal = Withdraw(frame.database, transaction)
                        self.serve(withdrawal, None)

                self.serve(frame, answer)
                if frame.kind in ('commit', 'rollback'):
                    open_transactions.pop(
                        (frame.database, frame.transaction), None
                    )
            case Withdraw():
                open_transactions.pop(
                    (frame.database, frame.transaction), None
                )
                self.serve(frame, None)
            case framing.Ping():
                _write_frame(stream, framing.Pong())

    def _refuse_answer(
        self,
        stream: iostream.IOStream,
        frame: HopRequest,
        open_transactions: dict[tuple[str, int], None],
    ) -> None:
        """Answer a request whose answer is too long, and roll back."""
        report_too_long(self.counts, 'answer', frame.kind, frame.database)
        if frame.kind == requests.Kind.EXECUTE:
            key = (frame.database, frame.transaction)
            open_transactions.pop(key, None)
            self.serve(Withdraw(*key), None)
        outcome = _unreturned_outcome(frame.kind)
        _write_frame(stream, to_answer(frame.id, outcome, 0))


def report_too_long(
    counts: supervision.Counts, what: str, kind: str, database: str
) -> None:
    """Count and log a request, or an answer to one, that is not sent."""
    counts.count(FRAME_TOO_LONG)
    logger.warning('%s of a %s for %s is too long', what, kind, database)


class HopClient:
    """Manage the stream to one owner and match answers to requests."""

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
        """Close the stream; pending requests are reported as lost."""
        self._fail_pending()

    async def call(
        self, make_frame: collections.abc.Callable[[int], HopRequest]
    ) -> tuple[outcomes.Outcome, int] | messages.ConnectionLost:
        """Send a request; return its outcome and the transaction it opened.

        The transaction is 0 if none was opened. Return `ConnectionLost` if
        the stream fails before the answer. Raises FrameTooLongError if the
        request was not sent for its length.
        """
        if self.stream is None and not await self._connect():
            return messages.ConnectionLost(outcomes.Reason.OWNER_LOST, False)
        frame_id = self.next_id
        self.next_id += 1
        future = asyncio.get_running_loop().create_future()
        self.pending[frame_id] = future
        try:
            return await self._exchange(make_frame(frame_id), future)
        finally:
            self.pending.pop(frame_id, None)

    async def _exchange(
        self, frame: HopRequest, future: asyncio.Future
    ) -> tuple[outcomes.Outcome, int] | messages.ConnectionLost:
        if not self.pending or len(self.pending) == 1:
            self.last_received_ms = max(
                self.last_received_ms, clock.monotonic_ms()
            )
        if not _write_frame(self.stream, frame):
            self.pending.pop(frame.id, None)
            self._fail_pending()
            return messages.ConnectionLost(outcomes.Reason.OWNER_LOST, True)
        return await future

    def withdraw(self, database: str, transaction: int) -> None:
        """Notify the owner that a transaction's session has ended."""
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
        future = self.pending.pop(frame.id, None)
        if future is not None and not future.done():
            future.set_result((to_outcome(frame), frame.transaction))

    def _fail_pending(self) -> None:
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.close()
        futures = list(self.pending.values())
        self.pending.clear()
        for future in futures:
            if not future.done():
                lost = messages.ConnectionLost(
                    outcomes.Reason.OWNER_LOST, True
                )
                future.set_result(lost)

    def tick(self, now_ms: int) -> None:
        """Check a stream with pending requests; ping it, or close it.

        A ping is sent `PING_AFTER_MS` after the last frame received. The
        stream is closed if nothing arrives within `PONG_TIMEOUT_MS`.
        """
        if self.stream is None or not self.pending:
            return
        if self.pinged_ms and now_ms - self.pinged_ms > PONG_TIMEOUT_MS:
            logger.warning(
                '%s did not answer a ping; closing the stream', self.name
            )
            self._fail_pending()
        elif (
            not self.pinged_ms
            and now_ms - self.last_received_ms > PING_AFTER_MS
        ):
            self.pinged_ms = now_ms
            _write_frame(self.stream, framing.Ping())
