"""Write to WebSockets whose other end may be gone."""

from tornado import websocket

__all__ = ['write_if_open']


def write_if_open(socket, raw: str | bytes, binary: bool = False) -> bool:
    """Write a frame; False if the socket is known to be closed.

    A write can also fail later. Whoever waits for an answer finds out by
    the socket's end; the write's own error would only fill the log.
    """
    try:
        written = socket.write_message(raw, binary)
    except websocket.WebSocketClosedError:
        return False
    written.add_done_callback(_take_error)
    return True


def _take_error(written) -> None:
    if not written.cancelled():
        written.exception()
