"""End what is past its time or can be served only elsewhere."""

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

# So long the primary may be unreachable from here before work goes back.
UNREACHABLE_MS = 400


def is_primary_unreachable(state: states.OwnerState, now_ms: int) -> bool:
    """Say whether this owner has long failed to reach a live primary."""
    since_ms = state.unreachable_since_ms
    return since_ms is not None and now_ms - since_ms >= UNREACHABLE_MS


def fail_primary_requests(state: states.OwnerState, now_ms: int) -> Out:
    """Give back what needs a primary that only others can reach.

    The symptom without it: requests wait here to their deadlines while
    another owner could have served them at once.
    """
    outs: Out = []
    for work in list(state.work.values()):
        waits = work.phase is states.Phase.QUEUED
        queue = completion.queue_for(state, work.request, work.primary_only)
        urgent = work.request.key in state.urgent
        if waits and (urgent or queue is state.primary_queue):
            outs += completion.give_up(
                state, work, Reason.NO_PRIMARY, UNREACHABLE_MS
            )
    return outs


def expire(state: states.OwnerState, now_ms: int) -> Out:
    """Answer what is past its deadline; end what holds on too long."""
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
    """Answer all that is in hand as far as it is known here.

    The entry finds out the rest from another owner, or from this database's
    next task: without an answer it would wait to the end of time.
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
    """Roll back a transaction whose caller is gone."""
    transaction = state.transactions.pop(message.transaction, None)
    if transaction is None:
        return []
    return [messages.CloseTransaction(message.transaction)]
