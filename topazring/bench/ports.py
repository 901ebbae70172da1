"""Find ports for the processes and servers of a test."""

import random
import socket

__all__ = ['find_free_port', 'find_free_ports']

# Below the ports that the system gives to outgoing connections; one of those
# could take a port before its process starts.
PORT_RANGE = (10_000, 32_000)

_allocated: set[int] = set()


def find_free_port() -> int:
    """Return a port that nobody listens on, another one each time."""
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
    """Return ports that nobody listens on."""
    return [find_free_port() for _ in range(count)]
