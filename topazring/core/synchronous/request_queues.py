"""Queue the requests that wait for a connection.

Requests with the lowest priority number go first. Within a priority the
organisations take turns, and the queue of an organisation is ordered by
deadline, the earliest first.
"""

from topazring.core import admission
from topazring.core.synchronous import messages
from topazring.core.synchronous import routing
from topazring.core.synchronous.scheduling import service_order as orders
from topazring.core.synchronous import state as states

__all__ = [
    'add',
    'count',
    'count_ahead',
    'dequeue',
    'has_any',
    'remove',
    'service_order',
]


def _queues(
    state: states.GroupState, primary_only: bool
) -> dict[int, admission.FairQueue]:
    return state.primary_queues if primary_only else state.any_queues


def _turn_of(request: messages.Request) -> str:
    """Return the name under which a request takes turns."""
    return request.organisation or request.policy.database


def add(state: states.GroupState, work: states.Work) -> int | None:
    """Add a request; return the key of the one evicted for it, if any."""
    policy = work.request.policy
    queues = _queues(state, work.primary_only)
    queue = queues.get(policy.priority)
    if queue is None:
        queue = admission.FairQueue(limit=state.limits.queue)
        queues[policy.priority] = queue
    work.is_queued = True
    return admission.push(
        queue, _turn_of(work.request), work.deadline_ms, work.request.key
    )


def remove(state: states.GroupState, work: states.Work) -> None:
    """Remove a request that no longer waits."""
    policy = work.request.policy
    queue = _queues(state, work.primary_only)[policy.priority]
    admission.remove(queue, _turn_of(work.request), work.request.key)
    work.is_queued = False


def has_any(state: states.GroupState, primary_only: bool) -> bool:
    """Return whether any request waits for the primary, or for any upstream.

    `primary_only` selects which of the two kinds of queues is examined.
    """
    queues = _queues(state, primary_only)
    return any(admission.size(queue) for queue in queues.values())


def service_order(state: states.GroupState, primary_only: bool) -> list[int]:
    """Return the keys of the waiting requests in the order of service.

    Requests for the primary are started first, so none of them is returned
    while another request, which only the primary can serve, precedes all.
    """
    if not orders.applies(state):
        return _by_turns(state, primary_only)
    now_ms = max(state.ordered_ms, state.last_tick_ms)
    works = waiting(state, primary_only)
    ordered = orders.order(state, now_ms, works)
    if primary_only and _yields(state, now_ms, ordered):
        state.has_yielded = True
        return []
    return [work.request.key for work in ordered]


def waiting(state: states.GroupState, primary_only: bool) -> list[states.Work]:
    """Return the requests that wait for the primary, or for any upstream."""
    return [
        state.work[key]
        for queue in _queues(state, primary_only).values()
        for heap in queue.heaps.values()
        for _, key in heap
    ]


def competing(
    state: states.GroupState, now_ms: int, work: states.Work, able: list
) -> list[states.Work]:
    """Return the waiting requests that a new one competes with."""
    own = waiting(state, work.primary_only)
    other = waiting(state, not work.primary_only)
    if not other or any(upstream.name != state.primary for upstream in able):
        return own
    if work.primary_only and not serves_alone(state, now_ms, other[0]):
        return own
    return own + other


def _yields(
    state: states.GroupState, now_ms: int, ordered: list[states.Work]
) -> bool:
    """Return whether requests for the primary give way to another one."""
    if state.has_yielded or not ordered:
        return False
    others = waiting(state, False)
    if not others:
        return False
    first = orders.order(state, now_ms, [ordered[0], *others])[0]
    return first is not ordered[0] and serves_alone(state, now_ms, first)


def serves_alone(
    state: states.GroupState, now_ms: int, work: states.Work
) -> bool:
    """Return whether only the primary can serve a request."""
    able = routing.candidates(state, now_ms, work)
    return all(upstream.name == state.primary for upstream in able)


def _by_turns(state: states.GroupState, primary_only: bool) -> list[int]:
    keys = []
    queues = _queues(state, primary_only)
    for priority in sorted(queues):
        heaps = queues[priority].heaps
        ordered = [sorted(heaps[name]) for name in queues[priority].turns]
        longest = max((len(entries) for entries in ordered), default=0)
        for turn in range(longest):
            keys += [
                entries[turn][1] for entries in ordered if turn < len(entries)
            ]
    return keys


def dequeue(state: states.GroupState, now_ms: int, work: states.Work) -> None:
    """Remove a request from its queue because it is being started."""
    if orders.applies(state):
        orders.note_started(state, now_ms, work)
        state.ordered_ms = now_ms
        if not work.primary_only:
            state.has_yielded = False
    queue = _queues(state, work.primary_only)[work.request.policy.priority]
    turn = _turn_of(work.request)
    if queue.turns and queue.turns[0] == turn:
        entries = queue.heaps[turn]
        if entries[0][1] == work.request.key:
            admission.pop(queue, now_ms)
            work.is_queued = False
            return
    remove(state, work)


def count(state: states.GroupState) -> int:
    """Return the number of waiting requests."""
    return sum(
        admission.size(queue)
        for queues in (state.primary_queues, state.any_queues)
        for queue in queues.values()
    )


def count_ahead(
    state: states.GroupState, primary_only: bool, request: messages.Request
) -> int:
    """Return how many waiting requests precede a new one."""
    ahead = 0
    own_priority = request.policy.priority
    for priority, queue in _queues(state, primary_only).items():
        if priority < own_priority:
            ahead += admission.size(queue)
        elif priority == own_priority:
            ahead += admission.count_ahead(queue, _turn_of(request))
    return ahead
