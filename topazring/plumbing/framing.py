"""Send length-prefixed frames over a stream between two proxies."""

import struct

import msgspec
from tornado import iostream

__all__ = ['Ping', 'Pong', 'read', 'write']

_LENGTH = struct.Struct('>I')
# A caller's message and what its session set, several times over.
MOST_FRAME_BYTES = 8_000_000


class Ping(msgspec.Struct, array_like=True, tag='p'):
    """Ask for a sign of life."""


class Pong(msgspec.Struct, array_like=True, tag='o'):
    """Give a sign of life."""


async def read(stream: iostream.IOStream) -> bytes:
    """Return the next frame's body; ValueError if it is too long."""
    (length,) = _LENGTH.unpack(await stream.read_bytes(_LENGTH.size))
    if length > MOST_FRAME_BYTES:
        raise ValueError('the frame is too long')
    return await stream.read_bytes(length)


def write(stream: iostream.IOStream, body: bytes) -> bool:
    """Send a frame; False if the stream is closed.

    What fails later is seen by whoever reads from the stream.
    """
    try:
        stream.write(_LENGTH.pack(len(body)) + body)
    except iostream.StreamClosedError:
        return False
    return True
