"""Take a request from its arrival to its final answer."""

from topazring.core import admission
from topazring.core import messages
from topazring.core import outcomes
from topazring.core import places
from topazring.core import requests
from topazring.core import retries
from topazring.core import rounds
from topazring.core import routing
from topazring.core import state as states
from topazring.core import view as views

__all__ = [
    'confirmed',
    'dispatch',
    'executed',
    'expire',
    'hand_back',
    'is_cut_off',
    'reopen',
    'submit',
    'withdraw',
]

Out = list
Reason = outcomes.Reason
Kind = requests.Kind

LEAST_RETRY_AFTER_MS = 50
# A read waits that long for a busy replica before it takes the primary.
REPLICA_QUEUE_MS = 50
BUSY_PAUSE_MS = 5
REPLACED_PAUSE_MS = 10
UNREACHED_PAUSE_MS = 50
# So long the primary may be unreachable from here before work goes back.
CUT_OFF_MS = 400
IN_TRANSACTION = frozenset({Kind.EXECUTE, Kind.COMMIT, Kind.ROLLBACK})


# ---- arrival -------------------------------------------------------------


def submit(
    state: states.OwnerState, now_ms: int, message: messages.Submit
) -> Out:
    """Admit a request or refuse it at once."""
    request = message.request
    work = states.Work(request, now_ms, maybe_ran=request.repeat)
    state.work[request.key] = work
    if request.kind is Kind.SETTLE:
        work.settling = True
        work.maybe_ran = True
        state.urgent.append(request.key)
        return []
    if request.kind in IN_TRANSACTION:
        return _submit_in_transaction(state, work)
    refusal = _refusal_on_arrival(state, now_ms, request)
    if refusal is not None:
        after_ms = refusal.retry_after_ms
        return _give_up(state, work, refusal.reason, after_ms)
    return _enqueue(state, now_ms, work)


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
        work.settling = True
        work.maybe_ran = True
        state.urgent.append(request.key)
        return []
    lost = outcomes.NotRun(Reason.TRANSACTION_LOST, LEAST_RETRY_AFTER_MS)
    return _finish(state, work, lost)


def _refusal_on_arrival(
    state: states.OwnerState, now_ms: int, request: requests.Request
) -> outcomes.NotRun | None:
    """Refuse what cannot make its deadline while it has cost nothing yet."""
    left_ms = request.deadline_ms - now_ms
    primary_needed = _queue_for(state, request, False) is state.primary_queue
    if primary_needed and is_cut_off(state, now_ms):
        return _refuse(Reason.NO_PRIMARY, CUT_OFF_MS)
    queue = _queue_for(state, request, primary_only=False)
    wait_ms = admission.estimate_wait(
        queue, request.organisation, state.limits.slots, state.service_ms
    )
    if wait_ms > left_ms:
        return _refuse(Reason.OVERLOAD, wait_ms - left_ms)
    if request.kind is Kind.WRITE:
        lag_ms = _majority_lag(state, now_ms)
        if lag_ms > left_ms:
            return _refuse(Reason.REPLICAS_BEHIND, lag_ms - left_ms)
    if request.kind is Kind.BEGIN:
        most = state.limits.connections - state.limits.slots - 1
        if len(state.transactions) >= max(1, most):
            return _refuse(Reason.CONNECTION_LIMIT, 0)
    return None


def _refuse(reason: Reason, after_ms: float) -> outcomes.NotRun:
    return outcomes.NotRun(reason, max(LEAST_RETRY_AFTER_MS, int(after_ms)))


def _majority_lag(state: states.OwnerState, now_ms: int) -> float:
    """Return how long a majority usually takes to hold a new place."""
    lags = []
    for seen in state.view.upstreams.values():
        if seen.name == state.view.primary:
            continue
        lag_ms = seen.lag_ms
        if seen.awaited is not None:
            lag_ms = max(lag_ms, now_ms - seen.awaited.sent_ms)
        lags.append(lag_ms)
    lags.sort()
    replicas_needed = views.majority(state.view) - 1
    if not state.view.primary or len(lags) < replicas_needed:
        return 0.0
    return lags[replicas_needed - 1]


def _queue_for(
    state: states.OwnerState, request: requests.Request, primary_only: bool
) -> admission.FairQueue:
    may_be_stale = request.profile.max_staleness_ms > 0
    if request.kind is Kind.READ and may_be_stale and not primary_only:
        return state.replica_queue
    return state.primary_queue


