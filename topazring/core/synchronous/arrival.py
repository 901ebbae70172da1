"""Take in requests: admit them, or refuse at once what would be too late."""

from topazring.core import outcomes
from topazring.core.synchronous import completion
from topazring.core.synchronous import concurrency_limit
from topazring.core.synchronous import dispatch
from topazring.core.synchronous import messages
from topazring.core.synchronous import primary_availability
from topazring.core.synchronous import request_queues
from topazring.core.synchronous import routing
from topazring.core.synchronous import state as states

__all__ = ['submit', 'withdraw']

Reason = outcomes.Reason

# Part of a request's time that its wait in line may be expected to take. The
# rest is for the statement itself and for an estimate that was too low.
WAIT_SHARE = 0.8
# Part of the latency goal within which an answer has to be expected for a
# request to be let in. A longer line serves no more callers, it serves all of
# them later: of a played crowd before one upstream 51% were in time with a
# line as long as their deadlines, 67% with this.
GOAL_SHARE = 0.5
# But what is expected within this is never refused: to come back costs a
# caller as much.
LEAST_PATIENCE_MS = 150
# A caller that comes back sooner finds the line as it was.
LEAST_RETRY_MS = 20


def submit(
    state: states.GroupState, now_ms: int, message: messages.Submit
) -> list:
    """Take in a request and serve it if anything is free."""
    request = message.request
    deadline_ms = request.arrived_ms + request.policy.timeout_ms
    work = states.Work(request, deadline_ms)
    state.work[request.key] = work
    if request.continues_transaction:
        return dispatch.continue_transaction(state, now_ms, work)
    work.primary_only = request.needs_primary
    refusal = _refusal(state, now_ms, work)
    if refusal is not None:
        return completion.give_up(
            state, now_ms, work, refusal.reason, refusal.retry_after_ms
        )
    outs = completion.enqueue(state, now_ms, work)
    return outs + dispatch.start_waiting(state, now_ms)


def _refusal(
    state: states.GroupState, now_ms: int, work: states.Work
) -> outcomes.NotRun | None:
    """Refuse what cannot be served in time, before it has waited at all."""
    if work.primary_only:
        hopeless = primary_availability.early_refusal(state, now_ms, work)
        if hopeless is not None:
            return hopeless
    wait_ms = _expected_wait_ms(state, now_ms, work)
    patience_ms = _patience_ms(now_ms, work)
    if wait_ms <= patience_ms:
        return None
    # By then the line is short enough, if it moves on as expected.
    retry_ms = max(LEAST_RETRY_MS, int(wait_ms - patience_ms))
    return outcomes.NotRun(Reason.OVERLOAD, retry_ms)


def _expected_wait_ms(
    state: states.GroupState, now_ms: int, work: states.Work
) -> float:
    """Estimate how long until a request is answered; 0 if none waits."""
    policy = work.request.policy
    ahead = request_queues.count_ahead(state, work.primary_only, policy)
    at_primary = 0
    if not work.primary_only:
        at_primary = request_queues.count_ahead(state, True, policy)
    if not ahead and not at_primary:
        return 0.0
    able = routing.candidates(state, now_ms, work)
    if all(upstream.name == state.primary for upstream in able):
        # The primary's own line goes before it.
        ahead += at_primary
    wait_ms = concurrency_limit.expected_wait_ms(state, ahead, able)
    if not wait_ms:
        return 0.0
    return wait_ms + min(upstream.service_ms for upstream in able)


def _patience_ms(now_ms: int, work: states.Work) -> float:
    """Return how long a request's answer may be expected to take."""
    left_ms = (work.deadline_ms - now_ms) * WAIT_SHARE
    goal_ms = work.request.policy.latency_goal_ms * GOAL_SHARE
    return min(left_ms, max(goal_ms, LEAST_PATIENCE_MS))


def withdraw(
    state: states.GroupState, now_ms: int, message: messages.Withdraw
) -> list:
    """Undo a transaction whose session is gone or rolled it back.

    A proxy that loses the stream of another one withdraws its transactions
    whatever they are at. A first statement that still waits is not begun, and
    one that is under way is let finish and undone by its answer: closing its
    connection would cost another dial and leave the upstream with work that
    nobody reads.
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
