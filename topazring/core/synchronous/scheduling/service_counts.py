"""Count what was served, served late and refused in the last seconds.

The counts are kept by second, database and organisation in a ring, so that
old ones need no timer. Recording one takes a microsecond; nothing is summed
until an operator asks.
"""

import collections
import dataclasses

from topazring.core import outcomes
from topazring.core.synchronous import messages

__all__ = [
    'Counts',
    'OTHERS',
    'ServiceCounts',
    'WINDOW_S',
    'is_empty',
    'record',
    'sum_up',
]

# Full seconds that are summed; the current one is added to them.
WINDOW_S = 10
# Most pairs of a database and an organisation that are told apart in each
# second. Those that ask most are among the first of a second.
MAX_PAIRS = 64
# Database and organisation under which all further pairs are counted.
OTHERS = ('*', '*')

Pair = tuple[str, str]


@dataclasses.dataclass(slots=True)
class Counts:
    """Hold counts of one database and organisation."""

    served: int = 0
    # Of those, answered after the latency goal.
    late: int = 0
    # Answered without it being known whether they ran.
    unknown: int = 0
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass(slots=True)
class ServiceCounts:
    """Hold the counts of the last seconds, the oldest first."""

    seconds: collections.deque[tuple[int, dict[Pair, Counts]]] = (
        dataclasses.field(
            default_factory=lambda: collections.deque(maxlen=WINDOW_S + 1)
        )
    )


def record(
    ring: ServiceCounts,
    now_ms: int,
    request: messages.Request,
    outcome: outcomes.Outcome,
) -> None:
    """Count the answer to a request."""
    counts = _counts_of(ring, now_ms // 1000, request)
    match outcome:
        case outcomes.Done():
            counts.served += 1
            took_ms = now_ms - request.arrived_ms
            counts.late += took_ms > request.policy.latency_goal_ms
        case outcomes.Unknown():
            counts.unknown += 1
        case outcomes.NotRun(reason=reason):
            if reason is not outcomes.Reason.CANCELLED:
                counts.refused[str(reason)] += 1


def _counts_of(
    ring: ServiceCounts, second: int, request: messages.Request
) -> Counts:
    if not ring.seconds or ring.seconds[-1][0] != second:
        ring.seconds.append((second, {}))
    pairs = ring.seconds[-1][1]
    pair = (request.policy.database, request.organisation)
    counts = pairs.get(pair)
    if counts is None:
        if len(pairs) >= MAX_PAIRS:
            pair = OTHERS
        counts = pairs.setdefault(pair, Counts())
    return counts


def is_empty(ring: ServiceCounts, now_ms: int) -> bool:
    """Return whether nothing was counted in the last seconds."""
    oldest = now_ms // 1000 - WINDOW_S
    return not ring.seconds or ring.seconds[-1][0] < oldest


def sum_up(ring: ServiceCounts, now_ms: int) -> dict[Pair, Counts]:
    """Return the counts of the last seconds by database and organisation."""
    oldest = now_ms // 1000 - WINDOW_S
    sums: dict[Pair, Counts] = {}
    for second, pairs in ring.seconds:
        if second < oldest:
            continue
        for pair, counts in pairs.items():
            total = sums.setdefault(pair, Counts())
            total.served += counts.served
            total.late += counts.late
            total.unknown += counts.unknown
            total.refused.update(counts.refused)
    return sums
