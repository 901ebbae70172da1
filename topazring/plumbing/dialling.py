"""Set sockets up so that a peer that vanished is noticed in seconds."""

import socket

from tornado import iostream
from tornado import tcpclient

__all__ = ['KeepaliveClient', 'enable_keepalive']

# A peer without power answers nothing, and a connection that something
# between the two ends forgot is silent for good. Without these the kernel
# waits a quarter of an hour. Probes cost a packet a second on idle
# connections.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 2500


def enable_keepalive(sock: socket.socket) -> None:
    """Have the kernel end the connection when its peer is gone."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )


class KeepaliveClient(tcpclient.TCPClient):
    """Connect for tornado's HTTP client with keep-alive probes."""

    async def connect(self, *args, **kwargs):
        """Return a stream whose peer's end is noticed.

        Raises StreamClosedError if it has ended already.
        """
        stream = await super().connect(*args, **kwargs)
        if stream.closed():
            raise iostream.StreamClosedError()
        enable_keepalive(stream.socket)
        return stream
