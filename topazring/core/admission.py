"""Queue requests fairly among organisations, then by deadline."""

import collections
import dataclasses
import heapq

__all__ = [
    'FairQueue',
    'count_ahead',
    'estimate_wait_ms',
    'pop',
    'push',
    'remove',
    'size',
]

TURN_WEIGHT = 0.1


@dataclasses.dataclass(slots=True)
class FairQueue:
    """Hold the waiting requests of one database.

    Organisations take turns, so one that floods lengthens only its own
    line. When the queue is full, the longest line gives up its last.
    """

    limit: int
    heaps: dict[str, list[tuple[int, int]]] = dataclasses.field(
        default_factory=dict
    )
    turns: collections.deque[str] = dataclasses.field(
        default_factory=collections.deque
    )
    count: int = 0
    # How far apart an organisation's turns came while it had a line.
    turn_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    turned_ms: dict[str, int] = dataclasses.field(default_factory=dict)


def size(queue: FairQueue) -> int:
    """Return how many requests wait."""
    return queue.count


def push(
    queue: FairQueue, organisation: str, deadline_ms: int, key: int
) -> int | None:
    """Add a request; return the one that has to leave for it, if any."""
    line = queue.heaps.get(organisation)
    if line is None:
        line = queue.heaps[organisation] = []
        queue.turns.append(organisation)
    heapq.heappush(line, (deadline_ms, key))
    queue.count += 1
    if queue.count <= queue.limit:
        return None
    longest = max(queue.heaps, key=lambda name: len(queue.heaps[name]))
    last = max(queue.heaps[longest])
    _take(queue, longest, last)
    return last[1]


def pop(queue: FairQueue, now_ms: int) -> int | None:
    """Take the most urgent request of the organisation whose turn it is."""
    if not queue.turns:
        return None
    organisation = queue.turns[0]
    queue.turns.rotate(-1)
    _note_turn(queue, organisation, now_ms)
    _, key = heapq.heappop(queue.heaps[organisation])
    queue.count -= 1
    _drop_empty(queue, organisation)
    return key


def _note_turn(queue: FairQueue, organisation: str, now_ms: int) -> None:
    last_ms = queue.turned_ms.get(organisation)
    queue.turned_ms[organisation] = now_ms
    if last_ms is None:
        return
    known = queue.turn_ms.get(organisation, float(now_ms - last_ms))
    known += (now_ms - last_ms - known) * TURN_WEIGHT
    queue.turn_ms[organisation] = known


def remove(queue: FairQueue, organisation: str, key: int) -> None:
    """Take out a request that no longer waits."""
    for item in queue.heaps.get(organisation, ()):
        if item[1] == key:
            _take(queue, organisation, item)
            return


def _take(queue: FairQueue, organisation: str, item: tuple[int, int]) -> None:
    line = queue.heaps[organisation]
    line.remove(item)
    heapq.heapify(line)
    queue.count -= 1
    _drop_empty(queue, organisation)


def _drop_empty(queue: FairQueue, organisation: str) -> None:
    if queue.heaps[organisation]:
        return
    del queue.heaps[organisation]
    queue.turns.remove(organisation)
    queue.turned_ms.pop(organisation, None)


def count_ahead(queue: FairQueue, organisation: str) -> int:
    """Return how many requests go before a new one of an organisation.

    Of another's long line only as many as there are turns until its own.
    """
    turns = len(queue.heaps.get(organisation, ())) + 1
    return sum(min(len(line), turns) for line in queue.heaps.values())


def estimate_wait_ms(
    queue: FairQueue, organisation: str, slots: int, service_ms: float
) -> float:
    """Estimate how long a new request of this organisation would wait.

    Each turn serves one request of every waiting organisation, so a short
    line moves at the pace of the turns, whatever the longest line holds. A
    long line waits for requests too that are yet to come: those of others
    have their turns before it. How far apart its own turns came says so.
    """
    own = len(queue.heaps.get(organisation, ()))
    by_lines = count_ahead(queue, organisation) * service_ms / max(1, slots)
    by_turns = own * queue.turn_ms.get(organisation, 0.0)
    return max(by_lines, by_turns)
