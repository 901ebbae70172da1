"""Take in what upstreams did with requests."""

from topazring.core import completion
from topazring.core import log_positions
from topazring.core import messages
from topazring.core import outcomes
from topazring.core import requests
from topazring.core import retries
from topazring.core import rounds
from topazring.core import routing
from topazring.core import state as states
from topazring.core import view as views

__all__ = [
    'complete_confirmed',
    'handle_executed',
]

Out = list
Reason = outcomes.Reason
Kind = requests.Kind

BUSY_PAUSE_MS = 5
REPLACED_PAUSE_MS = 10
UNREACHED_PAUSE_MS = 50


def handle_executed(
    state: states.OwnerState, now_ms: int, message: messages.Executed
) -> Out:
    """Take in what an upstream did with a request."""
    state.in_flight[message.upstream] -= 1
    work = state.work.get(message.key)
    if work is None or work.attempt != message.attempt:
        return _late(state, message)
    match message.result:
        case messages.Ran():
            return _ran(state, now_ms, work, message.result)
        case messages.Refused():
            return _refused(state, now_ms, work, message.result)
        case messages.SqlFailed():
            return _sql_failed(state, work, message.result)
        case messages.ConnectionLost():
            return _lost(state, now_ms, work, message.result)


def _late(state: states.OwnerState, message: messages.Executed) -> Out:
    """Drop a result whose request already has its final answer.

    A transaction that began after its caller was answered has no one to
    end it; its connection would stay taken until its own deadline.
    """
    state.counters['late_result'] += 1
    if message.key in state.transactions:
        return []
    return [messages.CloseTransaction(message.key)]


def _ran(
    state: states.OwnerState,
    now_ms: int,
    work: states.Work,
    result: messages.Ran,
) -> Out:
    state.service_ms += (now_ms - work.sent_ms - state.service_ms) * 0.05
    state.service_ms = max(0.2, state.service_ms)
    retries.earn(state.budget)
    seen = state.view.upstreams[work.upstream]
    if result.accepted_term == seen.accepted_term:
        seen.place = max(seen.place, result.place)
    if work.at_replica:
        return _ran_at_replica(state, now_ms, work, result)
    kind = work.request.kind
    if kind is Kind.BEGIN:
        return _began(state, work)
    if kind is Kind.EXECUTE:
        transaction = state.transactions.get(work.request.transaction)
        if transaction is None:
            # It was withdrawn or timed out while this statement ran.
            return completion.fail_lost_transaction(state, work)
        transaction.busy = False
        done = outcomes.Done(result.rows, log_positions.ORIGIN, work.upstream)
        return completion.finish(state, work, done)
    if kind in completion.IN_TRANSACTION:
        state.transactions.pop(work.request.transaction, None)
    if kind is Kind.ROLLBACK:
        done = outcomes.Done([], log_positions.ORIGIN, work.upstream)
        return completion.finish(state, work, done)
    work.result = result
    if work.term != state.view.term:
        return completion.resolve_in_doubt(
            state, now_ms, work, Reason.REPLACED
        )
    work.phase = states.Phase.CONFIRMING
    rounds.add_waiter(
        state.round_state, work.request.key, result.place, work.sent_ms
    )
    return []


def _ran_at_replica(
    state: states.OwnerState,
    now_ms: int,
    work: states.Work,
    result: messages.Ran,
) -> Out:
    valid = routing.valid_at_replica(state.view, result)
    if not valid:
        work.primary_only = True
        return completion.requeue(
            state, now_ms, work, Reason.NOT_CONFIRMED, False
        )
    state.counters['replica_reads'] += 1
    done = outcomes.Done(result.rows, result.place, work.upstream)
    return completion.finish(state, work, done)


def _began(state: states.OwnerState, work: states.Work) -> Out:
    request = work.request
    state.transactions[request.key] = states.Transaction(
        work.upstream,
        work.term,
        work.arrived_ms + request.profile.transaction_deadline_ms,
        request.organisation,
    )
    done = outcomes.Done([], log_positions.ORIGIN, work.upstream)
    return completion.finish(state, work, done)


