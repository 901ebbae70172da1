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
    'refused_count',
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
class _Second:
    """Hold the counts of one second."""

    number: int
    pairs: dict[Pair, Counts] = dataclasses.field(default_factory=dict)
    # Refused to all of them.
    refused: int = 0


@dataclasses.dataclass(slots=True)
class ServiceCounts:
    """Hold the counts of the last seconds, the oldest first."""

    seconds: collections.deque[_Second] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=WINDOW_S + 1)
    )


def record(
    ring: ServiceCounts,
    now_ms: int,
    request: messages.Request,
    outcome: outcomes.Outcome,
) -> None:
    """Count the answer to a request."""
    number = now_ms // 1000
    if not ring.seconds or ring.seconds[-1].number != number:
        ring.seconds.append(_Second(number))
    second = ring.seconds[-1]
    counts = _counts_of(second, request)
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
                second.refused += 1


def _counts_of(second: _Second, request: messages.Request) -> Counts:
    pair = (request.policy.database, request.organisation)
    counts = second.pairs.get(pair)
    if counts is None:
        if len(second.pairs) >= MAX_PAIRS:
            pair = OTHERS
        counts = second.pairs.setdefault(pair, Counts())
    return counts


def is_empty(ring: ServiceCounts, now_ms: int) -> bool:
    """Return whether nothing was counted in the last seconds."""
    return not _recent(ring, now_ms)


def refused_count(ring: ServiceCounts, now_ms: int) -> int:
    """Return how many requests were refused in the last seconds."""
    return sum(second.refused for second in _recent(ring, now_ms))


def _recent(ring: ServiceCounts, now_ms: int) -> list[_Second]:
    oldest = now_ms // 1000 - WINDOW_S
    return [second for second in ring.seconds if second.number >= oldest]


def sum_up(ring: ServiceCounts, now_ms: int) -> dict[Pair, Counts]:
    """Return the counts of the last seconds by database and organisation."""
    sums: dict[Pair, Counts] = {}
    for second in _recent(ring, now_ms):
        for pair, counts in second.pairs.items():
            total = sums.setdefault(pair, Counts())
            total.served += counts.served
            total.late += counts.late
            total.unknown += counts.unknown
            for reason, count in counts.refused.items():
                total.refused[reason] += count
    return sums
