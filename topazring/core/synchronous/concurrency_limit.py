"""Estimate queueing times, and limit the statements running at an upstream.

The estimate is based on how long a connection is held, by a statement or by a
whole transaction including its caller's pauses, and only on upstreams that
may serve the request. Replicas that apply late reply almost immediately that
they lack a log position. If they were included, a queue that only the primary
can serve would look short. The symptom would be requests that wait until
their deadline, while hardly any are refused on arrival.

Where upstreams state how many statements they run at a time, the limit is
this owner's part of them.
"""

import collections.abc

from topazring.core.synchronous.scheduling import upstream_room
from topazring.core.synchronous import state as states

__all__ = [
    'adjust_limit',
    'end_hold',
    'expected_wait_ms',
    'has_capacity',
    'late_after_ms',
    'start_hold',
]

# With this weight an estimate follows a change within about ten uses of a
# connection.
HOLD_TIME_WEIGHT = 0.1
# The concurrency limit of an upstream is lowered if its statements take this
# many times as long as without queueing. In a load simulation with a primary
# that serves alone, 2.0 to 2.5 brought 65 to 74% of the operations in within
# their latency goals, compared with 64% without a limit. The connections of a
# whole fleet make a statement take eight times as long, and a transaction
# consists of several statements.
QUEUED_FACTOR = 2.5
# Each slow reply lowers the limit by a tenth; twenty quick replies raise it by
# one connection.
DECREASE_FACTOR = 0.9
INCREASE_STEP = 0.05
# Each refusal because of a full queue halves the limit. In a load simulation
# 3% of the statements that reached an upstream were refused without this rule,
# and 0.3% with it.
REFUSED_DECREASE_FACTOR = 0.5
# Where the slots are known, a full queue is due to others that exceed their
# part. The limit is back after this many replies, which is within a second.
REPLIES_TO_PART = 8
# How fast the time without queueing is adjusted upwards if such short times
# are no longer observed: by half within about 700 replies.
BASELINE_WEIGHT = 0.001
# A reply is late if it takes this many times the usual time. A late read is
# also tried at another upstream, and its connection is not counted as busy.
LATE_FACTOR = 4.0
MIN_LATE_MS = 60


def start_hold(
    state: states.GroupState, connection: states.Connection, now_ms: int
) -> None:
    """Record that a connection was assigned to a request from the queue."""
    connection.checked_out_ms = now_ms
    upstream = state.upstreams.get(connection.upstream)
    if upstream is None or not state.serves_organisations:
        return
    change_ms = upstream.opening_ms - upstream.opening_per_request_ms
    upstream.opening_per_request_ms += change_ms * HOLD_TIME_WEIGHT
    upstream.opening_ms = 0


def end_hold(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
) -> None:
    """Update the hold time estimate once a request releases a connection."""
    taken_ms, connection.checked_out_ms = connection.checked_out_ms, None
    upstream = state.upstreams.get(connection.upstream)
    if taken_ms is None or upstream is None:
        return
    hold_time_ms = now_ms - taken_ms
    upstream.hold_ms += (hold_time_ms - upstream.hold_ms) * HOLD_TIME_WEIGHT


def expected_wait_ms(
    state: states.GroupState,
    ahead: int,
    able: collections.abc.Collection[states.Upstream],
) -> float:
    """Estimate the wait for a connection behind `ahead` queued requests.

    It is 0 for the first in the queue: if no request were allowed to wait,
    connections would be idle between two requests.
    """
    if not ahead:
        return 0.0
    per_ms = sum(_per_ms(state, upstream) for upstream in able)
    return (ahead + 1) / per_ms if per_ms else 0.0


def _per_ms(state: states.GroupState, upstream: states.Upstream) -> float:
    """Return how many queued requests an upstream accepts per millisecond."""
    connected = sum(
        connection.phase is not states.Phase.OPENING
        for connection in states.connections_to(state, upstream.name)
    )
    if state.serves_organisations:
        # The others are opened when they are needed.
        connected = max(connected, state.connection_share)
    opening_ms = upstream.opening_per_request_ms
    by_hold_time = connected / max(1.0, upstream.hold_ms + opening_ms)
    by_limit = min(connected, _limit(state, upstream)) / max(
        1.0, upstream.service_ms + opening_ms
    )
    return min(by_hold_time, by_limit)


def _limit(state: states.GroupState, upstream: states.Upstream) -> float:
    """Return how many statements may run at an upstream."""
    part = upstream_room.part_of(state, upstream)
    if part is None:
        return upstream.concurrency_limit
    return min(part, upstream.concurrency_limit)


def adjust_limit(state: states.GroupState, upstream: states.Upstream) -> None:
    """Adjust an upstream's concurrency limit to its latest service time.

    Once an upstream's slots are full, more busy connections do not increase
    its throughput. They only move requests from the local queue, which is
    ordered by priority, to the upstream's queue, which is not, and in which
    each statement of a transaction waits again.
    """
    if upstream.service_ms < upstream.unqueued_service_ms:
        upstream.unqueued_service_ms = upstream.service_ms
    else:
        slower_ms = upstream.service_ms - upstream.unqueued_service_ms
        upstream.unqueued_service_ms += slower_ms * BASELINE_WEIGHT
    part = upstream_room.part_of(state, upstream)
    if part is not None:
        # It bounds what queues in the upstream, so slow statements are slow.
        upstream.concurrency_limit = min(
            float(part), upstream.concurrency_limit + part / REPLIES_TO_PART
        )
        return
    max_limit = float(max(1, state.connection_share))
    if upstream.service_ms > QUEUED_FACTOR * upstream.unqueued_service_ms:
        upstream.concurrency_limit = max(
            1.0, min(max_limit, upstream.concurrency_limit) * DECREASE_FACTOR
        )
    else:
        upstream.concurrency_limit = min(
            max_limit, upstream.concurrency_limit + INCREASE_STEP
        )


def reduce_limit(state: states.GroupState, upstream: states.Upstream) -> None:
    """Lower the concurrency limit of an upstream whose queue is full."""
    part = upstream_room.part_of(state, upstream)
    if part is not None:
        state.counters['refused_within_part'] += 1
    max_limit = float(part or max(1, state.connection_share))
    upstream.concurrency_limit = max(
        1.0,
        min(max_limit, upstream.concurrency_limit) * REFUSED_DECREASE_FACTOR,
    )


def has_capacity(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> bool:
    """Return whether an upstream may be given another request.

    A connection whose reply is late does not count as busy. If it did, a lost
    reply could use up a limit of one for as long as the reply is awaited.
    """
    late_ms = now_ms - late_after_ms(upstream)
    busy = sum(
        connection.phase is states.Phase.BUSY
        and connection.work != 0
        and connection.sent_ms >= late_ms
        for connection in states.connections_to(state, upstream.name)
    )
    return busy < round(_limit(state, upstream))


def late_after_ms(upstream: states.Upstream) -> float:
    """Return after how many milliseconds a reply counts as late."""
    return max(MIN_LATE_MS, upstream.service_ms * LATE_FACTOR)
