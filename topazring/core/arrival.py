"""Admit a request or refuse it at once."""

from topazring.core import admission
from topazring.core import completion
from topazring.core import expiry
from topazring.core import messages
from topazring.core import outcomes
from topazring.core import requests
from topazring.core import state as states
from topazring.core import view as views

__all__ = [
    'majority_lag',
    'check_deadline',
    'submit',
    'usual_lag_ms',
]

Out = list
Reason = outcomes.Reason
Kind = requests.Kind

# A wait is taken to be that much longer than estimated: who is admitted
# and then too late has waited for nothing.
CAUTION = 1.25
# Time that has to be left, as a multiple of what is usually needed.
TIGHT = 1.5
# Replicas whose lag is so many times a statement's time are the cause.
LAG_IS_CAUSE = 10


def submit(
    state: states.OwnerState, now_ms: int, message: messages.Submit
) -> Out:
    """Admit a request or refuse it at once."""
    request = message.request
    work = states.Work(request, now_ms, maybe_ran=request.repeat)
    state.work[request.key] = work
    if request.kind is Kind.SETTLE:
        work.is_resolving = True
        work.maybe_ran = True
        state.urgent.append(request.key)
        return []
    if request.kind in completion.IN_TRANSACTION:
        return _submit_in_transaction(state, work)
    refusal = _refusal_on_arrival(state, now_ms, request)
    if refusal is not None:
        after_ms = refusal.retry_after_ms
        return completion.give_up(state, work, refusal.reason, after_ms)
    return completion.enqueue(state, now_ms, work)


def _submit_in_transaction(state: states.OwnerState, work: states.Work) -> Out:
    request = work.request
    transaction = state.transactions.get(request.transaction)
    if transaction is not None and not transaction.busy:
        transaction.busy = True
        state.urgent.append(request.key)
        return []
    if transaction is None and request.kind is Kind.COMMIT:
        # It may be a second copy of a commit that took effect; only the
        # record knows.
        work.is_resolving = True
        work.maybe_ran = True
        state.urgent.append(request.key)
        return []
    lost = outcomes.NotRun(
        Reason.TRANSACTION_LOST, completion.MIN_RETRY_AFTER_MS
    )
    return completion.finish(state, work, lost)


def _refusal_on_arrival(
    state: states.OwnerState, now_ms: int, request: requests.Request
) -> outcomes.NotRun | None:
    """Refuse what cannot make its deadline while it has cost nothing yet."""
    left_ms = request.deadline_ms - now_ms
    primary_needed = (
        completion.queue_for(state, request, False) is state.primary_queue
    )
    if primary_needed and expiry.is_primary_unreachable(state, now_ms):
        return completion.make_refusal(
            Reason.NO_PRIMARY, expiry.UNREACHABLE_MS
        )
    reason = check_deadline(state, now_ms, request)
    if reason is not None:
        return completion.make_refusal(reason, majority_lag(state, now_ms))
    queue = completion.queue_for(state, request, primary_only=False)
    wait_ms = admission.estimate_wait_ms(
        queue, request.organisation, state.limits.slots, state.service_ms
    )
    wait_ms = wait_ms * CAUTION + _needed_ms(state, now_ms, request.kind)
    if wait_ms > left_ms:
        return completion.make_refusal(Reason.OVERLOAD, wait_ms - left_ms)
    if request.kind is Kind.BEGIN:
        most = state.limits.connections - state.limits.slots - 1
        if len(state.transactions) >= max(1, most):
            return completion.make_refusal(Reason.CONNECTION_LIMIT, 0)
    return None


def check_deadline(
    state: states.OwnerState, now_ms: int, request: requests.Request
) -> Reason | None:
    """Say why a request would end in doubt if it began now, if it would.

    It would take a slot from one that can make it, and another to find out
    what became of it.
    """
    needed = _needed_ms(state, now_ms, request.kind)
    if request.deadline_ms - now_ms >= needed:
        return None
    if request.kind is Kind.WRITE:
        if majority_lag(state, now_ms) > state.service_ms * LAG_IS_CAUSE:
            return Reason.REPLICAS_BEHIND
    return Reason.DEADLINE


def _needed_ms(state: states.OwnerState, now_ms: int, kind: Kind) -> float:
    """Return the time that a request should have left when it begins."""
    needed = state.service_ms
    if kind is Kind.WRITE:
        needed += majority_lag(state, now_ms)
    return needed * TIGHT


def usual_lag_ms(state: states.OwnerState) -> float:
    """Return how long a majority usually takes to hold a new place."""
    lags = {name: u.lag_ms for name, u in state.view.upstreams.items()}
    return _lag_of_majority(state, lags)


def majority_lag(state: states.OwnerState, now_ms: int) -> float:
    """Return the same, or what it takes just now if that is longer."""
    lags = {}
    for name, seen in state.view.upstreams.items():
        lags[name] = seen.lag_ms
        if seen.lag_sample is not None:
            lags[name] = max(seen.lag_ms, now_ms - seen.lag_sample.sent_ms)
    return _lag_of_majority(state, lags)


def _lag_of_majority(
    state: states.OwnerState, lags: dict[str, float]
) -> float:
    primary = state.view.primary
    others = sorted(lag for name, lag in lags.items() if name != primary)
    needed = views.majority(state.view) - 1
    if not primary or len(others) < needed:
        return 0.0
    return others[needed - 1]
