"""Tell refused callers when to return.

Callers that are refused in one moment and return in one moment meet the same
queue again. Their returns are spread evenly, from when there is room.
Multiples of the golden ratio, modulo 1, are evenly spread at any count
(Kronecker sequence), so no return depends on how many refusals will follow.

A caller that returns much later than there is room has lost its latency goal,
and takes the place of one that can still meet its own. The returns are
therefore spread over a time in proportion to that until there is room.
"""

import dataclasses

__all__ = ['MIN_RETRY_MS', 'ReturnSchedule', 'spread']

# A caller that retries sooner finds the queue unchanged.
MIN_RETRY_MS = 20
GOLDEN_RATIO = 0.618034
SPREAD_SHARE = 0.5
# A few statements of 10 to 20 ms end in this time.
MIN_SPREAD_MS = 50


@dataclasses.dataclass(slots=True)
class ReturnSchedule:
    """Hold the number of returns that were promised."""

    promised: int = 0


def spread(schedule: ReturnSchedule, room_ms: float, latest_ms: float) -> int:
    """Return after how many milliseconds a refused caller may return.

    There is room from `room_ms` on, and a caller that returns by `latest_ms`
    can still be served within its timeout. Both are counted from now.
    """
    schedule.promised += 1
    earliest_ms = max(MIN_RETRY_MS, room_ms)
    width_ms = max(MIN_SPREAD_MS, earliest_ms * SPREAD_SHARE)
    end_ms = min(earliest_ms + width_ms, latest_ms)
    if earliest_ms >= end_ms:
        earliest_ms = end_ms / 2
    fraction = schedule.promised * GOLDEN_RATIO % 1.0
    return max(1, int(earliest_ms + fraction * (end_ms - earliest_ms)))
