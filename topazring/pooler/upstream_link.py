"""Own one connection to an upstream."""

import asyncio
import collections.abc
import socket

from tornado import iostream

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous import statements
from topazring.plumbing import dialling
from topazring.plumbing import events
from topazring.plumbing import supervision
from topazring.pooler import ports
from topazring.pooler import settings

__all__ = ['BAD_REPLY', 'REFUSED_LINE', 'UpstreamLink', 'register']

Reason = outcomes.Reason

READ_BYTES = 65536
# Counts replies that cannot be decoded or that no command is waiting for.
BAD_REPLY = 'bad_reply'
# Counts what is not sent, as an upstream would take it for something else.
REFUSED_LINE = 'refused_line'

_DIAL_REASONS = {
    statements.Code.CONNECTION_LIMIT: Reason.CONNECTION_LIMIT,
    statements.Code.BUSY: Reason.SLOTS_BUSY,
}


def register(log: events.EventLog) -> None:
    """Begin to count the faults of connections at 0."""
    log.register('upstream_link')
    log.counters.update({BAD_REPLY: 0, REFUSED_LINE: 0})


class UpstreamLink:
    """Send commands and receive replies; report events to the group."""

    def __init__(
        self,
        number: int,
        codec: ports.UpstreamCodec,
        on_message: collections.abc.Callable[[object], None],
        log: events.EventLog,
    ):
        self.number = number
        # What it is connected to, for log lines.
        self.service = ''
        self.upstream = ''
        self.codec = codec
        self.on_message = on_message
        self.log = log
        self.reader = codec.reader()
        self.stream: iostream.IOStream | None = None
        self.task: asyncio.Task | None = None
        # Replies that are still expected, and those received so far.
        self.expected_replies = 0
        self.replies: list[statements.Reply] = []

    def start(self, service: str, target: messages.Open) -> None:
        """Connect, and read until the connection ends."""
        self.service, self.upstream = service, target.upstream
        self.task = asyncio.create_task(self._run_safely(service, target))

    def close(self) -> None:
        """Close the connection without reporting it."""
        if self.task is not None:
            self.task.cancel()
        if self.stream is not None:
            self.stream.close()

    def send(self, commands: tuple[statements.Command, ...]) -> None:
        """Send commands in one write."""
        self.expected_replies = len(commands)
        self.replies = []
        try:
            # The reader detects later failures, as it ends with the stream.
            self.stream.write(self.codec.encode(commands))
        except (iostream.StreamClosedError, ValueError) as error:
            if isinstance(error, ValueError):
                self._report_refused_line(error)
            asyncio.get_running_loop().call_soon(
                self._report_closed, Reason.CONNECTION_LOST
            )

    async def _run_safely(self, service: str, target: messages.Open) -> None:
        """Report the end of the connection also after an unexpected error.

        The group would wait for the replies of this connection for good.
        """
        try:
            await self._run(service, target)
        except Exception as error:
            self.log.report_failure('upstream_link', error)
            self._report_closed(Reason.CONNECTION_LOST)

    async def _run(self, service: str, target: messages.Open) -> None:
        try:
            hello = self.codec.hello(
                service, target.organisation, target.upstream
            )
        except ValueError as error:
            self._report_refused_line(error)
            self._report_closed(Reason.CONNECTION_LOST)
            return
        try:
            answer = await self._connect(target, hello)
        except (OSError, iostream.StreamClosedError):
            self._report_closed(Reason.CONNECTION_LOST)
            return
        except ValueError as error:
            self._report_bad_reply(error)
            self._report_closed(Reason.CONNECTION_LOST)
            return
        if isinstance(answer, statements.Reply):
            self._report_refused(answer)
            return
        self.on_message(messages.Opened(self.number, answer))
        await self._read_forever()

    async def _connect(self, target: messages.Open, hello: bytes):
        """Return the upstream's log position, or the reply that refuses."""
        endpoint = settings.endpoint(target.address)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        dialling.enable_keepalive(sock)
        self.stream = iostream.IOStream(sock)
        await self.stream.connect((endpoint.host, endpoint.port))
        await self.stream.write(hello)
        while True:
            data = await self.stream.read_bytes(READ_BYTES, partial=True)
            replies = self.reader.feed(data)
            if not replies:
                continue
            if len(replies) > 1 or self.reader.is_inside_reply():
                raise ValueError('a reply to nothing')
            (reply,) = replies
            return reply if reply.code is not None else reply.place

    def _report_refused(self, reply: statements.Reply) -> None:
        self.stream.close()
        reason = _DIAL_REASONS.get(reply.code, Reason.CONNECTION_LOST)
        self.on_message(messages.Closed(self.number, reason, reply.code))

    async def _read_forever(self) -> None:
        try:
            while True:
                data = await self.stream.read_bytes(READ_BYTES, partial=True)
                self._handle_replies(self.reader.feed(data))
        except (OSError, iostream.StreamClosedError):
            self._report_closed(Reason.CONNECTION_LOST)
        except ValueError as error:
            self._report_bad_reply(error)
            self._report_closed(Reason.CONNECTION_LOST)

    def _handle_replies(self, replies: list[statements.Reply]) -> None:
        # Once the last expected reply is reported, the next commands are sent,
        # and a reply beyond it would be taken for theirs.
        surplus = len(replies) - self.expected_replies
        if surplus > 0 or (surplus == 0 and self.reader.is_inside_reply()):
            raise ValueError('a reply to nothing')
        self.replies += replies
        self.expected_replies -= len(replies)
        if replies and self.expected_replies == 0:
            self.on_message(messages.Replied(self.number, tuple(self.replies)))

    def _report_refused_line(self, error: ValueError) -> None:
        self.log.count(REFUSED_LINE)
        self._log('line refused', {'fault': str(error)})

    def _report_bad_reply(self, error: ValueError) -> None:
        self.log.count(BAD_REPLY)
        self._log('bad reply', supervision.describe(error))

    def _log(self, event: str, inputs: dict[str, object]) -> None:
        inputs = {'upstream': self.upstream, **inputs}
        self.log.emit('upstream', event, service=self.service, inputs=inputs)

    def _report_closed(self, reason: outcomes.Reason) -> None:
        if self.stream is not None:
            self.stream.close()
        replies = tuple(self.replies) if self.expected_replies else ()
        self.on_message(messages.Closed(self.number, reason, None, replies))
