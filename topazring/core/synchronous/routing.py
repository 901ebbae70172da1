"""Choose the upstream, and the connection, that serves a request soonest."""

from topazring.core import places
from topazring.core.synchronous import connections
from topazring.core.synchronous import exchanges
from topazring.core.synchronous import freshness
from topazring.core.synchronous import messages
from topazring.core.synchronous import pace
from topazring.core.synchronous import state as states

__all__ = [
    'best_connection',
    'candidates',
    'choose',
    'fresh_enough',
]

# A read goes to another data centre, or to the primary, only if it is
# served sooner there by this. Bytes between data centres cost money and the
# primary alone can take writes; both are worth some waiting, and a typical
# statement takes 10 to 20 ms.
FOREIGN_COST_MS = 12.0
PRIMARY_COST_MS = 6.0
# A replica that hung for some seconds is tried again within about three.
SLOW_HALF_MS = 500


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
    return fresh_enough(state, now_ms, work, place) or only


def fresh_enough(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    place: places.Place,
) -> list[states.Upstream]:
    """Return the upstreams that may serve a read that has to see a place."""
    return [
        upstream
        for upstream in state.upstreams.values()
        if _may_serve(state, now_ms, work, upstream, place)
    ]


def _may_serve(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    upstream: states.Upstream,
    place: places.Place,
) -> bool:
    if upstream.name in work.passed_over:
        return False
    if upstream.leaving and upstream.name != state.primary:
        return False
    if states.is_closed_to_work(upstream, now_ms):
        return False
    if not connections.is_held(state, upstream.name):
        return False
    if upstream.place >= place or upstream.name == state.primary:
        return True
    lacks = states.lacks_lately(upstream, now_ms)
    return not (lacks and upstream.lacked <= place)


def choose(
    state: states.GroupState,
    now_ms: int,
    among: list[states.Upstream],
    work: states.Work,
) -> states.Connection | None:
    """Return a free connection to the upstream expected to answer first."""
    ranked = sorted(
        among,
        key=lambda upstream: (
            _stalled(state, now_ms, upstream),
            _expected_ms(state, now_ms, upstream),
            upstream.name,
        ),
    )
    for upstream in ranked:
        if upstream.busy_until_ms > now_ms:
            # Asked again at once it would refuse hundreds of times.
            continue
        if not pace.has_room(state, now_ms, upstream):
            continue
        connection = best_connection(state, upstream.name, work.request)
        if connection is not None:
            return connection
    return None


def _expected_ms(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> float:
    in_use = sum(
        connection.phase is states.Phase.BUSY
        for connection in states.connections_to(state, upstream.name)
    )
    expected_ms = _service_ms(now_ms, upstream) * (1 + 0.5 * in_use)
    if upstream.data_centre != state.data_centre:
        expected_ms += FOREIGN_COST_MS
    if upstream.name == state.primary:
        expected_ms += PRIMARY_COST_MS
    return expected_ms


def _service_ms(now_ms: int, upstream: states.Upstream) -> float:
    """Return how long a statement is expected to take at an upstream.

    One that was slow is not asked, so nothing tells that it is quick again:
    what exceeds a typical time counts half after each half-life.
    """
    excess_ms = upstream.service_ms - states.TYPICAL_MS
    if excess_ms <= 0:
        return upstream.service_ms
    age_ms = now_ms - upstream.service_told_ms
    return states.TYPICAL_MS + excess_ms * 0.5 ** (age_ms / SLOW_HALF_MS)


def _stalled(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> bool:
    """Say whether an upstream has left something unanswered for long.

    Any later answer of it clears that: then the connection is at fault.
    """
    limit_ms = pace.late_after_ms(upstream)
    return any(
        connection.phase is states.Phase.BUSY
        and now_ms - connection.sent_ms > limit_ms
        and upstream.heard_ms < connection.sent_ms
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
