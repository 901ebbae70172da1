"""Tell refused callers when to return.

Callers that are refused in one moment and return in one moment meet the same
queue again. Their returns are spread evenly, from when there is room until a
caller can no longer use its answer. Multiples of the golden ratio, modulo 1,
are evenly spread at any count (Kronecker sequence), so no return depends on
how many refusals will follow.
"""

import dataclasses

__all__ = ['MIN_RETRY_MS', 'ReturnSchedule', 'spread']

# A caller that retries sooner finds the queue unchanged.
MIN_RETRY_MS = 20
GOLDEN_RATIO = 0.618034
# Without a useful time the returns are spread over as long again as it takes
# until there is room.
SPREAD_FACTOR = 2.0


@dataclasses.dataclass(slots=True)
class ReturnSchedule:
    """Hold the number of returns that were promised."""

    promised: int = 0


def spread(
    schedule: ReturnSchedule,
    room_ms: float,
    useful_ms: float,
    latest_ms: float,
) -> int:
    """Return after how many milliseconds a refused caller may return.

    There is room from `room_ms` on. A caller that returns by `useful_ms` can
    still be served within its goal, and by `latest_ms` within its timeout.
    All are counted from now.
    """
    schedule.promised += 1
    earliest_ms = max(MIN_RETRY_MS, room_ms)
    end_ms = max(useful_ms, earliest_ms * SPREAD_FACTOR)
    end_ms = min(end_ms, latest_ms)
    earliest_ms = min(earliest_ms, end_ms / 2)
    fraction = schedule.promised * GOLDEN_RATIO % 1.0
    return max(1, int(earliest_ms + fraction * (end_ms - earliest_ms)))
