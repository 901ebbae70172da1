"""Expire late requests and silent connections; hedge slow reads."""

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
from topazring.core.synchronous.scheduling import organisation_shares
from topazring.core.synchronous import state as states

__all__ = ['expire', 'expire_connections']

Reason = outcomes.Reason

# Retry delay for a request that found no primary: a promotion takes some
# hundred ms, and finding the new primary a few more.
NO_PRIMARY_RETRY_MS = 400
RETRY_MS = 100
# A connection whose commands have been unanswered for this long is considered
# dead; the longest statement takes a fifth of it.
SILENT_MS = 1500
# Shorter timeout for a connection whose request has been answered already, as
# it only keeps waiting requests from running.
SILENT_ABANDONED_MS = 400
# Leadership checks take no slot, so their replies are never slow.
SILENT_CHECK_MS = 400
MAX_HEDGES = 2
# A confirmed write waits this long for the report of a member that makes it
# durable, even past its deadline: by then the members have been queried again,
# and most callers still accept the answer.
CONFIRMATION_GRACE_MS = 50


def expire(state: states.GroupState, now_ms: int) -> list:
    """Expire late requests, and hedge reads that take unusually long."""
    outs: list = _roll_back_idle(state, now_ms)
    outs += organisation_shares.report(state, now_ms)
    for work in list(state.work.values()):
        if now_ms >= _expires_ms(work):
            outs += _expire_request(state, now_ms, work)
        elif work.unproven_answer is not None:
            outs += _give_up_unproven(state, now_ms, work)
        elif work.is_queued and work.primary_only:
            outs += _refuse_early(state, now_ms, work)
        elif work.running and _is_stuck_at_old_primary(state, now_ms, work):
            outs += _abort(state, now_ms, work, Reason.REPLACED)
        elif state.isolated_with and _is_unconfirmed(state, now_ms, work):
            outs += _abort(state, now_ms, work, Reason.NOT_CONFIRMED)
        elif work.running and _is_slow(state, now_ms, work):
            outs += dispatch.hedge(state, now_ms, work)
    return outs


def _expires_ms(work: states.Work) -> int:
    """Return the time at which a request expires at the latest."""
    if work.confirmation is None:
        return work.deadline_ms
    return max(
        work.deadline_ms,
        work.confirmation.confirmed_ms + CONFIRMATION_GRACE_MS,
    )


def _roll_back_idle(state: states.GroupState, now_ms: int) -> list:
    """Roll back transactions that their callers left idle for too long.

    Each holds a connection that other requests wait for. The caller is
    informed by the refusal of its next statement.
    """
    outs: list = []
    for transaction in list(state.transactions.values()):
        connection = state.connections[transaction.connection]
        if connection.phase is not states.Phase.IDLE:
            continue
        idle_ms = now_ms - connection.idle_since_ms
        if idle_ms < transaction.idle_limit_ms:
            continue
        outs += _end_rest(state, now_ms, connection, {})
    for connection in organisation_shares.end_long_rests(state, now_ms):
        state.counters['transaction_idle_contended'] += 1
        inputs = {'organisation': connection.organisation}
        outs += _end_rest(state, now_ms, connection, inputs)
    return outs


def _end_rest(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    inputs: dict[str, object],
) -> list:
    """Roll back the transaction of a connection whose caller rests.

    It is forgotten at once, so that its caller's next statement is refused
    whatever becomes of the rollback: what was not committed is not kept.
    """
    del state.transactions[connection.transaction]
    state.counters['transaction_idle'] += 1
    inputs = {
        'upstream': connection.upstream,
        'idle_ms': now_ms - connection.idle_since_ms,
        **inputs,
    }
    ended = messages.LogDecision('transaction idle', inputs=inputs)
    return [ended, *dispatch.roll_back(state, now_ms, connection)]


