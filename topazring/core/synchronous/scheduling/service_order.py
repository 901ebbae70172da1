"""Order the waiting requests of a group whose upstreams state their slots.

Requests of a higher priority go first. Within a priority, requests that can
still meet their latency goal precede those that cannot, and customers take
turns by service time. All callers without an organisation are one customer,
whose databases do not compete with each other: its shortest request goes
first, which lets most of its requests meet their goals (Schrage and Miller,
1966).

A long request, and all that are past their goals, could starve under this
rule. One in `LATE_START_INTERVAL` requests started is therefore the one with
the earliest deadline of those that are past their goals, of any priority.
"""

import collections.abc

from topazring.core.synchronous import messages
from topazring.core.synchronous.scheduling import customer_turns
from topazring.core.synchronous.scheduling import service_times
from topazring.core.synchronous import state as states

__all__ = [
    'applies',
    'expected_service_ms',
    'is_past_goal',
    'note_started',
    'order',
]

LATE_START_INTERVAL = 16

Works = collections.abc.Iterable[states.Work]


def applies(state: states.GroupState) -> bool:
    """Return whether the upstreams of a group state their slots."""
    return any(upstream.slots for upstream in state.upstreams.values())


def expected_service_ms(
    state: states.GroupState, request: messages.Request
) -> float:
    """Return the expected service time of a request, or its transaction."""
    return service_times.expected_ms(
        state.service_by_database,
        request.policy.database,
        bool(request.transaction),
    )


def is_past_goal(
    state: states.GroupState, now_ms: int, request: messages.Request
) -> bool:
    """Return whether a request would miss its goal if it started now."""
    goal_ms = request.arrived_ms + request.policy.latency_goal_ms
    return now_ms + expected_service_ms(state, request) > goal_ms


def order(
    state: states.GroupState, now_ms: int, works: Works
) -> list[states.Work]:
    """Return waiting requests in the order of service."""
    classes: dict[tuple[int, bool], list[states.Work]] = {}
    for work in works:
        is_late = is_past_goal(state, now_ms, work.request)
        rank = (work.request.policy.priority, is_late)
        classes.setdefault(rank, []).append(work)
    ordered: list[states.Work] = []
    late: list[states.Work] = []
    for rank in sorted(classes):
        _, is_late = rank
        if is_late:
            ordered += sorted(classes[rank], key=_deadline)
            late += classes[rank]
        else:
            ordered += _by_turns(state, classes[rank])
    if late and state.starts_since_late >= LATE_START_INTERVAL - 1:
        first = min(late, key=_deadline)
        ordered.remove(first)
        ordered.insert(0, first)
    return ordered


def _deadline(work: states.Work) -> tuple[int, int]:
    return work.deadline_ms, work.request.key


def _by_turns(
    state: states.GroupState, works: list[states.Work]
) -> list[states.Work]:
    queues: dict[str, list[tuple[float, int, int]]] = {}
    by_key = {}
    for work in works:
        request = work.request
        by_key[request.key] = work
        queues.setdefault(request.organisation, []).append(
            (
                expected_service_ms(state, request),
                request.arrived_ms,
                request.key,
            )
        )
    tagged = []
    for customer, queue in queues.items():
        queue.sort()
        tags = customer_turns.start_tags(
            state.turns, customer, (service_ms for service_ms, _, _ in queue)
        )
        for tag, (_, _, key) in zip(tags, queue, strict=True):
            tagged.append((tag, customer, key))
    if len(queues) > 1:
        tagged.sort()
    return [by_key[key] for _, _, key in tagged]


def note_started(
    state: states.GroupState, now_ms: int, work: states.Work
) -> None:
    """Record that a waiting request is being started."""
    request = work.request
    if is_past_goal(state, now_ms, request):
        state.starts_since_late = 0
        state.counters['started_past_goal'] += 1
    else:
        state.starts_since_late += 1
    customer_turns.note_started(
        state.turns, request.organisation, expected_service_ms(state, request)
    )
    service_times.record_start(
        state.service_by_database,
        request.policy.database,
        bool(request.transaction),
    )
