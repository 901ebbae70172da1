"""Gossip between proxies over pynng: revisions, suspicions and shutdowns.

Push and pull sockets carry one-way messages and never resend by themselves.
No message needs a reply: a lost digest is compensated by the next one.
"""

import asyncio
import collections
import collections.abc
import contextlib
import random
import typing

import msgspec
import pynng

from topazring.core import revisions
from topazring.plumbing import logs
from topazring.plumbing import supervision

__all__ = ['Delta', 'Digest', 'Gossip', 'Leaving', 'Suspicion']

logger = logs.part_logger('gossip')

SEND_TIMEOUT_S = 0.5
MAX_LINKS = 24
MAX_QUEUED_MESSAGES = 64
SEND_BUFFER_MESSAGES = 16


# Revisions are sent as signed integers.
MAX_REVISION = 2**63 - 1

_Revision = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]


class Digest(msgspec.Struct, array_like=True, tag='d'):
    """The last revision that the sender has seen, by stream."""

    name: str
    address: str
    seen: dict[str, _Revision]


class Delta(msgspec.Struct, array_like=True, tag='e'):
    """All changes of a stream between two revisions."""

    name: str
    stream: str
    since: _Revision
    upto: _Revision
    changes: list[revisions.Change]

    def __post_init__(self):
        for change in self.changes:
            if not 0 <= change.revision <= MAX_REVISION:
                raise ValueError('the revision of a change is out of range')


class Suspicion(msgspec.Struct, array_like=True, tag='s'):
    """Whether an owner suspects the primary of a term to have failed."""

    name: str
    database: str
    term: int
    suspects: bool


class Leaving(msgspec.Struct, array_like=True, tag='l'):
    """Announcement that a proxy's process is shutting down."""

    name: str
    incarnation: str


Message = Digest | Delta | Suspicion | Leaving
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


class Gossip:
    """Receive on one pull socket; send on a push socket for each peer.

    Only the MAX_LINKS most recently used push sockets are kept open.
    """

    def __init__(
        self,
        address: str,
        receive: collections.abc.Callable[[Message], None],
        reporter: supervision.Reporter,
    ):
        self.address = address
        self.receive = receive
        self.reporter = reporter
        reporter.register('gossip_decoder')
        reporter.register('gossip_link')
        self.listener: pynng.Pull0 | None = None
        self.links: collections.OrderedDict[str, Link] = (
            collections.OrderedDict()
        )
        self.task: asyncio.Task | None = None
        self.is_closing = False
        self.sent_bytes = 0
        self.received_bytes = 0
        self.rng = random.Random(address)

    def start(self) -> None:
        """Listen and start to receive."""
        self.listener = pynng.Pull0(listen=self.address)
        self.task = supervision.start(
            'gossip_receiver', self._receive_forever, self.reporter
        )

    async def close(self) -> None:
        """Close every socket."""
        self.is_closing = True
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task
        for link in self.links.values():
            link.close()
        self.listener.close()

    async def _receive_forever(self) -> None:
        # If a message has already arrived, arecv() returns it and swallows the
        # cancellation. Without the flag, close() would wait forever for the
        # next message.
        while not self.is_closing:
            raw = await self.listener.arecv()
            self.received_bytes += len(raw)
            try:
                message = _decode(raw)
            except Exception as error:
                self.reporter.report_failure('gossip_decoder', error)
                continue
            self.receive(message)

    def send(self, address: str, message: Message) -> None:
        """Send to a peer; the message is lost if the peer is unreachable."""
        link = self.links.get(address)
        if link is None:
            try:
                link = Link(address)
            except (ValueError, pynng.exceptions.NNGException) as error:
                self.reporter.report_failure('gossip_link', error)
                return
            self.links[address] = link
            while len(self.links) > MAX_LINKS:
                _, oldest = self.links.popitem(last=False)
                oldest.close()
        self.links.move_to_end(address)
        raw = _encode(message)
        self.sent_bytes += len(raw)
        link.send(raw)


class Link:
    """Push socket to one peer, with a queue of messages to send."""

    def __init__(self, address: str):
        self.socket = pynng.Push0(
            send_timeout=int(SEND_TIMEOUT_S * 1000),
            send_buffer_size=SEND_BUFFER_MESSAGES,
        )
        self.socket.dial(address, block=False)
        self.queue: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self.task = asyncio.create_task(self._send_forever())

    def send(self, raw: bytes) -> None:
        """Queue a message; drop the oldest if the peer let it fill up."""
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