def _refused(
    state: states.OwnerState,
    now_ms: int,
    work: states.Work,
    result: messages.Refused,
) -> Out:
    reason = result.reason
    if reason is Reason.REQUEST_ID_TOO_OLD:
        return completion.finish(
            state, work, outcomes.Rejected(reason, work.request.request_id)
        )
    if reason is Reason.REPLICA_BEHIND:
        work.primary_only = True
        return completion.requeue(state, now_ms, work, reason, False)
    if reason in (Reason.SLOTS_BUSY, Reason.CONNECTION_LIMIT):
        state.busy_until_ms[work.upstream] = now_ms + BUSY_PAUSE_MS
        return completion.requeue(state, now_ms, work, reason, False)
    if (
        work.request.kind in completion.IN_TRANSACTION
        and not work.is_resolving
    ):
        return _lose_transaction(state, work, reason)
    if reason is Reason.CONFLICT:
        return completion.finish(
            state, work, completion.make_refusal(reason, 0)
        )
    state.busy_until_ms[work.upstream] = now_ms + REPLACED_PAUSE_MS
    return completion.requeue(state, now_ms, work, reason, False)


def _lose_transaction(
    state: states.OwnerState, work: states.Work, reason: Reason
) -> Out:
    """End a transaction whose connection is closed: it rolls back there."""
    key = work.request.transaction
    state.transactions.pop(key, None)
    if reason is not Reason.CONFLICT:
        reason = Reason.TRANSACTION_LOST
    outs: Out = [messages.CloseTransaction(key)]
    if work.request.kind is Kind.ROLLBACK:
        done = outcomes.Done([], log_positions.ORIGIN, work.upstream)
        return outs + completion.finish(state, work, done)
    return outs + completion.finish(
        state, work, completion.make_refusal(reason, 0)
    )


def _sql_failed(
    state: states.OwnerState, work: states.Work, result: messages.SqlFailed
) -> Out:
    transaction = state.transactions.get(work.request.transaction)
    if transaction is not None:
        transaction.busy = False
    return completion.finish(
        state, work, outcomes.Rejected(Reason.BAD_STATEMENT, result.detail)
    )


def _lost(
    state: states.OwnerState,
    now_ms: int,
    work: states.Work,
    result: messages.ConnectionLost,
) -> Out:
    kind = work.request.kind
    if kind in (Kind.EXECUTE, Kind.ROLLBACK):
        return _lose_transaction(state, work, result.reason)
    if kind is Kind.COMMIT:
        state.transactions.pop(work.request.transaction, None)
        if not result.sent and not work.is_resolving:
            return _lose_transaction(state, work, result.reason)
    if not result.sent:
        # No upstream was given work, so no budget is spent; the pause keeps
        # a dead primary from being dialled in a tight loop.
        state.busy_until_ms[work.upstream] = now_ms + UNREACHED_PAUSE_MS
        return completion.requeue(state, now_ms, work, result.reason, False)
    if kind in requests.RECORDED_KINDS:
        return completion.resolve_in_doubt(state, now_ms, work, result.reason)
    if kind is Kind.READ:
        work.maybe_ran = True
        work.primary_only = False
    return completion.requeue(state, now_ms, work, result.reason, True)


def complete_confirmed(
    state: states.OwnerState, now_ms: int, waiter: rounds.Waiter
) -> Out:
    """Answer a request whose place a majority holds."""
    if waiter.needs_position:
        state.view.committed = max(state.view.committed, waiter.place)
    sample = log_positions.Sample(waiter.sent_ms, waiter.place)
    views.add_sample(state.view, sample)
    work = state.work.get(waiter.key)
    if work is None or work.result is None:
        return []
    result = work.result
    if result.cancelled:
        return completion.finish(
            state, work, completion.make_refusal(Reason.CANCELLED, 0)
        )
    if work.request.kind is Kind.READ:
        state.counters['primary_reads'] += 1
    return completion.finish(
        state,
        work,
        outcomes.Done(
            result.rows, result.place, work.upstream, result.repeated
        ),
    )
