"""Admission of new requests."""

from topazring.core import admission
from topazring.core import completion
from topazring.core import expiry
from topazring.core import messages
from topazring.core import outcomes
from topazring.core import requests
from topazring.core import state as states
from topazring.core import view as views

__all__ = [
    'majority_lag_ms',
    'check_deadline',
    'submit',
    'usual_lag_ms',
]

Out = list
Reason = outcomes.Reason
Kind = requests.Kind

# Factor on the estimated wait: a request that is admitted and then misses its
# deadline has waited in vain.
WAIT_SAFETY_FACTOR = 1.25
# Time that has to be left, as a multiple of the time usually needed.
DEADLINE_SAFETY_FACTOR = 1.5
# If the replica lag is this many times the service time of a statement, it is
# reported as the cause of a missed deadline.
HIGH_LAG_FACTOR = 10


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
    refusal = _check_on_arrival(state, now_ms, request)
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
        # request record shows that.
        work.is_resolving = True
        work.maybe_ran = True
        state.urgent.append(request.key)
        return []
    lost = outcomes.NotRun(
        Reason.TRANSACTION_LOST, completion.MIN_RETRY_AFTER_MS
    )
    return completion.finish(state, work, lost)


def _check_on_arrival(
    state: states.OwnerState, now_ms: int, request: requests.Request
) -> outcomes.NotRun | None:
    """Return a refusal if the request is expected to miss its deadline.

    Refusing on arrival is cheapest: nothing was spent on the request yet.
    """
    left_ms = request.deadline_ms - now_ms
    needs_primary = (
        completion.queue_for(state, request, False) is state.primary_queue
    )
    if needs_primary and expiry.is_primary_unreachable(state, now_ms):
        return completion.make_refusal(
            Reason.NO_PRIMARY, expiry.UNREACHABLE_MS
        )
    reason = check_deadline(state, now_ms, request)
    if reason is not None:
        return completion.make_refusal(reason, majority_lag_ms(state, now_ms))
    queue = completion.queue_for(state, request, primary_only=False)
    wait_ms = admission.estimate_wait_ms(
        queue, request.organisation, state.limits.slots, state.service_ms
    )
    wait_ms = wait_ms * WAIT_SAFETY_FACTOR + _needed_ms(
        state, now_ms, request.kind
    )
    if wait_ms > left_ms:
        return completion.make_refusal(Reason.OVERLOAD, wait_ms - left_ms)
    if request.kind is Kind.BEGIN:
        max_transactions = state.limits.connections - state.limits.slots - 1
        if len(state.transactions) >= max(1, max_transactions):
            return completion.make_refusal(Reason.CONNECTION_LIMIT, 0)
    return None


def check_deadline(
    state: states.OwnerState, now_ms: int, request: requests.Request
) -> Reason | None:
    """Return why a request begun now would end in doubt, or None.

    Such a request would take a slot from one that can meet its deadline, and
    another slot to resolve its outcome.
    """
    needed = _needed_ms(state, now_ms, request.kind)
    if request.deadline_ms - now_ms >= needed:
        return None
    if request.kind is Kind.WRITE:
        if majority_lag_ms(state, now_ms) > state.service_ms * HIGH_LAG_FACTOR:
            return Reason.REPLICAS_BEHIND
    return Reason.DEADLINE


def _needed_ms(state: states.OwnerState, now_ms: int, kind: Kind) -> float:
    """Return the time that a request should have left when it starts."""
    needed = state.service_ms
    if kind is Kind.WRITE:
        needed += majority_lag_ms(state, now_ms)
    return needed * DEADLINE_SAFETY_FACTOR


def usual_lag_ms(state: states.OwnerState) -> float:
    """Return how long a majority usually takes to reach a new log position."""
    lags = {name: u.lag_ms for name, u in state.view.upstreams.items()}
    return _majority_of_lags(state, lags)


def majority_lag_ms(state: states.OwnerState, now_ms: int) -> float:
    """Return the usual lag of a majority, or the current one if longer."""
    lags = {}
    for name, seen in state.view.upstreams.items():
        lags[name] = seen.lag_ms
        if seen.lag_sample is not None:
            lags[name] = max(seen.lag_ms, now_ms - seen.lag_sample.sent_ms)
    return _majority_of_lags(state, lags)


def _majority_of_lags(
    state: states.OwnerState, lags: dict[str, float]
) -> float:
    primary = state.view.primary
    others = sorted(lag for name, lag in lags.items() if name != primary)
    needed = views.majority(state.view) - 1
    if not primary or len(others) < needed:
        return 0.0
    return others[needed - 1]
