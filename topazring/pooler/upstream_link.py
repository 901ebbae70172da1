"""Own one connection to an upstream."""

import asyncio
import collections.abc
import socket

from tornado import iostream

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous import statements
from topazring.plumbing import dialling
from topazring.pooler import ports
from topazring.pooler import settings

__all__ = ['UpstreamLink']

Reason = outcomes.Reason

READ_BYTES = 65536

_DIAL_REASONS = {
    statements.Code.CONNECTION_LIMIT: Reason.CONNECTION_LIMIT,
    statements.Code.BUSY: Reason.SLOTS_BUSY,
}


class UpstreamLink:
    """Carry commands out and replies in; tell the group of both."""

    def __init__(
        self,
        number: int,
        codec: ports.UpstreamCodec,
        post: collections.abc.Callable[[object], None],
    ):
        self.number = number
        self.codec = codec
        self.post = post
        self.reader = codec.reader()
        self.stream: iostream.IOStream | None = None
        self.task: asyncio.Task | None = None
        # Replies still to come for what is under way, and those that came.
        self.expected = 0
        self.replies: list[statements.Reply] = []

    def start(self, service: str, upstream: str, address: str) -> None:
        """Connect, and read until the end."""
        self.task = asyncio.create_task(self._run(service, upstream, address))

    def close(self) -> None:
        """Close the connection without telling anyone."""
        if self.task is not None:
            self.task.cancel()
        if self.stream is not None:
            self.stream.close()

    def send(self, commands: tuple[statements.Command, ...]) -> None:
        """Send commands in one piece."""
        self.expected = len(commands)
        self.replies = []
        try:
            # What fails later is seen by the reader, which ends too.
            self.stream.write(self.codec.encode(commands))
        except iostream.StreamClosedError:
            asyncio.get_running_loop().call_soon(
                self._ended, Reason.CONNECTION_LOST
            )

    async def _run(self, service: str, upstream: str, address: str) -> None:
        try:
            place = await self._open(service, upstream, address)
        except (OSError, iostream.StreamClosedError, ValueError):
            self._ended(Reason.CONNECTION_LOST)
            return
        if isinstance(place, statements.Reply):
            self._refused(place)
            return
        self.post(messages.Opened(self.number, place))
        await self._read_forever()

    async def _open(self, service: str, upstream: str, address: str):
        """Return the upstream's place, or its refusal."""
        target = settings.endpoint(address)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        dialling.enable_keepalive(sock)
        self.stream = iostream.IOStream(sock)
        await self.stream.connect((target.host, target.port))
        await self.stream.write(self.codec.hello(service, upstream))
        while True:
            data = await self.stream.read_bytes(READ_BYTES, partial=True)
            for reply in self.reader.feed(data):
                return reply if reply.code is not None else reply.place

    def _refused(self, reply: statements.Reply) -> None:
        self.stream.close()
        reason = _DIAL_REASONS.get(reply.code, Reason.CONNECTION_LOST)
        self.post(messages.Closed(self.number, reason, reply.code))

    async def _read_forever(self) -> None:
        try:
            while True:
                data = await self.stream.read_bytes(READ_BYTES, partial=True)
                for reply in self.reader.feed(data):
                    self._take(reply)
        except (OSError, iostream.StreamClosedError, ValueError):
            self._ended(Reason.CONNECTION_LOST)

    def _take(self, reply: statements.Reply) -> None:
        if self.expected == 0:
            raise ValueError('a reply to nothing')
        self.replies.append(reply)
        self.expected -= 1
        if self.expected == 0:
            self.post(messages.Replied(self.number, tuple(self.replies)))

    def _ended(self, reason: outcomes.Reason) -> None:
        if self.stream is not None:
            self.stream.close()
        replies = tuple(self.replies) if self.expected else ()
        self.post(messages.Closed(self.number, reason, None, replies))
