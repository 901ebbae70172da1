"""Tell the time of one process."""

import time

__all__ = ['monotonic_ms', 'boottime_ms', 'wall_ms']


def monotonic_ms() -> int:
    """Return milliseconds that never go back, for durations."""
    return time.monotonic_ns() // 1_000_000


def wall_ms() -> int:
    """Return milliseconds since 1970, for ids that others judge."""
    return time.time_ns() // 1_000_000


def boottime_ms() -> int:
    """Return milliseconds that go on while the instance is suspended.

    A lease or an age that is measured by a clock that stands still with the
    instance looks young after it wakes.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
