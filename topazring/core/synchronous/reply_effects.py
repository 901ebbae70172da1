"""Update a connection and the group's state after a reply."""

from topazring.core import log_positions
from topazring.core.synchronous import concurrency_limit
from topazring.core.synchronous import connections
from topazring.core.synchronous import freshness
from topazring.core.synchronous import position_records
from topazring.core.synchronous import proofs
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = ['note_acknowledged', 'note_confirmed', 'release_connection']


def release_connection(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    last: statements.Reply,
) -> list:
    """Release a connection outside any transaction, or close it otherwise."""
    connection.transaction = 0
    concurrency_limit.end_hold(state, now_ms, connection)
    if last.state is not statements.SessionState.IDLE:
        return list(connections.close_connection(state, connection))
    connections.mark_idle(connection, now_ms)
    upstream = states.upstream_of(state, connection)
    if upstream is None:
        return list(connections.close_connection(state, connection))
    # A promotion may still have to query the upstream.
    is_needed = state.promotion is not None or states.is_awaited_for_fencing(
        state, upstream.name
    )
    if states.is_closed_to_work(upstream, now_ms) and not is_needed:
        return list(connections.close_connection(state, connection))
    return []


def note_acknowledged(
    state: states.GroupState, confirmation: position_records.Confirmation
) -> None:
    """Record the position of a write that is acknowledged."""
    if confirmation.place is not None:
        state.acknowledged_until = max(
            state.acknowledged_until, confirmation.place
        )


def note_confirmed(
    state: states.GroupState, confirmation: position_records.Confirmation
) -> None:
    """Record a durable write.

    Entries are received in order. A log that contains the write therefore
    contains every entry that was in the primary's log before the write was
    sent, and all of these count as acknowledged.
    """
    note_acknowledged(state, confirmation)
    upstream = state.upstreams[confirmation.upstream]
    proofs.note_confirmed(upstream, confirmation.sent_ms)
    if proofs.is_superseded(state, upstream):
        return
    state.acknowledged = max(
        state.acknowledged, _lowest_position(confirmation)
    )
    if confirmation.place is not None:
        sample = log_positions.Sample(confirmation.sent_ms, confirmation.place)
        freshness.add_sample(state, sample)


def _lowest_position(
    confirmation: position_records.Confirmation,
) -> log_positions.LogPosition:
    """Return the lowest position that a confirmed write can have.

    It follows the last known position of its primary, which counts only if
    it is of the same term: an earlier log may have been longer.
    """
    before, place = confirmation.place_before, confirmation.place
    if place is None or place.log_term != before.log_term:
        return before
    return log_positions.LogPosition(before.log_term, before.position + 1)
