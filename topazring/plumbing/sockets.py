"""Write to WebSockets whose peer may have disconnected."""

from tornado import websocket

__all__ = ['write_if_open']


def write_if_open(socket, raw: str | bytes, binary: bool = False) -> bool:
    """Write a frame; return False if the socket is known to be closed.

    A write can also fail later. Code that waits for an answer detects that
    when the socket closes, so the error is not logged as well.
    """
    try:
        written = socket.write_message(raw, binary)
    except websocket.WebSocketClosedError:
        return False
    written.add_done_callback(_retrieve_error)
    return True


def _retrieve_error(written) -> None:
    if not written.cancelled():
        written.exception()
