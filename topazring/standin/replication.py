"""Send the primary's log to its replicas, and take it as a replica."""

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
# A replica answers each message at once; longer silence is a dead link.
REPLICA_TIMEOUT_S = 1.0
MAX_BATCH_ENTRIES = 256


class Append(msgspec.Struct):
    """Carry entries, or none as a heartbeat, from the primary of a term."""

    term: int
    leader: str
    after: tuple[int, int]
    entries: list[logs.Entry] = []


class Acknowledge(msgspec.Struct):
    """Say how far the replica is, or why it did not take the entries."""

    accepted_term: int
    position: int
    fits: bool
    # The position that did not fit.
    after: int = 0


encode = msgspec.json.Encoder().encode
decode_append = msgspec.json.Decoder(Append).decode
decode_acknowledge = msgspec.json.Decoder(Acknowledge).decode


class Sender:
    """Push the log to one replica for as long as this upstream leads."""

    def __init__(self, log: logs.Log, peer: settings.PeerSettings):
        self.log = log
        self.peer = peer
        self.changed = asyncio.Event()
        self.next_position = 1
        self.task: asyncio.Task | None = None
        self.last_received_at = 0.0
        self.on_higher_term = None

    def start(self) -> None:
        """Begin to connect and send."""
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
            # The replica is dialled anew; what it lacks is sent then.
            logger.info('the replica closed the link')
        finally:
            reader.cancel()

    async def _send(self, socket) -> None:
        entries = self.log.entries
        start = min(self.next_position, len(entries) + 1)
        batch = entries[start - 1 : start - 1 + MAX_BATCH_ENTRIES]
        before = entries[start - 2].log_term if start > 1 else 0
        message = Append(
            self.log.accepted_term, self.log.name, (before, start - 1), batch
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
                # Back from what was refused, not from what was sent since:
                # that would ask for the same place for ever.
                back = min(reply.after, reply.position + 1)
                self.next_position = max(1, back)
                self.changed.set()


class Receiver:
    """Take the primary's entries, late by the lag that was set."""

    def __init__(self, log: logs.Log, on_extended):
        self.log = log
        self.lag_ms = 0.0
        self.last_received_at = time.monotonic()
        self.on_extended = on_extended

    def receive(self, raw: bytes) -> tuple[float, Append, Acknowledge]:
        """Note a message's arrival; return when to apply it, and a reply."""
        message = decode_append(raw)
        if message.term >= self.log.accepted_term:
            self.last_received_at = time.monotonic()
        due = time.monotonic()
        if message.entries:
            due += self.lag_ms / 1000
        return due, message, self._acknowledge(True)

    def apply(self, message: Append) -> Acknowledge:
        """Take the entries of a message that is due."""
        after = log_positions.LogPosition(*message.after)
        fits, cut = logs.extend(self.log, message.term, after, message.entries)
        self.on_extended(cut)
        return self._acknowledge(fits, after.position)

    def primary_silent_ms(self) -> int:
        """Return how long nothing was heard of a primary."""
        return int((time.monotonic() - self.last_received_at) * 1000)

    def _acknowledge(self, fits: bool, after: int = 0) -> Acknowledge:
        position = len(self.log.entries)
        term = self.log.accepted_term
        return Acknowledge(term, position, fits, after)
