"""End what has run out of time; try slow reads elsewhere."""

from topazring.core import outcomes
from topazring.core.synchronous import completion
from topazring.core.synchronous import concurrency_limit
from topazring.core.synchronous import confirmations
from topazring.core.synchronous import connections
from topazring.core.synchronous import dispatch
from topazring.core.synchronous import failure_detection
from topazring.core.synchronous import isolation
from topazring.core.synchronous import messages
from topazring.core.synchronous import primary_availability
from topazring.core.synchronous import proofs
from topazring.core.synchronous import results
from topazring.core.synchronous import state as states

__all__ = ['expire', 'expire_connections']

Reason = outcomes.Reason

# When a caller may come back whose request found no primary: a promotion
# takes some hundred ms and finding the new primary a few more.
NO_PRIMARY_RETRY_MS = 400
RETRY_MS = 100
# A connection whose commands have gone unanswered for so long carries
# nothing any more; the longest statement takes a fifth of it.
SILENT_MS = 1500
# One whose request has its answer already holds up those that wait.
SILENT_ABANDONED_MS = 400
# Guards take no slot, so their answer is never slow.
SILENT_CHECK_MS = 400
MAX_HEDGES = 2
# A confirmed write waits so long for a member's word, also past its deadline:
# members are asked again by then, and most callers still take the answer.
CONFIRMATION_GRACE_MS = 50


def expire(state: states.GroupState, now_ms: int) -> list:
    """Give up what is late, and hedge reads that take unusually long."""
    outs: list = _undo_idle(state, now_ms)
    for work in list(state.work.values()):
        if now_ms >= _ends_ms(work):
            outs += _too_late(state, now_ms, work)
        elif work.unproven_answer is not None:
            outs += _unproved(state, now_ms, work)
        elif work.is_queued and work.primary_only:
            outs += _hopeless(state, now_ms, work)
        elif work.running and _is_stranded(state, now_ms, work):
            outs += _let_go(state, now_ms, work, Reason.REPLACED)
        elif state.isolated_with and _is_unconfirmed(state, now_ms, work):
            outs += _let_go(state, now_ms, work, Reason.NOT_CONFIRMED)
        elif work.running and _is_slow(state, now_ms, work):
            outs += dispatch.hedge(state, now_ms, work)
    return outs


def _ends_ms(work: states.Work) -> int:
    """Return when a request is given up at the latest."""
    if work.confirmation is None:
        return work.deadline_ms
    return max(
        work.deadline_ms,
        work.confirmation.confirmed_ms + CONFIRMATION_GRACE_MS,
    )


def _undo_idle(state: states.GroupState, now_ms: int) -> list:
    """Undo transactions whose callers left them idle for too long.

    Each holds a connection that others wait for. The caller learns of it by
    its next statement.
    """
    outs: list = []
    for key, transaction in list(state.transactions.items()):
        connection = state.connections[transaction.connection]
        if connection.phase is not states.Phase.IDLE:
            continue
        idle_ms = now_ms - connection.idle_since_ms
        if idle_ms < transaction.idle_limit_ms:
            continue
        del state.transactions[key]
        state.counters['transaction_idle'] += 1
        inputs = {'upstream': connection.upstream, 'idle_ms': idle_ms}
        outs.append(messages.LogDecision('transaction idle', inputs=inputs))
        outs += dispatch.roll_back(state, now_ms, connection)
    return outs


