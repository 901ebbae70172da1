"""Ask the members of a group what answers wait for.

That the primary leads is asked for all reads that wait for a proof together,
and who holds a write for all writes that wait to be acknowledged.
"""

from topazring.core.synchronous import confirmations
from topazring.core.synchronous import connections
from topazring.core.synchronous import exchanges
from topazring.core.synchronous import freshness
from topazring.core.synchronous import messages
from topazring.core.synchronous import proofs
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'SILENT_MS',
    'WITNESS_SAMPLE_INTERVAL_MS',
    'send_queries',
    'send_leadership_check',
]

# A member that has left a question unanswered for so long is not waited for:
# the others are asked for their terms. Answers take a few ms, and some ten
# behind a statement on the same connection.
SILENT_MS = 60
# Nobody is asked for its term more often: each question takes a slot.
WITNESS_INTERVAL_MS = 40
# Without a read that waits it is asked only for a sample, once the newest is
# so old, and then no more often than that. Staleness bounds in use begin at
# 1,500 ms.
WITNESS_SAMPLE_AGE_MS = 700
WITNESS_SAMPLE_INTERVAL_MS = 200
# Who holds a write is asked again after that long. Replicas receive within a
# few ms of each other.
HOLDER_INTERVAL_MS = 20


def send_queries(state: states.GroupState, now_ms: int) -> list[messages.Send]:
    """Send the questions whose answers are wanted, where one is not open."""
    if not state.primary:
        return []
    outs = _ask_holders(state, now_ms)
    if proofs.proven_until_ms(state) >= state.newest_needed_ms:
        return outs
    others = states.other_members(state)
    for upstream in others:
        if upstream.asked_ms >= state.newest_needed_ms:
            continue
        outs += send_leadership_check(state, now_ms, upstream)
    return outs + _ask_witnesses(state, now_ms, others)


def _ask_report(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> list[messages.Send]:
    """Ask a member for its word, if a connection to it is free."""
    free = states.idle_connections(state, upstream.name)
    if not free:
        return []
    upstream.asked_ms = upstream.status_asked_ms = now_ms
    errand = states.Purpose.STATUS_QUERY
    return [connections.send(free[0], now_ms, errand, exchanges.STATUS_QUERY)]


def send_leadership_check(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> list[messages.Send]:
    """Ask an upstream whether it leads, if a connection to it is free."""
    free = states.idle_connections(state, upstream.name)
    if not free:
        return []
    upstream.asked_ms = now_ms
    errand = states.Purpose.LEADERSHIP_CHECK
    return [
        connections.send(free[0], now_ms, errand, exchanges.LEADERSHIP_CHECK)
    ]


def _ask_holders(state: states.GroupState, now_ms: int) -> list[messages.Send]:
    """Ask who holds the writes that wait to be acknowledged."""
    waiting = confirmations.pending_confirmations(state)
    if not waiting:
        return []
    newest_ms = max(confirmation.confirmed_ms for confirmation in waiting)
    asked = states.other_members(state)
    if any(c.upstream != state.primary for c in waiting):
        # Whoever leads now may have begun with the write.
        asked.append(state.upstreams[state.primary])
    outs = []
    for upstream in asked:
        is_asked = upstream.status_asked_ms >= newest_ms
        if is_asked and now_ms - upstream.status_asked_ms < HOLDER_INTERVAL_MS:
            continue
        if not proofs.is_unreachable(state, now_ms, upstream):
            outs += _ask_report(state, now_ms, upstream)
    return outs


def _is_silent(
    state: states.GroupState, now_ms: int, late: list[states.Upstream]
) -> bool:
    """Say whether a member is silent that somebody waits for."""
    if not late or state.oldest_unproven_ms is None:
        return False
    waited_for = state.awaiting_proof or _needs_sample(state, now_ms)
    # In doubt reads are refused, so none waits that would have it asked.
    if not waited_for and not proofs.is_leadership_unproven(state, now_ms):
        return False
    if now_ms - state.oldest_unproven_ms >= SILENT_MS:
        return True
    return not all(
        connections.has_usable_connection(state, u.name) for u in late
    )


def _needs_sample(state: states.GroupState, now_ms: int) -> bool:
    newest_ms = freshness.newest_sample_ms(state)
    return newest_ms is None or now_ms - newest_ms >= WITNESS_SAMPLE_AGE_MS


def _ask_witnesses(
    state: states.GroupState,
    now_ms: int,
    others: list[states.Upstream],
) -> list[messages.Send]:
    """Ask the replicas that answer for their terms, if one is silent."""
    late = [
        u for u in others if u.begin_refused_sent_ms < state.newest_needed_ms
    ]
    if not _is_silent(state, now_ms, late):
        return []
    gap_ms = (
        WITNESS_INTERVAL_MS
        if state.awaiting_proof
        else WITNESS_SAMPLE_INTERVAL_MS
    )
    outs = []
    for upstream in others:
        if upstream.witness_sent_ms >= state.newest_needed_ms:
            continue
        if now_ms - upstream.witness_asked_ms < gap_ms:
            continue
        free = states.idle_connections(state, upstream.name)
        if free and not proofs.is_unreachable(state, now_ms, upstream):
            upstream.witness_asked_ms = now_ms
            errand = states.Purpose.STATUS_QUERY
            status = (statements.Status(),)
            outs.append(connections.send(free[0], now_ms, errand, status))
    return outs
