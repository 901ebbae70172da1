"""Serve the requests that other proxies send."""

import asyncio
import collections.abc
import dataclasses
import typing

from tornado import iostream
from tornado import tcpserver

from topazring.core import outcomes
from topazring.core.synchronous import forwarding
from topazring.core.synchronous import messages
from topazring.core.synchronous import prepared_names
from topazring.plumbing import clock
from topazring.plumbing import dialling
from topazring.plumbing import events
from topazring.plumbing import framing
from topazring.pooler import hop_frames
from topazring.pooler import settings

__all__ = ['Host', 'Server']


# Errors about bad frames are cut to this length in log lines.
MAX_ERROR_CHARS = 200


class Host(typing.Protocol):
    """Interface of the process that serves other proxies' requests."""

    log: events.EventLog

    async def serve_for_peer(
        self, request: messages.Request
    ) -> outcomes.Outcome:
        """Serve another proxy's request, without forwarding it again."""

    def withdraw_locally(self, service: str, transaction: int) -> None:
        """Abort a transaction that was begun in this process."""

    def queued_locally(self, service: str) -> int:
        """Return how many requests are queued here for a service."""

    def next_key(self) -> int:
        """Return a number that is unique in this process."""

    async def grant_permits(
        self, organisation: str, wanted: int
    ) -> tuple[int, int]:
        """Return the permits granted and, if none, when one is due, in ms."""

    def confirm_limiter(
        self, frame: hop_frames.ContactFrame
    ) -> dict[str, float]:
        """Return the organisations that this proxy keeps, with tokens."""


class Server(tcpserver.TCPServer):
    """Accept the streams of other proxies."""

    def __init__(self, host: Host):
        super().__init__()
        self.host = host
        self.peer_streams: dict[iostream.IOStream, _PeerStream] = {}

    def start_at(self, address: str) -> None:
        """Listen on an address."""
        target = settings.endpoint(address)
        self.listen(target.port, target.host)

    def close(self) -> None:
        """Stop listening and close all streams."""
        self.stop()
        for stream in list(self.peer_streams):
            stream.close()

    def is_busy(self) -> bool:
        """Return whether any peer has requests or transactions here."""
        return any(
            peer_stream.tasks or peer_stream.transactions
            for peer_stream in self.peer_streams.values()
        )

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple
    ) -> None:
        """Serve one proxy until its stream ends; abort its transactions."""
        dialling.enable_keepalive(stream.socket)
        peer_stream = _PeerStream(self.host, stream)
        self.peer_streams[stream] = peer_stream
        reader = framing.FrameReader(stream)
        try:
            while True:
                peer_stream.handle_frame(await hop_frames.read(reader))
        except ValueError as error:
            # A proxy of another version, or no proxy.
            self.host.log.emit(
                'hop',
                'bad frame',
                inputs={'error': str(error)[:MAX_ERROR_CHARS]},
            )
        except (OSError, iostream.StreamClosedError):
            # The peer closed the stream; its transactions are aborted below.
            pass
        finally:
            del self.peer_streams[stream]
            peer_stream.withdraw_all()
            stream.close()


class _PeerStream:
    """Requests and transactions of one other proxy in this process."""

    def __init__(self, host: Host, stream: iostream.IOStream):
        self.host = host
        self.stream = stream
        # The peer's transaction number to the local number and the service.
        self.transactions: dict[int, tuple[int, str]] = {}
        self.tasks: set[asyncio.Task] = set()

    def handle_frame(self, frame: hop_frames.Frame) -> None:
        """Handle one frame."""
        match frame:
            case hop_frames.RequestFrame():
                request = self._localise(frame)
                self._spawn(self._serve(frame, request))
            case hop_frames.WithdrawFrame():
                self._withdraw(frame.transaction)
            case hop_frames.PermitFrame():
                self._spawn(self._grant(frame))
            case hop_frames.ContactFrame():
                confirmed = self.host.confirm_limiter(frame)
                answer = hop_frames.ConfirmFrame(
                    frame.id, list(confirmed), list(confirmed.values())
                )
                hop_frames.write(self.stream, answer)
            case framing.Ping():
                hop_frames.write(self.stream, framing.Pong())
            case _:
                raise ValueError('no question')

    def _spawn(self, coroutine: collections.abc.Coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _grant(self, frame: hop_frames.PermitFrame) -> None:
        granted, wait_ms = await self.host.grant_permits(
            frame.organisation, frame.wanted
        )
        answer = hop_frames.GrantFrame(frame.id, granted, wait_ms)
        if not self.stream.closed():
            hop_frames.write(self.stream, answer)

    async def _serve(
        self, frame: hop_frames.RequestFrame, request: messages.Request
    ) -> None:
        outcome = await self.host.serve_for_peer(request)
        peer_transaction = frame.request.transaction
        ends = request.statement.verb.ends_transaction
        if peer_transaction and (
            ends or not isinstance(outcome, outcomes.Done)
        ):
            self.transactions.pop(peer_transaction, None)
        if self.stream.closed():
            if peer_transaction:
                # The stream may have ended before the transaction began, and
                # withdraw_all() did not find anything to abort yet.
                service = request.policy.service
                self.host.withdraw_locally(service, request.transaction)
            return
        try:
            self._answer(frame, request, outcome)
        except framing.FrameTooLongError:
            hop_frames.report_too_long(self.host.log, 'answer', request)
            if peer_transaction and not ends:
                self._withdraw(peer_transaction)
            outcome = forwarding.unreturned_outcome(request)
            self._answer(frame, request, outcome)

    def _answer(
        self,
        frame: hop_frames.RequestFrame,
        request: messages.Request,
        outcome: outcomes.Outcome,
    ) -> None:
        answer = hop_frames.to_answer_frame(frame.id, outcome)
        answer.waiting = self.host.queued_locally(request.policy.service)
        hop_frames.write(self.stream, answer)

    def _localise(self, frame: hop_frames.RequestFrame) -> messages.Request:
        """Return the request with this process's keys and times.

        Its age, and the leadership proof that it needs, count from its
        arrival here, which is later than its arrival at the sending proxy: it
        may read newer data than it has to.
        """
        peer_transaction = frame.request.transaction
        transaction = 0
        if peer_transaction:
            service = frame.request.policy.service
            own = self.transactions.get(peer_transaction)
            transaction = own[0] if own else self.host.next_key()
            self.transactions[peer_transaction] = (transaction, service)
        policy = dataclasses.replace(
            frame.request.policy, timeout_ms=max(0, frame.left_ms)
        )
        prepared = frame.request.prepared
        if prepared is not None:
            # Another build may choose names that stand for several shapes.
            prepared = prepared_names.prepare_command(
                prepared.access, prepared.shape
            )
        return dataclasses.replace(
            frame.request,
            key=self.host.next_key(),
            policy=policy,
            arrived_ms=clock.boottime_ms(),
            transaction=transaction,
            prepared=prepared,
        )

    def _withdraw(self, peer_transaction: int) -> None:
        own = self.transactions.pop(peer_transaction, None)
        if own is not None:
            self.host.withdraw_locally(own[1], own[0])

    def withdraw_all(self) -> None:
        """Abort all transactions that the peer left open."""
        for peer_transaction in list(self.transactions):
            self._withdraw(peer_transaction)
