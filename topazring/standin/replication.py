"""Send the log of a primary to its replicas, and receive it as a replica."""

import asyncio
import contextlib
import time

import msgspec
from tornado import websocket

from topazring.core import log_positions
from topazring.plumbing import logs as part_logs
from topazring.standin import log as logs
from topazring.standin import settings

__all__ = ['Acknowledge', 'Append', 'Receiver', 'Sender']

logger = part_logs.part_logger('replication')

HEARTBEAT_INTERVAL_S = 0.1
RECONNECT_DELAY_S = 0.1
# A replica acknowledges each message on receipt; without an acknowledgement
# for this long, the connection is taken as dead.
REPLICA_TIMEOUT_S = 1.0
MAX_BATCH_ENTRIES = 256


class Append(msgspec.Struct):
    """Carry entries from the primary of a term; a heartbeat has none."""

    term: int
    leader: str
    after: tuple[int, int]
    entries: list[logs.Entry] = []


class Acknowledge(msgspec.Struct):
    """Report the end of the replica's log and whether the entries fitted."""

    accepted_term: int
    position: int
    fits: bool
    # The position of the `after` that did not fit.
    after: int = 0


encode = msgspec.json.Encoder().encode
decode_append = msgspec.json.Decoder(Append).decode
decode_acknowledge = msgspec.json.Decoder(Acknowledge).decode


class Sender:
    """Send the log to one replica while this upstream is primary."""

    def __init__(self, log: logs.Log, peer: settings.PeerSettings):
        self.log = log
        self.peer = peer
        self.changed = asyncio.Event()
        self.next_position = 1
        self.task: asyncio.Task | None = None
        self.last_received_at = 0.0
        self.on_higher_term = None

    def start(self) -> None:
        """Start connecting and sending."""
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop sending."""
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task

    async def _run(self) -> None:
        url = f'ws://{self.peer.host}:{self.peer.port}/replicate'
        while True:
            if not self.log.leads:
                await asyncio.sleep(0.01)
                continue
            try:
                socket = await websocket.websocket_connect(
                    url, connect_timeout=1.0
                )
            except Exception:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            await self._serve(socket)
            socket.close()

    async def _serve(self, socket) -> None:
        self.next_position = len(self.log.entries) + 1
        self.last_received_at = time.monotonic()
        reader = asyncio.create_task(self._read(socket))
        try:
            while self.log.leads and not reader.done():
                if (
                    time.monotonic() - self.last_received_at
                    > REPLICA_TIMEOUT_S
                ):
                    return
                await self._send(socket)
                self.changed.clear()
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(
                        self.changed.wait(), HEARTBEAT_INTERVAL_S
                    )
        except websocket.WebSocketClosedError:
            # `_run` reconnects; the entries that the replica lacks are
            # sent on the new connection.
            logger.info('replica closed the connection')
        finally:
            reader.cancel()

    async def _send(self, socket) -> None:
        entries = self.log.entries
        start = min(self.next_position, len(entries) + 1)
        batch = entries[start - 1 : start - 1 + MAX_BATCH_ENTRIES]
        previous_term = entries[start - 2].log_term if start > 1 else 0
        message = Append(
            self.log.accepted_term,
            self.log.name,
            (previous_term, start - 1),
            batch,
        )
        await socket.write_message(encode(message))
        self.next_position = start + len(batch)
        if self.next_position <= len(entries):
            self.changed.set()

    async def _read(self, socket) -> None:
        while True:
            raw = await socket.read_message()
            if raw is None:
                return
            self.last_received_at = time.monotonic()
            reply = decode_acknowledge(raw)
            if reply.accepted_term > self.log.accepted_term:
                self.on_higher_term(reply.accepted_term)
                return
            if not reply.fits:
                # Go back from the refused position, not from next_position,
                # which later batches have advanced: the same position would
                # be tried for ever.
                retry_from = min(reply.after, reply.position + 1)
                self.next_position = max(1, retry_from)
                self.changed.set()


class Receiver:
    """Apply the primary's entries after a configured lag."""

    def __init__(self, log: logs.Log, on_extended):
        self.log = log
        self.lag_ms = 0.0
        self.last_received_at = time.monotonic()
        self.on_extended = on_extended

    def receive(self, raw: bytes) -> tuple[float, Append, Acknowledge]:
        """Record and decode a received message.

        Returns the monotonic time at which to apply it, in seconds, the
        message and its acknowledgement.
        """
        message = decode_append(raw)
        if message.term >= self.log.accepted_term:
            self.last_received_at = time.monotonic()
        due_at = time.monotonic()
        if message.entries:
            due_at += self.lag_ms / 1000
        return due_at, message, self._acknowledge(True)

    def apply(self, message: Append) -> Acknowledge:
        """Append the entries of a message that is due."""
        after = log_positions.LogPosition(*message.after)
        fits, truncated_from = logs.extend(
            self.log, message.term, after, message.entries
        )
        self.on_extended(truncated_from)
        return self._acknowledge(fits, after.position)

    def primary_silent_ms(self) -> int:
        """Return the time since the last message of a primary."""
        return int((time.monotonic() - self.last_received_at) * 1000)

    def _acknowledge(self, fits: bool, after: int = 0) -> Acknowledge:
        position = len(self.log.entries)
        term = self.log.accepted_term
        return Acknowledge(term, position, fits, after)
