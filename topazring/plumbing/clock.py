"""Tell the time of one process."""

import time

__all__ = ['monotonic_ms', 'wall_ms']


def monotonic_ms() -> int:
    """Return milliseconds that never go back, for durations."""
    return time.monotonic_ns() // 1_000_000


def wall_ms() -> int:
    """Return milliseconds since 1970, for ids that others judge."""
    return time.time_ns() // 1_000_000
