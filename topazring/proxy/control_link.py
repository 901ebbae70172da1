"""Control connection to one upstream: status, fence and lead requests."""

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

# A connection is closed once a request that is answered without waiting has
# had no reply for this long.
REPLY_TIMEOUT_MS = 250
CONNECT_TIMEOUT_S = 0.3
RECONNECT_DELAY_MS = 50
MAX_RECONNECT_DELAY_MS = 1000


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request that was sent and has no reply yet."""

    message: object
    sent_ms: int
    is_immediate: bool


class ControlLink:
    """Maintain one control connection; replace it when replies stop.

    An established connection can stop carrying data for good while new ones
    work. So a timeout first leads to a new connection; only a timeout there
    is reported as a fault of the upstream.
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
        self.pending: dict[int, PendingRequest] = {}
        self.next_id = 1
        self.sent_bytes = 0
        self.received_bytes = 0
        self.is_closed = False
        self.has_replied = False
        self.failures = 0
        self.retry_ms = 0
        self.connect_task: asyncio.Task | None = None

    def close(self) -> None:
        """Close the connection and open no further one."""
        self.is_closed = True
        if self.connect_task is not None:
            self.connect_task.cancel()
        self._abort_connection()

    def send(self, message: object, now_ms: int) -> None:
        """Send a request, or drop it if there is no connection.

        The core is notified when the next connection opens, and repeats it.
        """
        if self.socket is None:
            self.tick(now_ms)
            return
        request = self._encode(message)
        is_immediate = not request.wait_ms
        self.pending[request.id] = PendingRequest(
            message, now_ms, is_immediate
        )
        raw = wire.encode_control(request)
        self.sent_bytes += len(raw)
        sockets.write_if_open(self.socket, raw, True)

    def _encode(self, message: object) -> wire.ControlAsk:
        request_id = self.next_id
        self.next_id += 1
        match message:
            case messages.RequestStatus(
                term=term, place=place, wait_ms=wait_ms
            ):
                return wire.ControlAsk(
                    request_id,
                    's',
                    term,
                    log_term=place.log_term,
                    position=place.position,
                    wait_ms=wait_ms,
                )
            case messages.Fence(term=term):
                return wire.ControlAsk(
                    request_id, 'fence', term, claimant=self.claimant
                )
            case messages.Lead(term=term):
                return wire.ControlAsk(
                    request_id, 'lead', term, claimant=self.claimant
                )
        raise TypeError(f'not a control message: {message}')

    def tick(self, now_ms: int) -> None:
        """Close a connection that timed out; open one if there is none."""
        for pending in self.pending.values():
            if (
                pending.is_immediate
                and now_ms - pending.sent_ms > REPLY_TIMEOUT_MS
            ):
                kind = 'silent' if self.has_replied else 'silent_new'
                self._handle_loss(kind)
                break
        if self.is_closed:
            return
        if self.socket is None and self.connect_task is None:
            if now_ms >= self.retry_ms:
                self.connect_task = asyncio.create_task(self._open())

    async def _open(self) -> None:
        try:
            socket = await asyncio.wait_for(
                websocket.websocket_connect(
                    self.url, on_message_callback=self._handle_reply
                ),
                CONNECT_TIMEOUT_S,
            )
        except (asyncio.TimeoutError, TimeoutError):
            self._handle_connect_failure('silent_new')
            return
        except Exception:
            # Refused, reset or answered with an error: either the host
            # rejects the connection, or nothing listens on the port.
            self._handle_connect_failure('refused')
            return
        finally:
            self.connect_task = None
        self.socket = socket
        self.has_replied = False
        now_ms = clock.monotonic_ms()
        probe = messages.RequestStatus(
            self.name, 0, 0, log_positions.ORIGIN, 0
        )
        self.send(probe, now_ms)
        self.post(messages.LinkOpened(self.name))

    def _handle_connect_failure(self, kind: str) -> None:
        self.failures += 1
        delay_ms = RECONNECT_DELAY_MS * 2 ** min(self.failures, 5)
        self.retry_ms = clock.monotonic_ms() + min(
            delay_ms, MAX_RECONNECT_DELAY_MS
        )
        self.post(messages.ProbeFailed(self.name, kind))

    def _handle_reply(self, raw: str | None) -> None:
        if raw is None:
            if self.socket is not None:
                self._handle_loss('silent')
            return
        self.received_bytes += len(raw)
        reply = wire.decode_control_reply(raw)
        pending = self.pending.pop(reply.id, None)
        if pending is None:
            return
        self.has_replied = True
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

    def _handle_loss(self, kind: str) -> None:
        self._abort_connection()
        self.retry_ms = 0
        if kind == 'silent_new':
            self._handle_connect_failure(kind)
        else:
            self.post(messages.ProbeFailed(self.name, kind))

    def _abort_connection(self) -> None:
        socket, self.socket = self.socket, None
        self.pending.clear()
        if socket is not None:
            abort(socket)


def abort(socket: websocket.WebSocketClientConnection) -> None:
    """Close a socket without waiting for the peer's close frame."""
    socket.close()
    stream = getattr(socket, 'stream', None)
    if stream is None and socket.protocol is not None:
        stream = socket.protocol.stream
    if stream is not None:
        stream.close()
