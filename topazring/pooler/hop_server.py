"""Serve the requests that other proxies send."""

import asyncio
import dataclasses
import typing

from tornado import iostream
from tornado import tcpserver

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.plumbing import clock
from topazring.plumbing import dialling
from topazring.plumbing import events
from topazring.plumbing import framing
from topazring.pooler import hop_frames
from topazring.pooler import settings

__all__ = ['Host', 'Server']


# Of what is wrong with a frame so many characters are told.
MAX_ERROR_CHARS = 200


class Host(typing.Protocol):
    """Say what serves the requests that come from other proxies."""

    log: events.EventLog

    async def serve_for_peer(
        self, request: messages.Request
    ) -> outcomes.Outcome:
        """Serve another proxy's request, without asking a third."""

    def withdraw_locally(self, service: str, transaction: int) -> None:
        """Undo a transaction that was begun here."""

    def queued_locally(self, service: str) -> int:
        """Return how many requests wait here for a service."""

    def next_key(self) -> int:
        """Return a number that this process has not used."""


class Server(tcpserver.TCPServer):
    """Serve the requests of other proxies."""

    def __init__(self, host: Host):
        super().__init__()
        self.host = host
        self.peer_streams: dict[iostream.IOStream, _PeerStream] = {}

    def start_at(self, address: str) -> None:
        """Listen."""
        target = settings.endpoint(address)
        self.listen(target.port, target.host)

    def close(self) -> None:
        """Stop listening and end all streams."""
        self.stop()
        for stream in list(self.peer_streams):
            stream.close()

    def is_busy(self) -> bool:
        """Say whether anything of another proxy is under way or open."""
        return any(
            entry.tasks or entry.transactions
            for entry in self.peer_streams.values()
        )

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple
    ) -> None:
        """Serve one proxy until its stream ends; undo what it left open."""
        dialling.enable_keepalive(stream.socket)
        entry = _PeerStream(self.host, stream)
        self.peer_streams[stream] = entry
        reader = framing.FrameReader(stream)
        try:
            while True:
                entry.handle_frame(await hop_frames.read(reader))
        except ValueError as error:
            # Another version, or no proxy at all.
            self.host.log.emit(
                'hop',
                'bad frame',
                inputs={'error': str(error)[:MAX_ERROR_CHARS]},
            )
        except (OSError, iostream.StreamClosedError):
            # It left, which it knows; what it had open is undone.
            pass
        finally:
            del self.peer_streams[stream]
            entry.undo()
            stream.close()


class _PeerStream:
    """Hold what one other proxy has under way here."""

    def __init__(self, host: Host, stream: iostream.IOStream):
        self.host = host
        self.stream = stream
        # The entry's number of a transaction to ours and its service.
        self.transactions: dict[int, tuple[int, str]] = {}
        self.tasks: set[asyncio.Task] = set()

    def handle_frame(self, frame: hop_frames.Frame) -> None:
        """Take in one frame."""
        match frame:
            case hop_frames.RequestFrame():
                request = self._adopt(frame)
                task = asyncio.create_task(self._serve(frame, request))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            case hop_frames.WithdrawFrame():
                self._withdraw(frame.transaction)
            case framing.Ping():
                hop_frames.write(self.stream, framing.Pong())
            case _:
                raise ValueError('no question')

    async def _serve(
        self, ask: hop_frames.RequestFrame, request: messages.Request
    ) -> None:
        outcome = await self.host.serve_for_peer(request)
        theirs = ask.request.transaction
        ends = request.statement.verb.ends_transaction
        if theirs and (ends or not isinstance(outcome, outcomes.Done)):
            self.transactions.pop(theirs, None)
        if self.stream.closed():
            if theirs:
                # It may have ended before the request was taken in: what that
                # began was not there yet to be undone.
                service = request.policy.service
                self.host.withdraw_locally(service, request.transaction)
            return
        told = hop_frames.to_answer_frame(ask.id, outcome)
        told.waiting = self.host.queued_locally(request.policy.service)
        hop_frames.write(self.stream, told)

    def _adopt(self, ask: hop_frames.RequestFrame) -> messages.Request:
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
            arrived_ms=clock.boottime_ms(),
            transaction=transaction,
        )

    def _withdraw(self, theirs: int) -> None:
        known = self.transactions.pop(theirs, None)
        if known is not None:
            self.host.withdraw_locally(known[1], known[0])

    def undo(self) -> None:
        """Undo all that its end leaves open."""
        for theirs in list(self.transactions):
            self._withdraw(theirs)
