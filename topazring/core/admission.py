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

TURN_INTERVAL_WEIGHT = 0.1


@dataclasses.dataclass(slots=True)
class FairQueue:
    """Waiting requests of one database, with a queue per organisation.

    Organisations are served round-robin, so one that floods lengthens only
    its own queue. When the limit is exceeded, the request with the latest
    deadline is evicted from the longest queue.
    """

    limit: int
    # For each organisation, a heap of (deadline_ms, key).
    heaps: dict[str, list[tuple[int, int]]] = dataclasses.field(
        default_factory=dict
    )
    # Organisations with waiting requests, in round-robin order.
    turns: collections.deque[str] = dataclasses.field(
        default_factory=collections.deque
    )
    count: int = 0
    # Moving average of the time between an organisation's turns, measured
    # while it has waiting requests.
    turn_interval_ms: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    last_turn_ms: dict[str, int] = dataclasses.field(default_factory=dict)


def size(queue: FairQueue) -> int:
    """Return the number of waiting requests."""
    return queue.count


def push(
    queue: FairQueue, organisation: str, deadline_ms: int, key: int
) -> int | None:
    """Add a request; return the key of the evicted request, if any."""
    heap = queue.heaps.get(organisation)
    if heap is None:
        heap = queue.heaps[organisation] = []
        queue.turns.append(organisation)
    heapq.heappush(heap, (deadline_ms, key))
    queue.count += 1
    if queue.count <= queue.limit:
        return None
    longest = max(queue.heaps, key=lambda name: len(queue.heaps[name]))
    last = max(queue.heaps[longest])
    _discard(queue, longest, last)
    return last[1]


def pop(queue: FairQueue, now_ms: int) -> int | None:
    """Remove and return the next organisation's most urgent request."""
    if not queue.turns:
        return None
    organisation = queue.turns[0]
    queue.turns.rotate(-1)
    _record_turn(queue, organisation, now_ms)
    _, key = heapq.heappop(queue.heaps[organisation])
    queue.count -= 1
    _drop_empty(queue, organisation)
    return key


def _record_turn(queue: FairQueue, organisation: str, now_ms: int) -> None:
    last_ms = queue.last_turn_ms.get(organisation)
    queue.last_turn_ms[organisation] = now_ms
    if last_ms is None:
        return
    mean_ms = queue.turn_interval_ms.get(organisation, float(now_ms - last_ms))
    mean_ms += (now_ms - last_ms - mean_ms) * TURN_INTERVAL_WEIGHT
    queue.turn_interval_ms[organisation] = mean_ms


def remove(queue: FairQueue, organisation: str, key: int) -> None:
    """Remove a request that no longer waits."""
    for item in queue.heaps.get(organisation, ()):
        if item[1] == key:
            _discard(queue, organisation, item)
            return


def _discard(
    queue: FairQueue, organisation: str, item: tuple[int, int]
) -> None:
    heap = queue.heaps[organisation]
    heap.remove(item)
    heapq.heapify(heap)
    queue.count -= 1
    _drop_empty(queue, organisation)


def _drop_empty(queue: FairQueue, organisation: str) -> None:
    if queue.heaps[organisation]:
        return
    del queue.heaps[organisation]
    queue.turns.remove(organisation)
    queue.last_turn_ms.pop(organisation, None)


def count_ahead(queue: FairQueue, organisation: str) -> int:
    """Return how many requests are served before a new one.

    From another organisation's longer queue only as many requests count as
    there are turns until the new request's own.
    """
    turns = len(queue.heaps.get(organisation, ())) + 1
    return sum(min(len(heap), turns) for heap in queue.heaps.values())


def estimate_wait_ms(
    queue: FairQueue, organisation: str, slots: int, service_ms: float
) -> float:
    """Estimate how long a new request of this organisation would wait.

    Each turn serves one request of every waiting organisation, so a short
    queue is served turn by turn, however long the longest queue is. A long
    queue also waits for requests that have yet to arrive, because those of
    other organisations are served in between. The measured time between its
    turns accounts for these.
    """
    own = len(queue.heaps.get(organisation, ()))
    by_queues = count_ahead(queue, organisation) * service_ms / max(1, slots)
    by_turns = own * queue.turn_interval_ms.get(organisation, 0.0)
    return max(by_queues, by_turns)
