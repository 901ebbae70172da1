"""Queue requests, resolve those in doubt and send the final answers."""

from topazring.core import admission
from topazring.core import messages
from topazring.core import outcomes
from topazring.core import requests
from topazring.core import retries
from topazring.core import rounds
from topazring.core import state as states

__all__ = [
    'IN_TRANSACTION',
    'MIN_RETRY_AFTER_MS',
    'enqueue',
    'finish',
    'give_up',
    'fail_lost_transaction',
    'queue_for',
    'make_refusal',
    'resolve_in_doubt',
    'requeue',
]

Out = list
Reason = outcomes.Reason
Kind = requests.Kind

MIN_RETRY_AFTER_MS = 50
IN_TRANSACTION = frozenset({Kind.EXECUTE, Kind.COMMIT, Kind.ROLLBACK})


def make_refusal(reason: Reason, after_ms: float) -> outcomes.NotRun:
    """Return a refusal that says when the caller may retry."""
    return outcomes.NotRun(reason, max(MIN_RETRY_AFTER_MS, int(after_ms)))


def queue_for(
    state: states.OwnerState, request: requests.Request, primary_only: bool
) -> admission.FairQueue:
    """Return the queue of the primary or of the replicas for a request."""
    may_be_stale = request.profile.max_staleness_ms > 0
    if request.kind is Kind.READ and may_be_stale and not primary_only:
        return state.replica_queue
    return state.primary_queue


def enqueue(state: states.OwnerState, now_ms: int, work: states.Work) -> Out:
    """Queue a request; answer the request that it evicts, if any."""
    request = work.request
    work.phase = states.Phase.QUEUED
    if work.is_resolving or request.kind in IN_TRANSACTION:
        state.urgent.append(request.key)
        return []
    queue = queue_for(state, request, work.primary_only)
    evicted = admission.push(
        queue, request.organisation, request.deadline_ms, request.key
    )
    if evicted is None:
        return []
    after_ms = admission.size(queue) * state.service_ms / state.limits.slots
    return give_up(state, state.work[evicted], Reason.BACKLOG, after_ms)


def resolve_in_doubt(
    state: states.OwnerState,
    now_ms: int,
    work: states.Work,
    reason: Reason,
) -> Out:
    """Queue a request that may or may not have run, to resolve its outcome.

    A repeatable write is sent again under its own id: if the first copy took
    effect, the request record returns its result. For any other write the
    record is read, or written as cancelled so that no late copy can run.
    """
    work.result = None
    work.maybe_ran = True
    if work.request.kind is Kind.READ:
        return requeue(state, now_ms, work, reason, False)
    repeatable = work.request.profile.repeatable
    can_resend = repeatable and work.request.kind is Kind.WRITE
    if not can_resend and not work.is_resolving:
        work.is_resolving = True
        state.counters['settle'] += 1
    return requeue(state, now_ms, work, reason, False)


def requeue(
    state: states.OwnerState,
    now_ms: int,
    work: states.Work,
    reason: Reason,
    charged: bool,
) -> Out:
    """Queue a request again if its deadline and the retry budget allow."""
    work.last_reason = reason
    if now_ms >= work.request.deadline_ms:
        return give_up(state, work, reason, 0)
    in_doubt = work.maybe_ran and work.request.kind in requests.RECORDED_KINDS
    if charged and not in_doubt and not retries.spend(state.budget):
        return give_up(state, work, Reason.RETRY_BUDGET, 100)
    state.counters[f'retry_{reason}'] += 1
    return enqueue(state, now_ms, work)


def give_up(
    state: states.OwnerState,
    work: states.Work,
    reason: Reason,
    after_ms: float,
) -> Out:
    """Answer a failed request: unknown if it may have run, else not run."""
    if work.maybe_ran:
        return finish(state, work, outcomes.Unknown(reason))
    return finish(state, work, make_refusal(reason, after_ms))


def finish(
    state: states.OwnerState, work: states.Work, outcome: outcomes.Outcome
) -> Out:
    """Remove a request and return its only, final answer."""
    request = work.request
    del state.work[request.key]
    rounds.remove_waiter(state.round_state, request.key)
    if work.phase is states.Phase.QUEUED:
        _remove_from_queues(state, work)
    if not isinstance(outcome, outcomes.Done):
        state.counters[f'refused_{outcome.reason}'] += 1
    return [messages.Answer(request.key, outcome)]


def _remove_from_queues(state: states.OwnerState, work: states.Work) -> None:
    request = work.request
    if request.key in state.urgent:
        state.urgent.remove(request.key)
    queue = queue_for(state, request, work.primary_only)
    admission.remove(queue, request.organisation, request.key)


def fail_lost_transaction(state: states.OwnerState, work: states.Work) -> Out:
    """Answer a statement whose transaction no longer exists."""
    lost = outcomes.NotRun(Reason.TRANSACTION_LOST, MIN_RETRY_AFTER_MS)
    return finish(state, work, lost)
