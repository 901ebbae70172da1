"""Own the control connection to one upstream: statuses, fences, leads."""

import asyncio
import collections.abc
import dataclasses

from tornado import websocket

from topazring.core import log_positions
from topazring.core import messages
from topazring.plumbing import clock
from topazring.plumbing import sockets
from topazring import wire

__all__ = ['ControlLink', 'abort']

# A prompt ask unanswered for that long condemns the connection.
SILENT_MS = 250
CONNECT_S = 0.3
RECONNECT_MS = 50
MOST_RECONNECT_MS = 1000


@dataclasses.dataclass(slots=True)
class Pending:
    """Hold an ask that was sent."""

    message: object
    sent_ms: int
    prompt: bool


class ControlLink:
    """Keep one connection; replace it when it is silent.

    Connections can go silent for good while new ones work. So silence leads
    to a new connection first, and only silence there is reported as the
    upstream's.
    """

    def __init__(
        self,
        name: str,
        url: str,
        claimant: str,
        post: collections.abc.Callable[[object], None],
    ):
        self.name = name
        self.url = url
        self.claimant = claimant
        self.post = post
        self.socket: websocket.WebSocketClientConnection | None = None
        self.pending: dict[int, Pending] = {}
        self.next_id = 1
        self.sent_bytes = 0
        self.received_bytes = 0
        self.closed = False
        self.proven = False
        self.failures = 0
        self.retry_ms = 0
        self.opening: asyncio.Task | None = None

    def close(self) -> None:
        """Close the connection and open no other."""
        self.closed = True
        if self.opening is not None:
            self.opening.cancel()
        self._drop()

    def send(self, message: object, now_ms: int) -> None:
        """Send an ask; without a connection it is lost.

        The next connection tells that, and it is asked again.
        """
        if self.socket is None:
            self.tick(now_ms)
            return
        ask = self._encode(message)
        prompt = not ask.wait_ms
        self.pending[ask.id] = Pending(message, now_ms, prompt)
        raw = wire.encode_control(ask)
        self.sent_bytes += len(raw)
        sockets.write_if_open(self.socket, raw, True)

    def _encode(self, message: object) -> wire.ControlAsk:
        ask_id = self.next_id
        self.next_id += 1
        match message:
            case messages.RequestStatus(
                term=term, place=place, wait_ms=wait_ms
            ):
                return wire.ControlAsk(
                    ask_id,
                    's',
                    term,
                    log_term=place.log_term,
                    position=place.position,
                    wait_ms=wait_ms,
                )
            case messages.Fence(term=term):
                return wire.ControlAsk(
                    ask_id, 'fence', term, claimant=self.claimant
                )
            case messages.Lead(term=term):
                return wire.ControlAsk(
                    ask_id, 'lead', term, claimant=self.claimant
                )
        raise TypeError(f'no control message: {message}')

    def tick(self, now_ms: int) -> None:
        """Condemn a silent connection; open one if there is none."""
        for pending in self.pending.values():
            if pending.prompt and now_ms - pending.sent_ms > SILENT_MS:
                kind = 'silent' if self.proven else 'silent_new'
                self._lose(kind)
                break
        if self.closed:
            return
        if self.socket is None and self.opening is None:
            if now_ms >= self.retry_ms:
                self.opening = asyncio.create_task(self._open())

    async def _open(self) -> None:
        try:
            socket = await asyncio.wait_for(
                websocket.websocket_connect(
                    self.url, on_message_callback=self._received
                ),
                CONNECT_S,
            )
        except (asyncio.TimeoutError, TimeoutError):
            self._failed('silent_new')
            return
        except Exception:
            # Refused, reset or answered with an error: something is there
            # to say no, or nothing listens.
            self._failed('refused')
            return
        finally:
            self.opening = None
        self.socket = socket
        self.proven = False
        now_ms = clock.monotonic_ms()
        probe = messages.RequestStatus(
            self.name, 0, 0, log_positions.ORIGIN, 0
        )
        self.send(probe, now_ms)
        self.post(messages.LinkOpened(self.name))

    def _failed(self, kind: str) -> None:
        self.failures += 1
        pause_ms = RECONNECT_MS * 2 ** min(self.failures, 5)
        self.retry_ms = clock.monotonic_ms() + min(pause_ms, MOST_RECONNECT_MS)
        self.post(messages.ProbeFailed(self.name, kind))

    def _received(self, raw: str | None) -> None:
        if raw is None:
            if self.socket is not None:
                self._lose('silent')
            return
        self.received_bytes += len(raw)
        reply = wire.decode_control_reply(raw)
        pending = self.pending.pop(reply.id, None)
        if pending is None:
            return
        self.proven = True
        self.failures = 0
        status = wire.status_of(self.name, reply)
        match pending.message:
            case messages.RequestStatus(round_id=round_id):
                self.post(
                    messages.StatusReceived(status, round_id, pending.sent_ms)
                )
            case messages.Fence(term=term):
                self.post(messages.FenceReply(term, reply.accepted, status))
            case messages.Lead(term=term):
                self.post(messages.LeadReply(term, reply.accepted, status))

    def _lose(self, kind: str) -> None:
        self._drop()
        self.retry_ms = 0
        if kind == 'silent_new':
            self._failed(kind)
        else:
            self.post(messages.ProbeFailed(self.name, kind))

    def _drop(self) -> None:
        socket, self.socket = self.socket, None
        self.pending.clear()
        if socket is not None:
            abort(socket)


def abort(socket: websocket.WebSocketClientConnection) -> None:
    """Close a socket without waiting for the other side's goodbye."""
    socket.close()
    stream = getattr(socket, 'stream', None)
    if stream is None and socket.protocol is not None:
        stream = socket.protocol.stream
    if stream is not None:
        stream.close()
