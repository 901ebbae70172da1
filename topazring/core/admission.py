"""Queue requests fairly among organisations, then by deadline."""

import collections
import dataclasses
import heapq

__all__ = ['FairQueue', 'estimate_wait', 'push', 'pop', 'remove', 'size']


@dataclasses.dataclass(slots=True)
class FairQueue:
    """Hold the waiting requests of one database.

    Organisations take turns, so one that floods lengthens only its own
    line. When the queue is full, the longest line gives up its last.
    """

    limit: int
    lines: dict[str, list[tuple[int, int]]] = dataclasses.field(
        default_factory=dict
    )
    turns: collections.deque[str] = dataclasses.field(
        default_factory=collections.deque
    )
    count: int = 0


def size(queue: FairQueue) -> int:
    """Return how many requests wait."""
    return queue.count


def push(
    queue: FairQueue, organisation: str, deadline_ms: int, key: int
) -> int | None:
    """Add a request; return the one that has to leave for it, if any."""
    line = queue.lines.get(organisation)
    if line is None:
        line = queue.lines[organisation] = []
        queue.turns.append(organisation)
    heapq.heappush(line, (deadline_ms, key))
    queue.count += 1
    if queue.count <= queue.limit:
        return None
    longest = max(queue.lines, key=lambda name: len(queue.lines[name]))
    last = max(queue.lines[longest])
    _take(queue, longest, last)
    return last[1]


def pop(queue: FairQueue) -> int | None:
    """Take the most urgent request of the organisation whose turn it is."""
    if not queue.turns:
        return None
    organisation = queue.turns[0]
    queue.turns.rotate(-1)
    _, key = heapq.heappop(queue.lines[organisation])
    queue.count -= 1
    _drop_empty(queue, organisation)
    return key


def remove(queue: FairQueue, organisation: str, key: int) -> None:
    """Take out a request that no longer waits."""
    for item in queue.lines.get(organisation, ()):
        if item[1] == key:
            _take(queue, organisation, item)
            return


def _take(queue: FairQueue, organisation: str, item: tuple[int, int]) -> None:
    line = queue.lines[organisation]
    line.remove(item)
    heapq.heapify(line)
    queue.count -= 1
    _drop_empty(queue, organisation)


def _drop_empty(queue: FairQueue, organisation: str) -> None:
    if queue.lines[organisation]:
        return
    del queue.lines[organisation]
    queue.turns.remove(organisation)


def estimate_wait(
    queue: FairQueue, organisation: str, slots: int, service_ms: float
) -> float:
    """Estimate how long a new request of this organisation would wait.

    Each turn serves one request of every waiting organisation, so a short
    line moves at the pace of the turns, whatever the longest line holds.
    """
    own = len(queue.lines.get(organisation, ()))
    ahead = sum(min(len(line), own + 1) for line in queue.lines.values())
    return ahead * service_ms / max(1, slots)