def _enqueue(state: states.OwnerState, now_ms: int, work: states.Work) -> Out:
    request = work.request
    work.phase = states.Phase.QUEUED
    if work.settling or request.kind in IN_TRANSACTION:
        state.urgent.append(request.key)
        return []
    queue = _queue_for(state, request, work.primary_only)
    evicted = admission.push(
        queue, request.organisation, request.deadline_ms, request.key
    )
    if evicted is None:
        return []
    after_ms = admission.size(queue) * state.service_ms / state.limits.slots
    return _give_up(state, state.work[evicted], Reason.BACKLOG, after_ms)


# ---- dispatch ------------------------------------------------------------


def dispatch(state: states.OwnerState, now_ms: int) -> Out:
    """Give waiting requests to upstreams that have room for them."""
    free = states.free_slots(state, now_ms)
    outs: Out = []
    for key in list(state.urgent):
        outs += _dispatch_urgent(state, now_ms, key, free)
    outs += _dispatch_primary(state, now_ms, free)
    outs += _dispatch_replicas(state, now_ms, free)
    return outs


def _dispatch_urgent(
    state: states.OwnerState, now_ms: int, key: int, free: dict[str, int]
) -> Out:
    work = state.work[key]
    if work.settling:
        upstream = state.view.primary
        term = state.view.term
    else:
        transaction = state.transactions.get(work.request.transaction)
        if transaction is None:
            state.urgent.remove(key)
            return _transaction_gone(state, work)
        upstream = transaction.upstream
        term = transaction.term
    if not upstream or free.get(upstream, 0) <= 0:
        return []
    state.urgent.remove(key)
    return [_send(state, now_ms, work, upstream, term, free)]


def _transaction_gone(state: states.OwnerState, work: states.Work) -> Out:
    lost = outcomes.NotRun(Reason.TRANSACTION_LOST, LEAST_RETRY_AFTER_MS)
    return _finish(state, work, lost)


def _dispatch_primary(
    state: states.OwnerState, now_ms: int, free: dict[str, int]
) -> Out:
    primary = state.view.primary
    if not primary or state.handing_over_since_ms is not None:
        return []
    outs: Out = []
    while free[primary] > 0:
        key = admission.pop(state.primary_queue)
        if key is None:
            break
        work = state.work[key]
        term = state.view.term
        outs.append(_send(state, now_ms, work, primary, term, free))
    return outs


def _dispatch_replicas(
    state: states.OwnerState, now_ms: int, free: dict[str, int]
) -> Out:
    outs: Out = []
    while admission.size(state.replica_queue):
        any_free = any(
            count > 0
            for name, count in free.items()
            if name != state.view.primary
        )
        if not any_free and not _overflows(state, free):
            break
        key = admission.pop(state.replica_queue)
        work = state.work[key]
        route = routing.choose_replica(
            state.view, now_ms, work.request, free, state.leaving
        )
        if route is None:
            work.primary_only = True
            outs += _to_primary(state, now_ms, work, free)
            continue
        outs.append(
            _send(
                state,
                now_ms,
                work,
                route.upstream,
                state.view.term,
                free,
                route,
            )
        )
    return outs


def _overflows(state: states.OwnerState, free: dict[str, int]) -> bool:
    """Say whether the primary should help out with the replicas' queue."""
    waiting = admission.size(state.replica_queue)
    slots = state.limits.slots * max(1, len(free) - 1)
    spare = free.get(state.view.primary, 0) > 1
    return spare and waiting * state.service_ms / slots > REPLICA_QUEUE_MS


def _to_primary(
    state: states.OwnerState,
    now_ms: int,
    work: states.Work,
    free: dict[str, int],
) -> Out:
    primary = state.view.primary
    held = state.handing_over_since_ms is not None
    idle = not held and not admission.size(state.primary_queue)
    if primary and idle and free[primary] > 0:
        term = state.view.term
        return [_send(state, now_ms, work, primary, term, free)]
    return _enqueue(state, now_ms, work)


