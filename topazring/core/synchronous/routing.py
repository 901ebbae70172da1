"""Choose the upstream and connection expected to serve a request soonest."""

import dataclasses

from topazring.core import log_positions
from topazring.core.synchronous import concurrency_limit
from topazring.core.synchronous import connections
from topazring.core.synchronous import freshness
from topazring.core.synchronous import messages
from topazring.core.synchronous import session_setup
from topazring.core.synchronous import state as states

__all__ = [
    'ReadCapacity',
    'accepts_request',
    'best_connection',
    'candidates',
    'choose_connection',
    'choose_free_upstream',
    'filter_fresh',
    'fresh_upstreams',
    'is_connected',
    'read_capacity',
]

# A read goes to another data centre, or to the primary, only if it is
# expected to be served sooner there by this much. Traffic between data
# centres costs money, and only the primary can take writes; avoiding either
# justifies some waiting. A typical statement takes 10 to 20 ms.
REMOTE_COST_MS = 12.0
PRIMARY_COST_MS = 6.0
# A new connection takes about this long and occupies a slot meanwhile.
DIAL_COST_MS = 14.0
# Half-life of a high service time: a replica that hung for some seconds is
# tried again within about three seconds.
SERVICE_HALF_LIFE_MS = 500


def candidates(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list[states.Upstream]:
    """Return the upstreams that may serve a request, as far as known."""
    primary = state.upstreams.get(state.primary)
    primary_alone = [] if primary is None else [primary]
    if work.primary_only:
        return primary_alone
    position = freshness.required_place(state, work.request)
    if position is None:
        return primary_alone
    return fresh_upstreams(state, now_ms, work, position) or primary_alone


def fresh_upstreams(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    position: log_positions.LogPosition,
) -> list[states.Upstream]:
    """Return the upstreams that may serve a read at a log position."""
    readable = _readable(state, now_ms)
    return filter_fresh(state, now_ms, work, position, readable)


def filter_fresh(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    position: log_positions.LogPosition,
    readable: list[states.Upstream],
) -> list[states.Upstream]:
    """Return the readable upstreams that are fresh enough for a request."""
    return [
        upstream
        for upstream in readable
        if upstream.name not in work.passed_over
        and _may_hold(state, now_ms, upstream, position)
    ]


def _may_hold(
    state: states.GroupState,
    now_ms: int,
    upstream: states.Upstream,
    position: log_positions.LogPosition,
) -> bool:
    """Return whether an upstream may have applied its log to a position."""
    if upstream.name == state.primary or upstream.place >= position:
        return True
    is_lagging = states.is_recently_lagging(upstream, now_ms)
    return not (is_lagging and upstream.missing_place <= position)


def _readable(state: states.GroupState, now_ms: int) -> list[states.Upstream]:
    """Return the upstreams that serve reads, regardless of freshness."""
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
    if states.is_closed_by_operator(state, now_ms, upstream.name):
        return False
    return connections.has_usable_connection(state, upstream.name)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadCapacity:
    """Hold the read capacity; it is valid until a request is started."""

    readable: list[states.Upstream]
    # Names of the readable upstreams that accept another request now.
    free: frozenset[str]


def read_capacity(state: states.GroupState, now_ms: int) -> ReadCapacity:
    """Return the upstreams that serve reads and those with free capacity."""
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
    """Return whether an upstream can accept another request."""
    if upstream.busy_until_ms > now_ms:
        # Sending again at once would lead to hundreds of refusals.
        return False
    if not states.idle_connections(state, upstream.name):
        if not connections.may_open(state, now_ms, upstream):
            return False
    return concurrency_limit.has_capacity(state, now_ms, upstream)


def choose_connection(
    state: states.GroupState,
    now_ms: int,
    fresh: list[states.Upstream],
    work: states.Work,
) -> states.Connection | None:
    """Return a free connection to the upstream expected to answer first."""
    organisation = work.request.organisation
    free = [
        upstream
        for upstream in fresh
        if accepts_request(state, now_ms, upstream)
        and is_connected(state, upstream, organisation)
    ]
    if not free:
        return None
    chosen = choose_free_upstream(state, now_ms, free, organisation)
    return best_connection(state, chosen.name, work.request)


def choose_free_upstream(
    state: states.GroupState,
    now_ms: int,
    free: list[states.Upstream],
    organisation: str,
) -> states.Upstream:
    """Return the best of several upstreams with free capacity.

    A connection for the organisation may have to be opened to it.
    """
    if len(free) == 1:
        return free[0]

    def expected_wait_ms(upstream: states.Upstream) -> float:
        wait_ms = _expected_wait_ms(state, now_ms, upstream)
        if not is_connected(state, upstream, organisation):
            wait_ms += DIAL_COST_MS
        return wait_ms

    return min(
        free,
        key=lambda upstream: (
            _is_stalled(state, now_ms, upstream),
            expected_wait_ms(upstream),
            upstream.name,
        ),
    )


def is_connected(
    state: states.GroupState, upstream: states.Upstream, organisation: str
) -> bool:
    """Return whether a connection for an organisation is free."""
    return bool(states.idle_connections_of(state, upstream.name, organisation))


def _expected_wait_ms(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> float:
    in_use = sum(
        connection.phase is states.Phase.BUSY
        for connection in states.connections_to(state, upstream.name)
    )
    expected_ms = _expected_service_ms(now_ms, upstream) * (1 + 0.5 * in_use)
    if upstream.data_centre != state.data_centre:
        expected_ms += REMOTE_COST_MS
    if upstream.name == state.primary:
        expected_ms += PRIMARY_COST_MS
    return expected_ms


def _expected_service_ms(now_ms: int, upstream: states.Upstream) -> float:
    """Return the expected service time of a statement at an upstream, in ms.

    A slow upstream gets no requests, so no measurement shows that it has
    recovered. Its excess over the typical service time therefore decays with
    a half-life of `SERVICE_HALF_LIFE_MS`.
    """
    excess_ms = upstream.service_ms - states.TYPICAL_SERVICE_MS
    if excess_ms <= 0:
        return upstream.service_ms
    age_ms = now_ms - upstream.service_updated_ms
    return states.TYPICAL_SERVICE_MS + excess_ms * 0.5 ** (
        age_ms / SERVICE_HALF_LIFE_MS
    )


def _is_stalled(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> bool:
    """Return whether commands to an upstream have been unanswered for long.

    Any reply received since they were sent clears this: the connection is at
    fault then, not the upstream.
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
    """Return the free connection that needs the fewest setup commands."""
    free = states.idle_connections_of(state, upstream, request.organisation)
    if not free:
        return None
    return min(free, key=lambda c: session_setup.setup_cost(c, request))
