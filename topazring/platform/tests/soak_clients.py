"""Find the process that has opened a connection on this machine."""

import contextlib
import os
import socket
import struct

HOST = socket.inet_aton('127.0.0.1')
# See sock_diag(7) and linux/inet_diag.h. /proc/net/tcp has the same, but is
# read as a whole, with thousands of connections that have ended.
SOCK_DIAG_PROTOCOL = 4
SOCK_DIAG_BY_FAMILY = 20
REQUEST_FLAG = 1
ALL_STATES = 0xFFFFFFFF
NO_COOKIE = (0xFFFFFFFF, 0xFFFFFFFF)
HEADER = '=IHHII'
# The inode is the last field of inet_diag_msg.
INODE_OFFSET = struct.calcsize(HEADER) + 68
MAX_ANSWER_BYTES = 4096


def names_by_inode(process_ids: dict[str, int]) -> dict[int, str]:
    """Return the names of processes by the inodes of their sockets."""
    return {
        inode: name
        for name, process_id in process_ids.items()
        for inode in _socket_inodes(process_id)
    }


def _socket_inodes(process_id: int) -> list[int]:
    inodes = []
    # It may exit or close some of them meanwhile.
    with contextlib.suppress(OSError):
        for entry in os.scandir(f'/proc/{process_id}/fd'):
            with contextlib.suppress(FileNotFoundError):
                kind, _, inode = os.readlink(entry.path).partition(':')
                if kind == 'socket':
                    inodes.append(int(inode.strip('[]')))
    return inodes


def socket_inode(port: int, peer_port: int) -> int:
    """Return the inode of a connected socket, 0 if there is none."""
    address = HOST.ljust(16, b'\0')
    body = struct.pack(
        '=BBBBI', socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ALL_STATES
    )
    body += struct.pack('!HH', port, peer_port) + address + address
    body += struct.pack('=III', 0, *NO_COOKIE)
    length = struct.calcsize(HEADER) + len(body)
    header = (length, SOCK_DIAG_BY_FAMILY, REQUEST_FLAG, 0, 0)
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_DGRAM, SOCK_DIAG_PROTOCOL
    ) as diagnostics:
        diagnostics.send(struct.pack(HEADER, *header) + body)
        answer = diagnostics.recv(MAX_ANSWER_BYTES)
    kind = struct.unpack_from(HEADER, answer)[1]
    if kind != SOCK_DIAG_BY_FAMILY:
        return 0
    return struct.unpack_from('=I', answer, INODE_OFFSET)[0]
