"""Expiry of requests and transactions, and early failure of requests."""

from topazring.core import completion
from topazring.core import messages
from topazring.core import outcomes
from topazring.core import state as states

__all__ = [
    'UNREACHABLE_MS',
    'abandon',
    'expire',
    'fail_primary_requests',
    'is_primary_unreachable',
    'withdraw',
]

Out = list
Reason = outcomes.Reason

# How long the primary may be unreachable from here before requests that need
# it are failed, so that they are retried at another owner.
UNREACHABLE_MS = 400


def is_primary_unreachable(state: states.OwnerState, now_ms: int) -> bool:
    """Return whether a live primary has been unreachable for long."""
    since_ms = state.unreachable_since_ms
    return since_ms is not None and now_ms - since_ms >= UNREACHABLE_MS


def fail_primary_requests(state: states.OwnerState, now_ms: int) -> Out:
    """Fail waiting requests for a primary that only other owners can reach.

    Without this, requests wait here until their deadlines although another
    owner could serve them at once.
    """
    outs: Out = []
    for work in list(state.work.values()):
        is_waiting = work.phase is states.Phase.QUEUED
        queue = completion.queue_for(state, work.request, work.primary_only)
        is_urgent = work.request.key in state.urgent
        if is_waiting and (is_urgent or queue is state.primary_queue):
            outs += completion.give_up(
                state, work, Reason.NO_PRIMARY, UNREACHABLE_MS
            )
    return outs


def expire(state: states.OwnerState, now_ms: int) -> Out:
    """Answer expired requests and end expired transactions."""
    outs: Out = []
    for work in list(state.work.values()):
        if now_ms >= work.request.deadline_ms:
            outs += _expire_work(state, work)
    for key, transaction in list(state.transactions.items()):
        if now_ms >= transaction.deadline_ms and not transaction.busy:
            outs += withdraw(state, now_ms, messages.Withdraw(key))
    return outs


def abandon(
    state: states.OwnerState, now_ms: int, message: messages.Abandon
) -> Out:
    """Answer all pending requests with what is known here.

    The entry resolves those in doubt through another owner or the next task
    of this database. Without an answer it would wait forever.
    """
    outs: Out = []
    for work in list(state.work.values()):
        if work.phase is not states.Phase.QUEUED:
            work.maybe_ran = True
        outs += completion.give_up(state, work, Reason.DRAINING, 0)
    for key in list(state.transactions):
        outs += withdraw(state, now_ms, messages.Withdraw(key))
    return outs


def _expire_work(state: states.OwnerState, work: states.Work) -> Out:
    if work.phase is states.Phase.CONFIRMING:
        work.maybe_ran = True
        return completion.give_up(state, work, Reason.NOT_CONFIRMED, 0)
    if work.phase is states.Phase.RUNNING:
        work.maybe_ran = True
        outs = completion.give_up(state, work, Reason.UPSTREAM_TIMEOUT, 0)
        key = work.request.transaction
        if state.transactions.pop(key, None) is not None:
            outs.append(messages.CloseTransaction(key))
        return outs
    reason = work.last_reason
    if work.attempt == 0 and state.view.primary:
        reason = Reason.DEADLINE
    return completion.give_up(
        state, work, reason, completion.MIN_RETRY_AFTER_MS
    )


def withdraw(
    state: states.OwnerState, now_ms: int, message: messages.Withdraw
) -> Out:
    """Roll back a transaction whose session ended."""
    transaction = state.transactions.pop(message.transaction, None)
    if transaction is None:
        return []
    return [messages.CloseTransaction(message.transaction)]
