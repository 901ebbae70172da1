"""Send requests to other proxies over one TCP stream each.

A stream is opened when it is needed. Requests are not sent again here: after
a lost link their outcome is unknown, and the sending proxy decides what to do
about it. At one core a stream costs 32 us a message; pynng cost 295 us and
1.4 MB a process.
"""

import asyncio
import collections.abc
import itertools

from tornado import iostream

from topazring.core import outcomes
from topazring.core.synchronous import forwarding
from topazring.core.synchronous import messages
from topazring.plumbing import clock
from topazring.plumbing import dialling
from topazring.plumbing import framing
from topazring.pooler import hop_frames
from topazring.pooler import settings

__all__ = ['Link']

# A peer accepts a connection within milliseconds.
CONNECT_TIMEOUT_S = 0.3
# A link with pending requests is pinged after it has been silent for
# PING_AFTER_MS, and closed after SILENCE_TIMEOUT_MS: a statement takes 10 to
# 20 ms, and a caller has 600 ms.
PING_AFTER_MS = 150
SILENCE_TIMEOUT_MS = 400
WATCH_INTERVAL_S = 0.05
# Part of the caller's time that is reserved for the answer's way back.
RETURN_MARGIN_MS = 5


class Link:
    """Own the stream to one other proxy, opened when it is needed."""

    def __init__(self, address: str):
        self.address = address
        self.numbers = itertools.count(1)
        self.pending: dict[int, asyncio.Future] = {}
        # Set while requests may be pending; an idle link causes no wake-ups.
        self.has_pending = asyncio.Event()
        self.stream: iostream.IOStream | None = None
        self.connecting: asyncio.Task | None = None
        self.tasks: set[asyncio.Task] = set()
        self.last_received_ms = 0

    def close(self) -> None:
        """Close the stream; requests in flight on it are lost."""
        for task in list(self.tasks):
            task.cancel()
        self._close_stream()

    def describe(self) -> dict[str, object]:
        """Return the state of the link, as inputs of a log line."""
        return {
            'is_connecting': self.connecting is not None,
            'is_open': self.stream is not None and not self.stream.closed(),
            'pending': len(self.pending),
            'silent_ms': clock.boottime_ms() - self.last_received_ms,
        }

    async def send_request(
        self,
        request: messages.Request,
        deadline_ms: int,
        load: forwarding.Load,
    ) -> outcomes.Outcome | forwarding.LinkLost:
        """Return the outcome, or LinkLost if the link ended before it came.

        `load` is updated with the queue length that the owner reports. Raises
        FrameTooLongError if the request was not sent for its length.
        """
        load.in_flight += 1
        try:
            return await self._exchange(request, deadline_ms, load)
        finally:
            load.in_flight -= 1

    async def _exchange(
        self,
        request: messages.Request,
        deadline_ms: int,
        load: forwarding.Load,
    ) -> outcomes.Outcome | forwarding.LinkLost:
        def make_frame(number: int) -> hop_frames.RequestFrame:
            left_ms = deadline_ms - clock.boottime_ms() - RETURN_MARGIN_MS
            return hop_frames.RequestFrame(number, left_ms, request)

        result = await self.ask(make_frame)
        if isinstance(result, forwarding.LinkLost):
            return result
        outcome, load.waiting = result
        load.reported_ms = clock.boottime_ms()
        return outcome

    async def ask(
        self,
        make_frame: collections.abc.Callable[[int], hop_frames.Frame],
    ) -> object:
        """Send a frame with a new number; return its answer or LinkLost.

        Raises FrameTooLongError if it was not sent for its length.
        """
        stream = await self._connected_stream()
        if stream is None or stream is not self.stream:
            # The stream has ended meanwhile, and nothing reads it any more.
            return forwarding.LinkLost(False)
        number = next(self.numbers)
        answer = asyncio.get_running_loop().create_future()
        if not self.pending:
            # Silence counts from the first pending request.
            self.last_received_ms = clock.boottime_ms()
        self.pending[number] = answer
        self.has_pending.set()
        try:
            hop_frames.write(stream, make_frame(number))
            return await answer
        finally:
            self.pending.pop(number, None)

    def withdraw(self, service: str, transaction: int) -> None:
        """Ask the owner to abort a transaction."""
        if self.stream is not None:
            hop_frames.write(
                self.stream, hop_frames.WithdrawFrame(service, transaction)
            )

    async def _connected_stream(self) -> iostream.IOStream | None:
        if self.stream is not None and not self.stream.closed():
            return self.stream
        if self.connecting is None:
            self.connecting = asyncio.create_task(self._connect())
        return await asyncio.shield(self.connecting)

    async def _connect(self) -> iostream.IOStream | None:
        target = settings.endpoint(self.address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                stream = await dialling.KeepaliveClient().connect(
                    target.host, target.port
                )
        except (OSError, TimeoutError, iostream.StreamClosedError):
            return None
        finally:
            self.connecting = None
        self.stream = stream
        self.last_received_ms = clock.boottime_ms()
        for work in (
            self._read_forever(stream),
            self._watch_for_silence(stream),
        ):
            task = asyncio.create_task(work)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return stream

    async def _read_forever(self, stream: iostream.IOStream) -> None:
        reader = framing.FrameReader(stream)
        try:
            while True:
                frame = await hop_frames.read(reader)
                self.last_received_ms = clock.boottime_ms()
                match frame:
                    case hop_frames.AnswerFrame():
                        # An unknown outcome ends the link, as a malformed
                        # frame does, and the request gets LinkLost.
                        outcome = hop_frames.to_outcome(frame)
                        self._resolve(frame.id, (outcome, frame.waiting))
                    case hop_frames.GrantFrame() | hop_frames.ConfirmFrame():
                        self._resolve(frame.id, frame)
        except (OSError, iostream.StreamClosedError, ValueError):
            # _close_stream() reports the lost link to pending requests.
            pass
        finally:
            if self.stream is stream:
                self._close_stream()

    def _resolve(self, number: int, result: object) -> None:
        answer = self.pending.pop(number, None)
        if answer is not None and not answer.done():
            answer.set_result(result)

    async def _watch_for_silence(self, stream: iostream.IOStream) -> None:
        """Close a link that stays silent although answers are due.

        A peer that lost power or is partitioned answers nothing. The kernel
        detects that only after seconds; callers have a fraction of one.
        """
        while not stream.closed():
            await self.has_pending.wait()
            await asyncio.sleep(WATCH_INTERVAL_S)
            if not self.pending:
                self.has_pending.clear()
                continue
            silent_ms = clock.boottime_ms() - self.last_received_ms
            if silent_ms >= SILENCE_TIMEOUT_MS:
                stream.close()
            elif silent_ms >= PING_AFTER_MS:
                hop_frames.write(stream, framing.Ping())

    def _close_stream(self) -> None:
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.close()
        pending, self.pending = self.pending, {}
        for answer in pending.values():
            if not answer.done():
                answer.set_result(forwarding.LinkLost(True))
