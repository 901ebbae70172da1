"""Find ports for the processes and servers of a test."""

import random
import socket

__all__ = ['free', 'free_many']

# Below the ports that the system gives to outgoing connections; one of those
# could take a port before its process starts.
PORTS = (10_000, 32_000)

_given: set[int] = set()


def free() -> int:
    """Return a port that nobody listens on, another one each time."""
    while True:
        port = random.randrange(*PORTS)
        if port in _given:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        _given.add(port)
        return port


def free_many(count: int) -> list[int]:
    """Return ports that nobody listens on."""
    return [free() for _ in range(count)]
