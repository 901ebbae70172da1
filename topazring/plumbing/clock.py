"""Read the clocks of the instance."""

import time

__all__ = ['monotonic_ms', 'boottime_ms', 'wall_ms']


def monotonic_ms() -> int:
    """Return the monotonic time in milliseconds, for durations."""
    return time.monotonic_ns() // 1_000_000


def wall_ms() -> int:
    """Return the Unix time in milliseconds.

    It is used in ids whose age other processes check.
    """
    return time.time_ns() // 1_000_000


def boottime_ms() -> int:
    """Return monotonic milliseconds that include time spent suspended.

    A clock that stops while the instance is suspended would make leases and
    samples appear too recent after it resumes.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
