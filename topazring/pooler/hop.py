"""Ask other proxies over one TCP stream each, opened when it is needed.

Nothing is sent again by itself: a link that ends leaves open what became of
a request, and the entry decides what to do about it. At one core a stream
costs 32 us a message, pynng 295 us and 1.4 MB a process.
"""

import asyncio
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

# A peer answers a connection within milliseconds.
CONNECT_TIMEOUT_S = 0.3
# A link with requests under way that has been silent for so long is asked
# for a sign of life, and given up after so much longer: a statement takes
# 10 to 20 ms, a caller has 600.
PING_AFTER_MS = 150
SILENCE_TIMEOUT_MS = 400
WATCH_INTERVAL_S = 0.05
# The answer takes a little of the caller's time on its way back.
RETURN_MARGIN_MS = 5


class Link:
    """Own the stream to one other proxy, opened when it is needed."""

    def __init__(self, address: str):
        self.address = address
        self.numbers = itertools.count(1)
        self.asked: dict[int, asyncio.Future] = {}
        # Set while something may be asked: an idle link wakes nobody.
        self.in_use = asyncio.Event()
        self.stream: iostream.IOStream | None = None
        self.opening: asyncio.Task | None = None
        self.tasks: set[asyncio.Task] = set()
        self.heard_ms = 0

    def close(self) -> None:
        """End the stream; what is under way on it is lost."""
        for task in list(self.tasks):
            task.cancel()
        self._end()

    async def send_request(
        self,
        request: messages.Request,
        deadline_ms: int,
        load: forwarding.Load,
    ) -> outcomes.Outcome | forwarding.LinkLost:
        """Return the answer, or that the link was lost before it.

        `load` is brought up to date with what the owner tells of its line.
        """
        load.in_flight += 1
        try:
            return await self._ask(request, deadline_ms, load)
        finally:
            load.in_flight -= 1

    async def _ask(
        self,
        request: messages.Request,
        deadline_ms: int,
        load: forwarding.Load,
    ) -> outcomes.Outcome | forwarding.LinkLost:
        stream = await self._open()
        if stream is None or stream is not self.stream:
            # It has ended meanwhile, and whoever reads it has gone.
            return forwarding.LinkLost(False)
        number = next(self.numbers)
        answer = asyncio.get_running_loop().create_future()
        if not self.asked:
            # Silence counts from the first question on.
            self.heard_ms = clock.boottime_ms()
        self.asked[number] = answer
        self.in_use.set()
        left_ms = deadline_ms - clock.boottime_ms() - RETURN_MARGIN_MS
        hop_frames.write(
            stream, hop_frames.RequestFrame(number, left_ms, request)
        )
        told = await answer
        if isinstance(told, forwarding.LinkLost):
            return told
        outcome, load.waiting = told
        load.reported_ms = clock.boottime_ms()
        return outcome

    def withdraw(self, service: str, transaction: int) -> None:
        """Tell the owner to undo a transaction."""
        if self.stream is not None:
            hop_frames.write(
                self.stream, hop_frames.WithdrawFrame(service, transaction)
            )

    async def _open(self) -> iostream.IOStream | None:
        if self.stream is not None and not self.stream.closed():
            return self.stream
        if self.opening is None:
            self.opening = asyncio.create_task(self._connect())
        return await asyncio.shield(self.opening)

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
            self.opening = None
        self.stream = stream
        self.heard_ms = clock.boottime_ms()
        for work in (self._read_forever(stream), self._watch(stream)):
            task = asyncio.create_task(work)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return stream

    async def _read_forever(self, stream: iostream.IOStream) -> None:
        reader = framing.FrameReader(stream)
        try:
            while True:
                frame = await hop_frames.read(reader)
                self.heard_ms = clock.boottime_ms()
                if isinstance(frame, hop_frames.AnswerFrame):
                    self._take(frame)
        except (OSError, iostream.StreamClosedError, ValueError):
            # What was asked is told that the link is lost.
            pass
        finally:
            if self.stream is stream:
                self._end()

    def _take(self, told: hop_frames.AnswerFrame) -> None:
        # An outcome that is not known here ends the link like any other bytes
        # that are no frame: read it before it is anyone's answer.
        outcome = hop_frames.to_outcome(told)
        answer = self.asked.pop(told.id, None)
        if answer is not None and not answer.done():
            answer.set_result((outcome, told.waiting))

    async def _watch(self, stream: iostream.IOStream) -> None:
        """End a link on which nothing comes although something is due.

        A peer without power or behind a partition answers nothing, and the
        kernel notices seconds later; callers have a part of one.
        """
        while not stream.closed():
            await self.in_use.wait()
            await asyncio.sleep(WATCH_INTERVAL_S)
            if not self.asked:
                self.in_use.clear()
                continue
            silent_ms = clock.boottime_ms() - self.heard_ms
            if silent_ms >= SILENCE_TIMEOUT_MS:
                stream.close()
            elif silent_ms >= PING_AFTER_MS:
                hop_frames.write(stream, framing.Ping())

    def _end(self) -> None:
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.close()
        asked, self.asked = self.asked, {}
        for answer in asked.values():
            if not answer.done():
                answer.set_result(forwarding.LinkLost(True))
