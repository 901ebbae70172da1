"""Take in requests: admit them, or refuse at once what would be too late."""

from topazring.core import outcomes
from topazring.core.synchronous import dispatch
from topazring.core.synchronous import fates
from topazring.core.synchronous import messages
from topazring.core.synchronous import proofs
from topazring.core.synchronous import prospects
from topazring.core.synchronous import state as states
from topazring.core.synchronous import waiting

__all__ = ['submit', 'withdraw']

Reason = outcomes.Reason

# Part of a request's time that its wait in line may be expected to take. The
# rest is for the statement itself and for an estimate that was too low.
WAIT_SHARE = 0.8
# When a caller whose request found the line full may come back: a line
# moves on by its whole length in about that time.
FULL_RETRY_MS = 150


def submit(
    state: states.GroupState, now_ms: int, message: messages.Submit
) -> list:
    """Take in a request and serve it if anything is free."""
    request = message.request
    deadline_ms = request.arrived_ms + request.policy.timeout_ms
    work = states.Work(request, deadline_ms)
    state.work[request.key] = work
    if request.goes_on:
        return dispatch.continue_transaction(state, now_ms, work)
    work.primary_only = dispatch.needs_primary(request)
    if work.primary_only:
        hopeless = prospects.judge(
            state, now_ms, deadline_ms, proofs.needs_proof(request)
        )
        if hopeless is not None:
            return fates.give_up(
                state,
                now_ms,
                work,
                hopeless.reason,
                hopeless.retry_after_ms,
            )
    wait_ms = _expected_wait(state, work)
    if wait_ms > (deadline_ms - now_ms) * WAIT_SHARE:
        return fates.give_up(
            state, now_ms, work, Reason.OVERLOAD, int(wait_ms / 2)
        )
    left_out = waiting.add(state, work)
    outs = dispatch.run(state, now_ms)
    if left_out is not None and left_out in state.work:
        last = state.work[left_out]
        last.queued = False
        outs += fates.give_up(
            state, now_ms, last, Reason.BACKLOG, FULL_RETRY_MS
        )
    return outs


def _expected_wait(state: states.GroupState, work: states.Work) -> float:
    """Estimate the wait for a connection from the line ahead."""
    priority = work.request.policy.priority
    ahead = waiting.ahead_of(state, work.primary_only, priority)
    if not ahead:
        return 0.0
    names = [state.primary] if work.primary_only else list(state.upstreams)
    rate = 0.0
    for name in names:
        upstream = state.upstreams.get(name)
        if upstream is not None:
            rate += state.connection_share / max(1.0, upstream.service_ms)
    return ahead / rate if rate else 0.0


def withdraw(
    state: states.GroupState, now_ms: int, message: messages.Withdraw
) -> list:
    """Undo a transaction whose session is gone or rolled it back."""
    transaction = state.transactions.pop(message.transaction, None)
    if transaction is None:
        return []
    connection = state.connections.get(transaction.connection)
    if connection is None:
        return []
    return dispatch.undo(state, now_ms, connection)
