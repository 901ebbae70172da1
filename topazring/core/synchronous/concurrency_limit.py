"""Estimate how long a request waits for a connection; keep upstreams short.

What counts is how long a connection is kept, by a statement or by a whole
transaction with its caller's pauses, and only at upstreams that may serve the
request. Replicas that apply late answer in no time that they lack a place:
counted in, they make a line look short that the primary alone has to serve.
One would notice by requests that wait for their whole time, and by hardly any
that are refused on arrival.
"""

import collections.abc

from topazring.core.synchronous import state as states

__all__ = [
    'adjust_limit',
    'start_hold',
    'end_hold',
    'expected_wait_ms',
    'has_capacity',
    'late_after_ms',
]

# An estimate follows a change within some ten uses of a connection.
HOLD_TIME_WEIGHT = 0.1
# An upstream whose statements take so many times as long as when they need
# not queue is given less at a time. In a played crowd before a primary that
# has to serve alone 2.0 to 2.5 brought 65 to 74% of the operations in within
# their goals, no bound 64%; a whole fleet's connections make a statement take
# eight times as long, and a transaction has several.
QUEUED_FACTOR = 2.5
# It is given a tenth less with each slow answer, and one connection more after
# twenty quick ones.
DECREASE_FACTOR = 0.9
INCREASE_STEP = 0.05
# And half with each refusal for a full queue. Of a played crowd's statements
# that came to an upstream 3% were refused without it, 0.3% with it.
REFUSED_DECREASE_FACTOR = 0.5
# How fast a quick time is forgotten that is not seen any more: by half within
# some 700 answers.
BASELINE_WEIGHT = 0.001
# An answer that takes so many usual times is late: a read is tried elsewhere
# as well, and its connection is not counted as at work.
LATE_FACTOR = 4.0
MIN_LATE_MS = 60


def start_hold(connection: states.Connection, now_ms: int) -> None:
    """Note that a connection is taken for a request from the line."""
    connection.checked_out_ms = now_ms


def end_hold(
    state: states.GroupState, now_ms: int, connection: states.Connection
) -> None:
    """Learn for how long a request kept its connection."""
    taken_ms, connection.checked_out_ms = connection.checked_out_ms, None
    upstream = state.upstreams.get(connection.upstream)
    if taken_ms is None or upstream is None:
        return
    kept_ms = now_ms - taken_ms
    upstream.hold_ms += (kept_ms - upstream.hold_ms) * HOLD_TIME_WEIGHT


def expected_wait_ms(
    state: states.GroupState,
    ahead: int,
    able: collections.abc.Collection[states.Upstream],
) -> float:
    """Return how long until a connection is free behind so many requests.

    0 for the first in line: with nobody waiting connections would be idle
    between two requests.
    """
    if not ahead:
        return 0.0
    per_ms = sum(_per_ms(state, upstream) for upstream in able)
    return (ahead + 1) / per_ms if per_ms else 0.0


def _per_ms(state: states.GroupState, upstream: states.Upstream) -> float:
    """Return how many requests an upstream takes from the line in 1 ms."""
    held = sum(
        connection.phase is not states.Phase.OPENING
        for connection in states.connections_to(state, upstream.name)
    )
    by_kept = held / max(1.0, upstream.hold_ms)
    by_room = min(held, upstream.concurrency_limit) / max(
        1.0, upstream.service_ms
    )
    return min(by_kept, by_room)


def adjust_limit(state: states.GroupState, upstream: states.Upstream) -> None:
    """Have fewer connections at work where statements queue.

    More of them do not make an upstream quicker once its slots are full. They
    move the line from here, where the urgent goes first, to its queue, where
    it does not, and each statement of a transaction stands in that anew.
    """
    if upstream.service_ms < upstream.unqueued_service_ms:
        upstream.unqueued_service_ms = upstream.service_ms
    else:
        slower_ms = upstream.service_ms - upstream.unqueued_service_ms
        upstream.unqueued_service_ms += slower_ms * BASELINE_WEIGHT
    most = float(max(1, state.connection_share))
    if upstream.service_ms > QUEUED_FACTOR * upstream.unqueued_service_ms:
        upstream.concurrency_limit = max(
            1.0, min(most, upstream.concurrency_limit) * DECREASE_FACTOR
        )
    else:
        upstream.concurrency_limit = min(
            most, upstream.concurrency_limit + INCREASE_STEP
        )


def reduce_limit(state: states.GroupState, upstream: states.Upstream) -> None:
    """Have fewer connections at work where the queue is full."""
    most = float(max(1, state.connection_share))
    upstream.concurrency_limit = max(
        1.0, min(most, upstream.concurrency_limit) * REFUSED_DECREASE_FACTOR
    )


def has_capacity(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> bool:
    """Say whether an upstream is to be given another request.

    A connection whose answer is lost is not at work: counted as such, it
    would keep the only place for as long as its answer is waited for.
    """
    late_ms = now_ms - late_after_ms(upstream)
    busy = sum(
        connection.phase is states.Phase.BUSY
        and connection.work != 0
        and connection.sent_ms >= late_ms
        for connection in states.connections_to(state, upstream.name)
    )
    return busy < round(upstream.concurrency_limit)


def late_after_ms(upstream: states.Upstream) -> float:
    """Return how long an answer may take before it is unusual."""
    return max(MIN_LATE_MS, upstream.service_ms * LATE_FACTOR)