def _expire_request(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list:
    if completion.may_have_run(state, work):
        is_unproven = work.unproven_answer is not None
        reason = Reason.UNPROVEN if is_unproven else Reason.UPSTREAM_TIMEOUT
        return completion.give_up(
            state, now_ms, work, reason, RETRY_MS, maybe_ran=True
        )
    retry_ms = RETRY_MS if state.primary else NO_PRIMARY_RETRY_MS
    reason = work.last_reason if not state.primary else Reason.DEADLINE
    return completion.give_up(state, now_ms, work, reason, retry_ms)


def _refuse_early(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list:
    refusal = primary_availability.early_refusal(state, now_ms, work)
    if refusal is None:
        return []
    return completion.give_up(
        state, now_ms, work, refusal.reason, refusal.retry_after_ms
    )


def _give_up_unproven(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list:
    """Give up a held answer if this proxy cannot obtain what it waits for."""
    if work.confirmation is not None:
        waited_ms = now_ms - work.confirmation.sent_ms
        is_cut_off = confirmations.are_replicas_unreachable(state, now_ms)
        if not is_cut_off or waited_ms < proofs.UNPROVEN_AFTER_MS:
            return []
    elif not proofs.is_leadership_unproven(state, now_ms):
        return []
    retry_ms = primary_availability.OTHER_PROXY_RETRY_MS
    return completion.give_up(
        state, now_ms, work, Reason.UNPROVEN, retry_ms, maybe_ran=True
    )


def _is_stuck_at_old_primary(
    state: states.GroupState, now_ms: int, work: states.Work
) -> bool:
    """Return whether a request is stuck at a primary that was replaced.

    Without this check a caller would wait until its deadline for an answer
    that cannot arrive: the old primary never answers what it had not answered
    by then.
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
        received_ms = 0 if upstream is None else upstream.last_received_ms
        if received_ms > connection.sent_ms:
            return False
        if now_ms - connection.sent_ms < failure_detection.SILENT_MS:
            return False
    return True


def _is_unconfirmed(
    state: states.GroupState, now_ms: int, work: states.Work
) -> bool:
    """Return whether a write hangs at a primary isolated with this proxy.

    It must not be acknowledged here once another upstream leads on the other
    side of the partition.
    """
    return any(
        failure_detection.waits_for_replica(state.connections[number])
        and now_ms - state.connections[number].sent_ms >= isolation.HANGING_MS
        for number in work.running
    )


def _abort(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    reason: outcomes.Reason,
) -> list:
    """Give up a request and close the connections that run it."""
    maybe_ran = completion.may_have_run(state, work)
    outs = completion.give_up(
        state, now_ms, work, reason, 0, maybe_ran=maybe_ran
    )
    for number in list(work.running):
        connection = state.connections.get(number)
        # The connection of a transaction was closed with the transaction.
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
            # The primary that the request was sent to has been replaced.
            continue
        took_ms = now_ms - connection.sent_ms
        if took_ms <= concurrency_limit.late_after_ms(upstream):
            return False
    return True


def expire_connections(state: states.GroupState, now_ms: int) -> list:
    """Close silent connections and process them as if the peer had closed."""
    outs: list = []
    for connection in list(state.connections.values()):
        if connection.phase is states.Phase.IDLE:
            continue
        waited_ms = now_ms - max(connection.sent_ms, state.resumed_ms)
        if waited_ms < _silence_timeout_ms(state, connection):
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


def _silence_timeout_ms(
    state: states.GroupState, connection: states.Connection
) -> int:
    if connection.phase is states.Phase.OPENING:
        return connections.DIAL_TIMEOUT_MS
    if connection.purpose in (
        states.Purpose.LEADERSHIP_CHECK,
        states.Purpose.BEGIN_TRANSACTION,
        states.Purpose.SESSION_SETUP,
    ):
        return SILENT_CHECK_MS
    if connection.work and connection.work not in state.work:
        return SILENT_ABANDONED_MS
    return SILENT_MS
