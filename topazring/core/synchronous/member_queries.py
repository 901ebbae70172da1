"""Send the queries to a group's members that pending results wait for.

One round of leadership checks serves all reads that wait for a leadership
proof, and one round of status queries serves all writes that wait to be
acknowledged.
"""

from topazring.core.synchronous import confirmations
from topazring.core.synchronous import connections
from topazring.core.synchronous import exchanges
from topazring.core.synchronous import freshness
from topazring.core.synchronous import messages
from topazring.core.synchronous import process_runs
from topazring.core.synchronous import proofs
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'SILENT_MS',
    'WITNESS_SAMPLE_INTERVAL_MS',
    'check_member',
    'send_leadership_check',
    'send_queries',
]

# If a member has left a query unanswered for this long, the other members are
# queried for their terms instead. Replies take a few ms, and some 10 ms behind
# a statement on the same connection.
SILENT_MS = 60
# Minimum interval between term queries to a member; each query takes a slot.
WITNESS_INTERVAL_MS = 40
# While no read waits, terms are queried only to obtain a sample, once the
# newest sample has this age, and at this interval. Staleness bounds in use
# begin at 1,500 ms.
WITNESS_SAMPLE_AGE_MS = 700
WITNESS_SAMPLE_INTERVAL_MS = 200
# Interval between queries for which members have a write. Replicas receive it
# within a few ms of each other.
HOLDER_INTERVAL_MS = 20


def send_queries(state: states.GroupState, now_ms: int) -> list[messages.Send]:
    """Send the needed queries, except where one is already in flight."""
    if not state.primary:
        return []
    outs = _query_holders(state, now_ms)
    if proofs.proven_until_ms(state) >= state.newest_needed_ms:
        return outs
    others = states.other_members(state)
    for upstream in others:
        if upstream.asked_ms >= state.newest_needed_ms:
            continue
        outs += check_member(state, now_ms, upstream)
    return outs + _query_witnesses(state, now_ms, others)


def check_member(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> list[messages.Send]:
    """Send a member the query whose reply proves that it does not lead."""
    is_replica = bool(state.primary) and upstream.name != state.primary
    if is_replica and proofs.must_query_terms(state):
        return _query_report(state, now_ms, upstream)
    return send_leadership_check(state, now_ms, upstream)


def _query_report(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> list[messages.Send]:
    """Query a member's status report, if a connection to it is free."""
    free = states.idle_connections(state, upstream.name)
    if not free:
        return []
    upstream.asked_ms = upstream.status_asked_ms = now_ms
    purpose = states.Purpose.STATUS_QUERY
    connection = process_runs.longest_run(free)
    return [
        connections.send(connection, now_ms, purpose, exchanges.STATUS_QUERY)
    ]


def send_leadership_check(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> list[messages.Send]:
    """Send an upstream a leadership check, if a connection to it is free."""
    free = states.idle_connections(state, upstream.name)
    if not free:
        return []
    upstream.asked_ms = now_ms
    purpose = states.Purpose.LEADERSHIP_CHECK
    connection = process_runs.longest_run(free)
    return [
        connections.send(
            connection, now_ms, purpose, exchanges.LEADERSHIP_CHECK
        )
    ]


def _query_holders(
    state: states.GroupState, now_ms: int
) -> list[messages.Send]:
    """Query which members have the writes that wait to be acknowledged."""
    waiting = confirmations.pending_confirmations(state)
    if not waiting:
        return []
    newest_ms = max(confirmation.confirmed_ms for confirmation in waiting)
    queried = states.other_members(state)
    if any(c.upstream != state.primary for c in waiting):
        # The present primary may have begun with the write.
        queried.append(state.upstreams[state.primary])
    outs = []
    for upstream in queried:
        is_queried = upstream.status_asked_ms >= newest_ms
        if (
            is_queried
            and now_ms - upstream.status_asked_ms < HOLDER_INTERVAL_MS
        ):
            continue
        if not proofs.is_unreachable(state, now_ms, upstream):
            outs += _query_report(state, now_ms, upstream)
    return outs


def _is_delayed_by_silence(
    state: states.GroupState, now_ms: int, late: list[states.Upstream]
) -> bool:
    """Return whether a silent member delays a read or a sample."""
    if not late or state.oldest_unproven_ms is None:
        return False
    is_awaited = state.awaiting_proof or _needs_sample(state, now_ms)
    # While the leadership is unproven reads are refused, so no waiting read
    # would cause the term queries that can end that state.
    if not is_awaited and not proofs.is_leadership_unproven(state, now_ms):
        return False
    if now_ms - state.oldest_unproven_ms >= SILENT_MS:
        return True
    return not all(
        connections.has_usable_connection(state, u.name) for u in late
    )


def _needs_sample(state: states.GroupState, now_ms: int) -> bool:
    newest_ms = freshness.newest_sample_ms(state)
    return newest_ms is None or now_ms - newest_ms >= WITNESS_SAMPLE_AGE_MS


def _query_witnesses(
    state: states.GroupState,
    now_ms: int,
    others: list[states.Upstream],
) -> list[messages.Send]:
    """Query the terms of reachable replicas if another member is silent."""
    late = [
        u for u in others if u.begin_refused_sent_ms < state.newest_needed_ms
    ]
    if not _is_delayed_by_silence(state, now_ms, late):
        return []
    interval_ms = (
        WITNESS_INTERVAL_MS
        if state.awaiting_proof
        else WITNESS_SAMPLE_INTERVAL_MS
    )
    outs = []
    for upstream in others:
        if upstream.witness_sent_ms >= state.newest_needed_ms:
            continue
        if now_ms - upstream.witness_asked_ms < interval_ms:
            continue
        free = states.idle_connections(state, upstream.name)
        if free and not proofs.is_unreachable(state, now_ms, upstream):
            upstream.witness_asked_ms = now_ms
            purpose = states.Purpose.STATUS_QUERY
            status = (statements.Status(),)
            outs.append(connections.send(free[0], now_ms, purpose, status))
    return outs
