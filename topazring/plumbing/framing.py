"""Send length-prefixed frames over a stream between two proxies."""

import struct

import msgspec
from tornado import iostream

__all__ = ['Ping', 'Pong', 'FrameReader', 'read_frame', 'write_frame']

_LENGTH = struct.Struct('>I')
# A caller's message and what its session set, several times over.
MAX_FRAME_BYTES = 8_000_000
READ_CHUNK_BYTES = 65536


class Ping(msgspec.Struct, array_like=True, tag='p'):
    """Ask for a sign of life."""


class Pong(msgspec.Struct, array_like=True, tag='o'):
    """Give a sign of life."""


async def read_frame(stream: iostream.IOStream) -> bytes:
    """Return the next frame's body; ValueError if it is too long."""
    (length,) = _LENGTH.unpack(await stream.read_bytes(_LENGTH.size))
    if length > MAX_FRAME_BYTES:
        raise ValueError('the frame is too long')
    return await stream.read_bytes(length)


class FrameReader:
    """Read a stream's frames, as many as come at once in one go.

    Waiting for a length and then for a body would cost two waits a frame.
    """

    def __init__(self, stream: iostream.IOStream):
        self.stream = stream
        self.buffer = bytearray()
        # How much of it was returned already.
        self.taken = 0

    async def read(self) -> bytes:
        """Return the next frame's body; ValueError if it is too long."""
        while True:
            body = self._cut()
            if body is not None:
                return body
            self.buffer += await self.stream.read_bytes(
                READ_CHUNK_BYTES, partial=True
            )

    def _cut(self) -> bytes | None:
        """Return the next frame's body, None if it is not whole yet."""
        begin = self.taken + _LENGTH.size
        if len(self.buffer) >= begin:
            (length,) = _LENGTH.unpack_from(self.buffer, self.taken)
            if length > MAX_FRAME_BYTES:
                raise ValueError('the frame is too long')
            end = begin + length
            if len(self.buffer) >= end:
                self.taken = end
                return bytes(self.buffer[begin:end])
        del self.buffer[: self.taken]
        self.taken = 0
        return None


def write_frame(stream: iostream.IOStream, body: bytes) -> bool:
    """Send a frame; False if the stream is closed.

    What fails later is seen by whoever reads from the stream.
    """
    try:
        stream.write(_LENGTH.pack(len(body)) + body)
    except iostream.StreamClosedError:
        return False
    return True
