"""Keep requests that wait for a connection in order.

The lowest priority number goes first; within it organisations take turns,
and in an organisation's line the earliest deadline is first.
"""

from topazring.core import admission
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states

__all__ = [
    'add',
    'count_ahead',
    'count',
    'service_order',
    'has_any',
    'remove',
    'dequeue',
]


def _queues(
    state: states.GroupState, primary_only: bool
) -> dict[int, admission.FairQueue]:
    return state.primary_queues if primary_only else state.any_queues


def add(state: states.GroupState, work: states.Work) -> int | None:
    """Add a request; return the key of one that has to leave for it."""
    policy = work.request.policy
    queues = _queues(state, work.primary_only)
    queue = queues.get(policy.priority)
    if queue is None:
        queue = admission.FairQueue(limit=state.limits.queue)
        queues[policy.priority] = queue
    work.is_queued = True
    return admission.push(
        queue, policy.database, work.deadline_ms, work.request.key
    )


def remove(state: states.GroupState, work: states.Work) -> None:
    """Take out a request that no longer waits."""
    policy = work.request.policy
    queue = _queues(state, work.primary_only)[policy.priority]
    admission.remove(queue, policy.database, work.request.key)
    work.is_queued = False


def has_any(state: states.GroupState, primary_only: bool) -> bool:
    """Say whether any request waits for the primary, or for whichever."""
    queues = _queues(state, primary_only)
    return any(admission.size(queue) for queue in queues.values())


def service_order(state: states.GroupState, primary_only: bool) -> list[int]:
    """Return the waiting requests in the order in which to serve them."""
    keys = []
    queues = _queues(state, primary_only)
    for priority in sorted(queues):
        lines = queues[priority].heaps
        order = [sorted(lines[name]) for name in queues[priority].turns]
        depth = max((len(line) for line in order), default=0)
        for turn in range(depth):
            keys += [line[turn][1] for line in order if turn < len(line)]
    return keys


def dequeue(state: states.GroupState, now_ms: int, work: states.Work) -> None:
    """Take a request out of its line because it goes to work."""
    policy = work.request.policy
    queue = _queues(state, work.primary_only)[policy.priority]
    if queue.turns and queue.turns[0] == policy.database:
        line = queue.heaps[policy.database]
        if line[0][1] == work.request.key:
            admission.pop(queue, now_ms)
            work.is_queued = False
            return
    remove(state, work)


def count(state: states.GroupState) -> int:
    """Return how many requests wait."""
    return sum(
        admission.size(queue)
        for queues in (state.primary_queues, state.any_queues)
        for queue in queues.values()
    )


def count_ahead(
    state: states.GroupState, primary_only: bool, policy: messages.Policy
) -> int:
    """Return how many waiting requests go before a new one of a policy."""
    ahead = 0
    for priority, queue in _queues(state, primary_only).items():
        if priority < policy.priority:
            ahead += admission.size(queue)
        elif priority == policy.priority:
            ahead += admission.count_ahead(queue, policy.database)
    return ahead
