"""Configure sockets to detect unreachable peers within seconds."""

import socket

from tornado import iostream
from tornado import tcpclient

__all__ = ['KeepaliveClient', 'enable_keepalive']

# A peer that lost power sends nothing, and neither does a connection whose
# state a middlebox has dropped. Without these options the kernel detects
# that only after about 15 minutes. Probes cost one packet per second on each
# idle connection.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 2500


def enable_keepalive(sock: socket.socket) -> None:
    """Make the kernel close the connection if its peer is unreachable."""
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
    """Open connections with keepalive probes for tornado's HTTP client."""

    async def connect(self, *args, **kwargs):
        """Return a connected stream with keepalive probes enabled.

        Raises StreamClosedError if the peer has closed it already.
        """
        stream = await super().connect(*args, **kwargs)
        if stream.closed():
            raise iostream.StreamClosedError()
        enable_keepalive(stream.socket)
        return stream
