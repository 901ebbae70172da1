"""Spread revisions and word of owners among proxies, over pynng.

Push and pull sockets carry one-way messages and never send again by
themselves. Nothing here needs an answer: a lost digest is made good by the
next one.
"""

import asyncio
import collections
import collections.abc
import contextlib
import random

import msgspec
import pynng

from topazring.core import revisions
from topazring.plumbing import logs

__all__ = ['Delta', 'Digest', 'Gossip', 'Leaving', 'Suspicion']

logger = logs.part_logger('gossip')

SEND_S = 0.5
LINKS_KEPT = 24
QUEUE = 64
SEND_BUFFER = 16


class Digest(msgspec.Struct, array_like=True, tag='d'):
    """Say how far the sender has come, by stream."""

    name: str
    address: str
    seen: dict[str, int]


class Delta(msgspec.Struct, array_like=True, tag='e'):
    """Carry all that changed in a stream between two revisions."""

    name: str
    stream: str
    since: int
    upto: int
    changes: list[revisions.Change]


class Suspicion(msgspec.Struct, array_like=True, tag='s'):
    """Say what an owner thinks of a primary."""

    name: str
    database: str
    term: int
    suspects: bool


class Leaving(msgspec.Struct, array_like=True, tag='l'):
    """Say that a proxy's process leaves."""

    name: str
    incarnation: str


Message = Digest | Delta | Suspicion | Leaving
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


class Gossip:
    """Own one pulling socket and a few pushing ones."""

    def __init__(
        self,
        address: str,
        receive: collections.abc.Callable[[Message], None],
    ):
        self.address = address
        self.receive = receive
        self.listener: pynng.Pull0 | None = None
        self.links: collections.OrderedDict[str, Link] = (
            collections.OrderedDict()
        )
        self.task: asyncio.Task | None = None
        self.closing = False
        self.sent_bytes = 0
        self.received_bytes = 0
        self.rng = random.Random(address)

    def start(self) -> None:
        """Listen."""
        self.listener = pynng.Pull0(listen=self.address)
        self.task = asyncio.create_task(self._receive_forever())

    async def close(self) -> None:
        """Close every socket."""
        self.closing = True
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task
        for link in self.links.values():
            link.close()
        self.listener.close()

    async def _receive_forever(self) -> None:
        # A message that has arrived is returned instead of the cancellation;
        # without the flag the end would wait for the next one for ever.
        while not self.closing:
            raw = await self.listener.arecv()
            self.received_bytes += len(raw)
            try:
                message = _decode(raw)
            except msgspec.MsgspecError:
                logger.warning('dropped a message that cannot be read')
                continue
            self.receive(message)

    def send(self, address: str, message: Message) -> None:
        """Send to a peer if it can be reached, else drop the message."""
        link = self.links.get(address)
        if link is None:
            link = Link(address)
            self.links[address] = link
            while len(self.links) > LINKS_KEPT:
                _, oldest = self.links.popitem(last=False)
                oldest.close()
        self.links.move_to_end(address)
        raw = _encode(message)
        self.sent_bytes += len(raw)
        link.send(raw)


class Link:
    """Own the pushing socket to one peer, and the messages it waits with."""

    def __init__(self, address: str):
        self.socket = pynng.Push0(
            send_timeout=int(SEND_S * 1000), send_buffer_size=SEND_BUFFER
        )
        self.socket.dial(address, block=False)
        self.queue: asyncio.Queue[bytes] = asyncio.Queue(QUEUE)
        self.task = asyncio.create_task(self._send_forever())

    def send(self, raw: bytes) -> None:
        """Queue a message; the oldest makes room when the peer is away."""
        if self.queue.full():
            self.queue.get_nowait()
        self.queue.put_nowait(raw)

    async def _send_forever(self) -> None:
        while True:
            raw = await self.queue.get()
            with contextlib.suppress(pynng.exceptions.NNGException):
                await self.socket.asend(raw)

    def close(self) -> None:
        """Close the socket."""
        self.task.cancel()
        self.socket.close()