def _too_late(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list:
    if completion.may_have_run(work):
        unproven = work.unproven_answer is not None
        reason = Reason.UNPROVEN if unproven else Reason.UPSTREAM_TIMEOUT
        return completion.give_up(
            state, now_ms, work, reason, RETRY_MS, maybe_ran=True
        )
    retry_ms = RETRY_MS if state.primary else NO_PRIMARY_RETRY_MS
    reason = work.last_reason if not state.primary else Reason.DEADLINE
    return completion.give_up(state, now_ms, work, reason, retry_ms)


def _hopeless(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list:
    hopeless = primary_availability.early_refusal(state, now_ms, work)
    if hopeless is None:
        return []
    return completion.give_up(
        state, now_ms, work, hopeless.reason, hopeless.retry_after_ms
    )


def _unproved(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list:
    """Give up an answer that waits for what cannot be had from here."""
    if work.confirmation is not None:
        waited_ms = now_ms - work.confirmation.sent_ms
        alone = confirmations.are_replicas_unreachable(state, now_ms)
        if not alone or waited_ms < proofs.UNPROVEN_AFTER_MS:
            return []
    elif not proofs.is_leadership_unproven(state, now_ms):
        return []
    retry_ms = primary_availability.OTHER_PROXY_RETRY_MS
    return completion.give_up(
        state, now_ms, work, Reason.UNPROVEN, retry_ms, maybe_ran=True
    )


def _is_stranded(
    state: states.GroupState, now_ms: int, work: states.Work
) -> bool:
    """Say whether a request hangs at a primary that was replaced.

    Without this a caller waits for its whole time for an answer that cannot
    come: what the old primary had not answered by then it never will.
    """
    request = work.request
    if request.read_only or not (request.writes or request.transaction):
        return False
    if not state.primary or state.primary != state.proven_primary:
        return False
    for number in work.running:
        connection = state.connections[number]
        upstream = state.upstreams.get(connection.upstream)
        if connection.upstream == state.primary:
            return False
        heard_ms = 0 if upstream is None else upstream.last_received_ms
        if heard_ms > connection.sent_ms:
            return False
        if now_ms - connection.sent_ms < failure_detection.SILENT_MS:
            return False
    return True


def _is_unconfirmed(
    state: states.GroupState, now_ms: int, work: states.Work
) -> bool:
    """Say whether a write hangs at a primary that this proxy is cut off with.

    It must not be acknowledged here once another leads on the other side.
    """
    return any(
        failure_detection.waits_for_replica(state.connections[number])
        and now_ms - state.connections[number].sent_ms >= isolation.HANGING_MS
        for number in work.running
    )


def _let_go(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    reason: outcomes.Reason,
) -> list:
    """Give up a request whose connections are of no more use."""
    outs = completion.give_up(state, now_ms, work, reason, 0, maybe_ran=True)
    for number in list(work.running):
        connection = state.connections.get(number)
        # A transaction's went with it.
        if connection is not None:
            outs += connections.close_connection(state, connection)
    return outs


def _is_slow(state: states.GroupState, now_ms: int, work: states.Work) -> bool:
    request = work.request
    if request.writes or request.transaction or work.hedges >= MAX_HEDGES:
        return False
    for number in work.running:
        connection = state.connections[number]
        upstream = state.upstreams.get(connection.upstream)
        if upstream is None:
            continue
        if work.primary_only and connection.upstream != state.primary:
            # The primary that it was sent to is replaced.
            continue
        took_ms = now_ms - connection.sent_ms
        if took_ms <= concurrency_limit.late_after_ms(upstream):
            return False
    return True


def expire_connections(state: states.GroupState, now_ms: int) -> list:
    """Close connections that went silent, as if the other end had."""
    outs: list = []
    for connection in list(state.connections.values()):
        if connection.phase is states.Phase.IDLE:
            continue
        waited_ms = now_ms - max(connection.sent_ms, state.resumed_ms)
        if waited_ms < _patience(state, connection):
            continue
        outs.append(messages.Close(connection.number))
        outs.append(
            messages.LogDecision(
                'connection silent',
                inputs={
                    'upstream': connection.upstream,
                    'errand': str(connection.purpose),
                    'phase': str(connection.phase),
                    'for_ms': now_ms - connection.sent_ms,
                },
            )
        )
        ended = messages.Closed(connection.number, Reason.SILENT)
        outs += results.handle_closed(state, now_ms, connection, ended)
    return outs


def _patience(state: states.GroupState, connection: states.Connection) -> int:
    if connection.phase is states.Phase.OPENING:
        return connections.DIAL_TIMEOUT_MS
    if connection.purpose in (
        states.Purpose.LEADERSHIP_CHECK,
        states.Purpose.BEGIN_TRANSACTION,
    ):
        return SILENT_CHECK_MS
    if connection.work and connection.work not in state.work:
        return SILENT_ABANDONED_MS
    return SILENT_MS
