"""Admit requests, or refuse those that cannot be answered in time."""

from topazring.core import organisations
from topazring.core import outcomes
from topazring.core.synchronous import completion
from topazring.core.synchronous import concurrency_limit
from topazring.core.synchronous import dispatch
from topazring.core.synchronous import messages
from topazring.core.synchronous import primary_availability
from topazring.core.synchronous import request_queues
from topazring.core.synchronous import routing
from topazring.core.synchronous.scheduling import service_order
from topazring.core.synchronous.scheduling import slot_admission
from topazring.core.synchronous import state as states

__all__ = ['submit', 'withdraw']

Reason = outcomes.Reason

# Share of the remaining time of a request that its expected wait in the queue
# may take. The rest covers the statement itself and errors of the estimate.
WAIT_SHARE = 0.8
# Share of the latency goal within which an answer has to be expected for a
# request to be admitted. A longer queue serves no more callers, it only delays
# all of them: in a load simulation with one upstream, 51% of the requests were
# in time with a queue bounded by their deadlines, and 67% with this bound.
GOAL_SHARE = 0.5
# A request is never refused if its expected wait is below this: a retry costs
# the caller as much.
MIN_WAIT_LIMIT_MS = 150
# A caller that retries sooner finds the queue unchanged.
MIN_RETRY_MS = 20


def submit(
    state: states.GroupState, now_ms: int, message: messages.Submit
) -> list:
    """Admit or refuse a request, and start it if there is capacity."""
    request = message.request
    deadline_ms = request.arrived_ms + request.policy.timeout_ms
    work = states.Work(request, deadline_ms)
    state.work[request.key] = work
    if request.continues_transaction:
        return dispatch.continue_transaction(state, now_ms, work)
    work.primary_only = request.needs_primary
    if request.organisation != organisations.ANONYMOUS:
        state.serves_organisations = True
    refusal = _refusal(state, now_ms, work)
    if refusal is None:
        outs = completion.enqueue(state, now_ms, work)
    else:
        outs = completion.give_up(
            state, now_ms, work, refusal.reason, refusal.retry_after_ms
        )
    if state.primary and service_order.applies(state):
        outs += _give_up_overdue(state, now_ms)
    if refusal is None:
        return outs + dispatch.start_waiting(state, now_ms)
    if service_order.applies(state):
        outs += slot_admission.report(state, now_ms)
    return outs


def _give_up_overdue(state: states.GroupState, now_ms: int) -> list:
    """Refuse waiting requests that were overtaken for too long."""
    outs: list = []
    for work in slot_admission.overdue(state, now_ms):
        state.counters['overtaken_until_overdue'] += 1
        outs += completion.give_up(
            state, now_ms, work, Reason.OVERLOAD, MIN_RETRY_MS
        )
    return outs


def _refusal(
    state: states.GroupState, now_ms: int, work: states.Work
) -> outcomes.NotRun | None:
    """Return the refusal of a request that cannot be served in time."""
    if work.primary_only:
        unavailable = primary_availability.early_refusal(state, now_ms, work)
        if unavailable is not None:
            return unavailable
    if service_order.applies(state):
        return slot_admission.refusal(state, now_ms, work)
    wait_ms = _expected_wait_ms(state, now_ms, work)
    wait_limit_ms = _wait_limit_ms(now_ms, work)
    if wait_ms <= wait_limit_ms:
        return None
    # By then the queue is short enough if it advances as estimated.
    retry_ms = max(MIN_RETRY_MS, int(wait_ms - wait_limit_ms))
    return outcomes.NotRun(Reason.OVERLOAD, retry_ms)


def _expected_wait_ms(
    state: states.GroupState, now_ms: int, work: states.Work
) -> float:
    """Estimate the time to the answer of a request; 0 if none is queued."""
    request = work.request
    ahead = request_queues.count_ahead(state, work.primary_only, request)
    at_primary = 0
    if not work.primary_only:
        at_primary = request_queues.count_ahead(state, True, request)
    if not ahead and not at_primary:
        return 0.0
    candidates = routing.candidates(state, now_ms, work)
    if all(upstream.name == state.primary for upstream in candidates):
        # Requests queued for the primary are served before it.
        ahead += at_primary
    wait_ms = concurrency_limit.expected_wait_ms(state, ahead, candidates)
    if not wait_ms:
        return 0.0
    return wait_ms + min(upstream.service_ms for upstream in candidates)


def _wait_limit_ms(now_ms: int, work: states.Work) -> float:
    """Return the longest expected time to an answer that is accepted."""
    left_ms = (work.deadline_ms - now_ms) * WAIT_SHARE
    goal_ms = work.request.policy.latency_goal_ms * GOAL_SHARE
    return min(left_ms, max(goal_ms, MIN_WAIT_LIMIT_MS))


def withdraw(
    state: states.GroupState, now_ms: int, message: messages.Withdraw
) -> list:
    """Roll back a transaction whose session ended or rolled it back.

    A proxy that loses the stream from another one withdraws its transactions
    in any state. A first statement that is still queued is not started. One
    that is in flight runs to its end and is rolled back when its reply
    arrives: closing its connection would cost another dial and leave the
    upstream running a statement whose result is not read.
    """
    outs: list = []
    for work in list(state.work.values()):
        if work.request.transaction == message.transaction:
            outs += completion.cancel(state, work)
    transaction = state.transactions.pop(message.transaction, None)
    if transaction is None:
        return outs
    connection = state.connections[transaction.connection]
    if connection.phase is states.Phase.IDLE:
        outs += dispatch.roll_back(state, now_ms, connection)
    return outs
