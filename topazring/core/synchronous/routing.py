"""Choose the upstream, and the connection, that serves a request soonest."""

import dataclasses

from topazring.core import log_positions
from topazring.core.synchronous import concurrency_limit
from topazring.core.synchronous import connections
from topazring.core.synchronous import exchanges
from topazring.core.synchronous import freshness
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states

__all__ = [
    'ReadCapacity',
    'best_connection',
    'candidates',
    'choose_connection',
    'choose_free_connection',
    'filter_fresh',
    'fresh_upstreams',
    'read_capacity',
    'accepts_request',
]

# A read goes to another data centre, or to the primary, only if it is
# served sooner there by this. Bytes between data centres cost money and the
# primary alone can take writes; both are worth some waiting, and a typical
# statement takes 10 to 20 ms.
REMOTE_COST_MS = 12.0
PRIMARY_COST_MS = 6.0
# A replica that hung for some seconds is tried again within about three.
SERVICE_HALF_LIFE_MS = 500


def candidates(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list[states.Upstream]:
    """Return the upstreams that may serve a request, as far as is known."""
    primary = state.upstreams.get(state.primary)
    only = [] if primary is None else [primary]
    if work.primary_only:
        return only
    place = freshness.required_place(state, work.request)
    if place is None:
        return only
    return fresh_upstreams(state, now_ms, work, place) or only


def fresh_upstreams(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    place: log_positions.LogPosition,
) -> list[states.Upstream]:
    """Return the upstreams that may serve a read that has to see a place."""
    readable = _readable(state, now_ms)
    return filter_fresh(state, now_ms, work, place, readable)


def filter_fresh(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    place: log_positions.LogPosition,
    readable: list[states.Upstream],
) -> list[states.Upstream]:
    """Return those of the readable upstreams that are fresh enough."""
    return [
        upstream
        for upstream in readable
        if upstream.name not in work.passed_over
        and _has(state, now_ms, upstream, place)
    ]


def _has(
    state: states.GroupState,
    now_ms: int,
    upstream: states.Upstream,
    place: log_positions.LogPosition,
) -> bool:
    """Say whether an upstream holds a place, as far as is known."""
    if upstream.name == state.primary or upstream.place >= place:
        return True
    lacks = states.is_recently_lagging(upstream, now_ms)
    return not (lacks and upstream.missing_place <= place)


def _readable(state: states.GroupState, now_ms: int) -> list[states.Upstream]:
    """Return the upstreams that serve reads, whatever these have to see."""
    return [
        upstream
        for upstream in state.upstreams.values()
        if _is_readable(state, now_ms, upstream)
    ]


def _is_readable(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> bool:
    if upstream.leaving and upstream.name != state.primary:
        return False
    if states.is_closed_to_work(upstream, now_ms):
        return False
    return connections.has_usable_connection(state, upstream.name)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadCapacity:
    """Hold what is the same for all that wait, until one is served."""

    readable: list[states.Upstream]
    # The names of those of them that take another request now.
    free: frozenset[str]


def read_capacity(state: states.GroupState, now_ms: int) -> ReadCapacity:
    """Return which upstreams serve reads, and which have room."""
    readable = _readable(state, now_ms)
    free = frozenset(
        upstream.name
        for upstream in readable
        if accepts_request(state, now_ms, upstream)
    )
    return ReadCapacity(readable, free)


def accepts_request(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> bool:
    """Say whether an upstream takes another request, whichever it is."""
    if upstream.busy_until_ms > now_ms:
        # Asked again at once it would refuse hundreds of times.
        return False
    if not states.idle_connections(state, upstream.name):
        return False
    return concurrency_limit.has_capacity(state, now_ms, upstream)


def choose_connection(
    state: states.GroupState,
    now_ms: int,
    among: list[states.Upstream],
    work: states.Work,
) -> states.Connection | None:
    """Return a free connection to the upstream expected to answer first."""
    free = [
        upstream
        for upstream in among
        if accepts_request(state, now_ms, upstream)
    ]
    return choose_free_connection(state, now_ms, free, work) if free else None


def choose_free_connection(
    state: states.GroupState,
    now_ms: int,
    free: list[states.Upstream],
    work: states.Work,
) -> states.Connection:
    """Return a connection to one of some upstreams, all of which have room."""
    if len(free) == 1:
        return best_connection(state, free[0].name, work.request)
    first = min(
        free,
        key=lambda upstream: (
            _stalled(state, now_ms, upstream),
            _expected_ms(state, now_ms, upstream),
            upstream.name,
        ),
    )
    return best_connection(state, first.name, work.request)


def _expected_ms(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> float:
    in_use = sum(
        connection.phase is states.Phase.BUSY
        for connection in states.connections_to(state, upstream.name)
    )
    expected_ms = _service_ms(now_ms, upstream) * (1 + 0.5 * in_use)
    if upstream.data_centre != state.data_centre:
        expected_ms += REMOTE_COST_MS
    if upstream.name == state.primary:
        expected_ms += PRIMARY_COST_MS
    return expected_ms


def _service_ms(now_ms: int, upstream: states.Upstream) -> float:
    """Return how long a statement is expected to take at an upstream.

    One that was slow is not asked, so nothing tells that it is quick again:
    what exceeds a typical time counts half after each half-life.
    """
    excess_ms = upstream.service_ms - states.TYPICAL_SERVICE_MS
    if excess_ms <= 0:
        return upstream.service_ms
    age_ms = now_ms - upstream.service_updated_ms
    return states.TYPICAL_SERVICE_MS + excess_ms * 0.5 ** (
        age_ms / SERVICE_HALF_LIFE_MS
    )


def _stalled(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> bool:
    """Say whether an upstream has left something unanswered for long.

    Any later answer of it clears that: then the connection is at fault.
    """
    limit_ms = concurrency_limit.late_after_ms(upstream)
    return any(
        connection.phase is states.Phase.BUSY
        and now_ms - connection.sent_ms > limit_ms
        and upstream.last_received_ms < connection.sent_ms
        for connection in states.connections_to(state, upstream.name)
    )


def best_connection(
    state: states.GroupState, upstream: str, request: messages.Request
) -> states.Connection | None:
    """Return the free connection that needs the least adapting."""
    free = states.idle_connections(state, upstream)
    if not free:
        return None
    return min(free, key=lambda c: exchanges.adapt_cost(c, request))
