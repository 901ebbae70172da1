"""Read and write length-prefixed frames on a stream between proxies."""

import struct

import msgspec
from tornado import iostream

__all__ = [
    'FrameReader',
    'FrameTooLongError',
    'Ping',
    'Pong',
    'check_length',
    'read_frame',
    'write_frame',
]

_LENGTH = struct.Struct('>I')
# Several times the size of a caller's largest message plus the values that
# its session has set.
MAX_FRAME_BYTES = 8_000_000
READ_CHUNK_BYTES = 65536


class FrameTooLongError(ValueError):
    """A frame that is to be sent is longer than a receiver accepts."""


class Ping(msgspec.Struct, array_like=True, tag='p'):
    """Request a Pong to check that the peer is alive."""


class Pong(msgspec.Struct, array_like=True, tag='o'):
    """Answer a Ping."""


def check_length(length_bytes: int) -> None:
    """Raise FrameTooLongError if a body is longer than a receiver accepts.

    A receiver closes the stream, and all that is pending on it is lost.
    """
    if length_bytes > MAX_FRAME_BYTES:
        raise FrameTooLongError('the frame is too long')


async def read_frame(stream: iostream.IOStream) -> bytes:
    """Return the next frame's body; raise ValueError if it is too long."""
    (length,) = _LENGTH.unpack(await stream.read_bytes(_LENGTH.size))
    if length > MAX_FRAME_BYTES:
        raise ValueError('the frame is too long')
    return await stream.read_bytes(length)


class FrameReader:
    """Read frames from a stream through a buffer.

    One wait can return several frames; reading the length and then the body
    from the stream would cost two waits per frame.
    """

    def __init__(self, stream: iostream.IOStream):
        self.stream = stream
        self.buffer = bytearray()
        # Offset of the first byte that has not been returned yet.
        self.offset = 0

    async def read(self) -> bytes:
        """Return the next frame's body; raise ValueError if it is too long."""
        while True:
            body = self._next_buffered()
            if body is not None:
                return body
            self.buffer += await self.stream.read_bytes(
                READ_CHUNK_BYTES, partial=True
            )

    def _next_buffered(self) -> bytes | None:
        """Return the next frame's body, or None if it is incomplete."""
        body_start = self.offset + _LENGTH.size
        if len(self.buffer) >= body_start:
            (length,) = _LENGTH.unpack_from(self.buffer, self.offset)
            if length > MAX_FRAME_BYTES:
                raise ValueError('the frame is too long')
            end = body_start + length
            if len(self.buffer) >= end:
                self.offset = end
                return bytes(self.buffer[body_start:end])
        del self.buffer[: self.offset]
        self.offset = 0
        return None


def write_frame(stream: iostream.IOStream, body: bytes) -> bool:
    """Send a frame; return False if the stream is closed.

    Later write errors close the stream, which its reader detects.
    """
    try:
        stream.write(_LENGTH.pack(len(body)) + body)
    except iostream.StreamClosedError:
        return False
    return True
