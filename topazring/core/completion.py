"""Queue a request, find out its fate, give its one final answer."""

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
    """Return a refusal that says when to come back."""
    return outcomes.NotRun(reason, max(MIN_RETRY_AFTER_MS, int(after_ms)))


def queue_for(
    state: states.OwnerState, request: requests.Request, primary_only: bool
) -> admission.FairQueue:
    """Return the queue for what only the primary, or a replica, serves."""
    may_be_stale = request.profile.max_staleness_ms > 0
    if request.kind is Kind.READ and may_be_stale and not primary_only:
        return state.replica_queue
    return state.primary_queue


def enqueue(state: states.OwnerState, now_ms: int, work: states.Work) -> Out:
    """Have a request wait; answer the one that has to make room."""
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
    """Find out what became of a request that may or may not have run.

    A repeatable write is sent again under its own id: the record answers
    for the first copy if that took effect. Any other write is settled: the
    record is read, or written as cancelled so that no late copy can run.
    """
    work.result = None
    work.maybe_ran = True
    if work.request.kind is Kind.READ:
        return requeue(state, now_ms, work, reason, False)
    repeatable = work.request.profile.repeatable
    again = repeatable and work.request.kind is Kind.WRITE
    if not again and not work.is_resolving:
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
    """Have a request wait again, if deadline and budget allow."""
    work.last_reason = reason
    if now_ms >= work.request.deadline_ms:
        return give_up(state, work, reason, 0)
    open_fate = work.maybe_ran and work.request.kind in requests.RECORDED_KINDS
    if charged and not open_fate and not retries.spend(state.budget):
        return give_up(state, work, Reason.RETRY_BUDGET, 100)
    state.counters[f'retry_{reason}'] += 1
    return enqueue(state, now_ms, work)


def give_up(
    state: states.OwnerState,
    work: states.Work,
    reason: Reason,
    after_ms: float,
) -> Out:
    """Answer a request that is given up, truly: not run, or unknown."""
    if work.maybe_ran:
        return finish(state, work, outcomes.Unknown(reason))
    return finish(state, work, make_refusal(reason, after_ms))


def finish(
    state: states.OwnerState, work: states.Work, outcome: outcomes.Outcome
) -> Out:
    """Give the one final answer."""
    request = work.request
    del state.work[request.key]
    rounds.remove_waiter(state.round_state, request.key)
    if work.phase is states.Phase.QUEUED:
        _leave_queues(state, work)
    if not isinstance(outcome, outcomes.Done):
        state.counters[f'refused_{outcome.reason}'] += 1
    return [messages.Answer(request.key, outcome)]


def _leave_queues(state: states.OwnerState, work: states.Work) -> None:
    request = work.request
    if request.key in state.urgent:
        state.urgent.remove(request.key)
    queue = queue_for(state, request, work.primary_only)
    admission.remove(queue, request.organisation, request.key)


def fail_lost_transaction(state: states.OwnerState, work: states.Work) -> Out:
    """Answer a statement whose transaction is gone."""
    lost = outcomes.NotRun(Reason.TRANSACTION_LOST, MIN_RETRY_AFTER_MS)
    return finish(state, work, lost)
