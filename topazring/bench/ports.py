"""Allocate TCP ports for the processes and servers of a test."""

import random
import socket

__all__ = ['find_free_port', 'find_free_ports']

# Below the ephemeral port range: an outgoing connection could otherwise occupy
# a port before the process meant for it starts.
PORT_RANGE = (10_000, 32_000)

_allocated: set[int] = set()


def find_free_port() -> int:
    """Return an unused port, a different one at each call."""
    while True:
        port = random.randrange(*PORT_RANGE)
        if port in _allocated:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        _allocated.add(port)
        return port


def find_free_ports(count: int) -> list[int]:
    """Return `count` different unused ports."""
    return [find_free_port() for _ in range(count)]