def _send(
    state: states.OwnerState,
    now_ms: int,
    work: states.Work,
    upstream: str,
    term: int,
    free: dict[str, int],
    route: routing.Route | None = None,
) -> messages.Execute:
    work.phase = states.Phase.RUNNING
    work.attempt += 1
    work.upstream = upstream
    work.term = term
    work.sent_ms = now_ms
    work.at_replica = route is not None
    free[upstream] -= 1
    state.in_work[upstream] = state.in_work.get(upstream, 0) + 1
    left_ms = max(1, work.request.deadline_ms - now_ms)
    return messages.Execute(
        work.request.key,
        work.attempt,
        upstream,
        term,
        Kind.SETTLE if work.settling else work.request.kind,
        work.request,
        work.at_replica,
        route.place if route else places.ORIGIN,
        route.wait_ms if route else 0,
        # A read that a replica leaves unanswered still has time elsewhere.
        max(1, left_ms // 2) if route else left_ms,
    )


# ---- results -------------------------------------------------------------


def executed(
    state: states.OwnerState, now_ms: int, message: messages.Executed
) -> Out:
    """Take in what an upstream did with a request."""
    state.in_work[message.upstream] -= 1
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
        case messages.Lost():
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
        state.transactions[work.request.transaction].busy = False
        done = outcomes.Done(result.rows, places.ORIGIN, work.upstream)
        return _finish(state, work, done)
    if kind in IN_TRANSACTION:
        state.transactions.pop(work.request.transaction, None)
    if kind is Kind.ROLLBACK:
        done = outcomes.Done([], places.ORIGIN, work.upstream)
        return _finish(state, work, done)
    work.result = result
    if work.term != state.view.term:
        return reopen(state, now_ms, work, Reason.REPLACED)
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
        return _requeue(state, now_ms, work, Reason.NOT_CONFIRMED, False)
    state.counters['replica_reads'] += 1
    done = outcomes.Done(result.rows, result.place, work.upstream)
    return _finish(state, work, done)


def _began(state: states.OwnerState, work: states.Work) -> Out:
    request = work.request
    state.transactions[request.key] = states.Transaction(
        work.upstream,
        work.term,
        work.arrived_ms + request.profile.transaction_deadline_ms,
        request.organisation,
    )
    done = outcomes.Done([], places.ORIGIN, work.upstream)
    return _finish(state, work, done)


def _refused(
    state: states.OwnerState,
    now_ms: int,
    work: states.Work,
    result: messages.Refused,
) -> Out:
    reason = result.reason
    if reason is Reason.REQUEST_ID_TOO_OLD:
        return _finish(
            state, work, outcomes.Rejected(reason, work.request.request_id)
        )
    if reason is Reason.REPLICA_BEHIND:
        work.primary_only = True
        return _requeue(state, now_ms, work, reason, False)
    if reason in (Reason.SLOTS_BUSY, Reason.CONNECTION_LIMIT):
        state.busy_until_ms[work.upstream] = now_ms + BUSY_PAUSE_MS
        return _requeue(state, now_ms, work, reason, False)
    if work.request.kind in IN_TRANSACTION and not work.settling:
        return _lose_transaction(state, work, reason)
    if reason is Reason.CONFLICT:
        return _finish(state, work, _refuse(reason, 0))
    state.busy_until_ms[work.upstream] = now_ms + REPLACED_PAUSE_MS
    return _requeue(state, now_ms, work, reason, False)


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
        done = outcomes.Done([], places.ORIGIN, work.upstream)
        return outs + _finish(state, work, done)
    return outs + _finish(state, work, _refuse(reason, 0))


def _sql_failed(
    state: states.OwnerState, work: states.Work, result: messages.SqlFailed
) -> Out:
    transaction = state.transactions.get(work.request.transaction)
    if transaction is not None:
        transaction.busy = False
    return _finish(
        state, work, outcomes.Rejected(Reason.BAD_STATEMENT, result.detail)
    )


def _lost(
    state: states.OwnerState,
    now_ms: int,
    work: states.Work,
    result: messages.Lost,
) -> Out:
    kind = work.request.kind
    if kind in (Kind.EXECUTE, Kind.ROLLBACK):
        return _lose_transaction(state, work, result.reason)
    if kind is Kind.COMMIT:
        state.transactions.pop(work.request.transaction, None)
        if not result.sent and not work.settling:
            return _lose_transaction(state, work, result.reason)
    if not result.sent:
        # No upstream was given work, so no budget is spent; the pause keeps
        # a dead primary from being dialled in a tight loop.
        state.busy_until_ms[work.upstream] = now_ms + UNREACHED_PAUSE_MS
        return _requeue(state, now_ms, work, result.reason, False)
    if kind in requests.WRITES:
        return reopen(state, now_ms, work, result.reason)
    if kind is Kind.READ:
        work.maybe_ran = True
        work.primary_only = False
    return _requeue(state, now_ms, work, result.reason, True)


def reopen(
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
        return _requeue(state, now_ms, work, reason, False)
    repeatable = work.request.profile.repeatable
    again = repeatable and work.request.kind is Kind.WRITE
    if not again and not work.settling:
        work.settling = True
        state.counters['settle'] += 1
    return _requeue(state, now_ms, work, reason, False)


def _requeue(
    state: states.OwnerState,
    now_ms: int,
    work: states.Work,
    reason: Reason,
    charged: bool,
) -> Out:
    work.last_reason = reason
    if now_ms >= work.request.deadline_ms:
        return _give_up(state, work, reason, 0)
    open_fate = work.maybe_ran and work.request.kind in requests.WRITES
    if charged and not open_fate and not retries.spend(state.budget):
        return _give_up(state, work, Reason.RETRY_BUDGET, 100)
    state.counters[f'retry_{reason}'] += 1
    return _enqueue(state, now_ms, work)


def _give_up(
    state: states.OwnerState,
    work: states.Work,
    reason: Reason,
    after_ms: float,
) -> Out:
    if work.maybe_ran:
        return _finish(state, work, outcomes.Unknown(reason))
    return _finish(state, work, _refuse(reason, after_ms))


def confirmed(
    state: states.OwnerState, now_ms: int, waiter: rounds.Waiter
) -> Out:
    """Answer a request whose place a majority holds."""
    if waiter.needs_place:
        state.view.committed = max(state.view.committed, waiter.place)
    sample = views.Sample(waiter.sent_ms, waiter.place)
    views.add_sample(state.view, sample)
    work = state.work.get(waiter.key)
    if work is None or work.result is None:
        return []
    result = work.result
    if result.cancelled:
        return _finish(state, work, _refuse(Reason.CANCELLED, 0))
    if work.request.kind is Kind.READ:
        state.counters['primary_reads'] += 1
    return _finish(
        state,
        work,
        outcomes.Done(
            result.rows, result.place, work.upstream, result.repeated
        ),
    )


def _finish(
    state: states.OwnerState, work: states.Work, outcome: outcomes.Outcome
) -> Out:
    """Give the one final answer."""
    request = work.request
    del state.work[request.key]
    rounds.take_waiter(state.round_state, request.key)
    if work.phase is states.Phase.QUEUED:
        _leave_queues(state, work)
    if not isinstance(outcome, outcomes.Done):
        state.counters[f'refused_{outcome.reason}'] += 1
    return [messages.Answer(request.key, outcome)]


def _leave_queues(state: states.OwnerState, work: states.Work) -> None:
    request = work.request
    if request.key in state.urgent:
        state.urgent.remove(request.key)
    queue = _queue_for(state, request, work.primary_only)
    admission.remove(queue, request.organisation, request.key)


# ---- losing the primary alone --------------------------------------------


def is_cut_off(state: states.OwnerState, now_ms: int) -> bool:
    """Say whether this owner has long failed to reach a live primary."""
    since_ms = state.cut_off_since_ms
    return since_ms is not None and now_ms - since_ms >= CUT_OFF_MS


def hand_back(state: states.OwnerState, now_ms: int) -> Out:
    """Give back what needs a primary that only others can reach.

    The symptom without it: requests wait here to their deadlines while
    another owner could have served them at once.
    """
    outs: Out = []
    for work in list(state.work.values()):
        waits = work.phase is states.Phase.QUEUED
        queue = _queue_for(state, work.request, work.primary_only)
        urgent = work.request.key in state.urgent
        if waits and (urgent or queue is state.primary_queue):
            outs += _give_up(state, work, Reason.NO_PRIMARY, CUT_OFF_MS)
    return outs


# ---- time ----------------------------------------------------------------


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


def _expire_work(state: states.OwnerState, work: states.Work) -> Out:
    if work.phase is states.Phase.CONFIRMING:
        work.maybe_ran = True
        return _give_up(state, work, Reason.NOT_CONFIRMED, 0)
    if work.phase is states.Phase.RUNNING:
        work.maybe_ran = True
        outs = _give_up(state, work, Reason.UPSTREAM_TIMEOUT, 0)
        key = work.request.transaction
        if state.transactions.pop(key, None) is not None:
            outs.append(messages.CloseTransaction(key))
        return outs
    reason = work.last_reason
    if work.attempt == 0 and state.view.primary:
        reason = Reason.DEADLINE
    return _give_up(state, work, reason, LEAST_RETRY_AFTER_MS)


def withdraw(
    state: states.OwnerState, now_ms: int, message: messages.Withdraw
) -> Out:
    """Roll back a transaction whose caller is gone."""
    transaction = state.transactions.pop(message.transaction, None)
    if transaction is None:
        return []
    return [messages.CloseTransaction(message.transaction)]
