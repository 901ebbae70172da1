"""Complete requests: answer each exactly once, or put it back in its queue.

The outcome depends on what was sent to an upstream. A read never has a
lasting effect. A transaction has none before its COMMIT is sent, because
closing its connection rolls it back. A single write or a COMMIT that was
sent and not answered may have taken effect, so it is never sent again.
"""

from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core.synchronous import confirmations
from topazring.core.synchronous import connections
from topazring.core.synchronous import messages
from topazring.core.synchronous import position_records
from topazring.core.synchronous import proofs
from topazring.core.synchronous import reply_effects
from topazring.core.synchronous import request_queues
from topazring.core.synchronous.scheduling import return_schedule
from topazring.core.synchronous.scheduling import service_counts as counts
from topazring.core.synchronous.scheduling import service_order
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'acknowledge_when_durable',
    'answer',
    'answer_proven',
    'answer_success',
    'cancel',
    'end_transaction',
    'enqueue',
    'give_up',
    'has_no_lasting_effect',
    'may_have_run',
    'requeue',
    'unserved_outcome',
]

Reason = outcomes.Reason

# Retry delay for requests refused because their queue is full: a full queue
# is worked off in about that time.
BACKLOG_RETRY_MS = 150
# A promotion that has begun before a member was last dialled is over by then,
# so what it says is not logged any more.
RECENT_RUN_MS = 5000


def has_no_lasting_effect(work: states.Work) -> bool:
    """Return whether the request cannot have a lasting effect."""
    request = work.request
    if request.statement.verb is statements.Verb.COMMIT:
        return False
    return not request.writes or request.transaction != 0


def may_have_run(state: states.GroupState, work: states.Work) -> bool:
    """Return whether an upstream has received or answered the request.

    While a connection is set up for it, the request has not been sent; it is
    not sent any more once it has been answered.
    """
    if work.unproven_answer is not None:
        return True
    return any(
        state.connections[number].purpose is not states.Purpose.SESSION_SETUP
        for number in work.running
    )


def answer(
    state: states.GroupState, work: states.Work, outcome: outcomes.Outcome
) -> list:
    """Give the final answer to a request and remove it from the state.

    Connections that still run a copy of the request are not interrupted;
    their replies are discarded.
    """
    del state.work[work.request.key]
    if work.is_queued:
        request_queues.remove(state, work)
    state.counters[_label(outcome)] += 1
    counts.record(
        state.service_counts, state.stepped_ms, work.request, outcome
    )
    answered = messages.Answer(work.request.key, outcome)
    if not work.is_traced:
        return [answered]
    return [answered, _answered_event(work, outcome)]


def _answered_event(
    work: states.Work, outcome: outcomes.Outcome
) -> messages.LogDecision:
    return messages.LogDecision(
        'answered',
        work.request.statement.request_id,
        {
            'outcome': type(outcome).__name__,
            'reason': str(getattr(outcome, 'reason', '')),
            'served_by': getattr(outcome, 'served_by', ''),
            'hedges': work.hedges,
        },
    )


def _label(outcome: outcomes.Outcome) -> str:
    name = type(outcome).__name__.lower()
    reason = getattr(outcome, 'reason', '')
    return f'{name}_{reason}' if reason else name


def answer_success(
    state: states.GroupState,
    work: states.Work,
    connection: states.Connection,
    reply: statements.Reply,
    proof_needed_ms: int | None = None,
) -> list:
    """Answer a successful request with the upstream's rows and signature.

    If `proof_needed_ms` is given, the answer is held until the leadership of
    the upstream has been proved for that time.
    """
    outcome = _success_outcome(connection, reply, None)
    if proof_needed_ms is None:
        return answer(state, work, outcome)
    at_primary = connection.upstream == state.primary
    if at_primary and proof_needed_ms <= proofs.proven_until_ms(state):
        return answer(state, work, outcome)
    work.proof_needed_ms = proof_needed_ms
    return _hold_for_proof(state, work, outcome, proof_needed_ms)


def _success_outcome(
    connection: states.Connection,
    reply: statements.Reply,
    position: log_positions.LogPosition | None,
) -> outcomes.Done:
    return outcomes.Done(
        list(reply.rows),
        position,
        connection.upstream,
        signature=reply.signature or '',
    )


def _hold_for_proof(
    state: states.GroupState,
    work: states.Work,
    outcome: outcomes.Done,
    at_ms: int,
) -> list:
    """Hold an answer until leadership is proved for a time or later."""
    work.unproven_answer = outcome
    state.awaiting_proof.add(work.request.key)
    proofs.request_proof(state, at_ms)
    return []


def acknowledge_when_durable(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    connection: states.Connection,
    reply: statements.Reply,
) -> list:
    """Acknowledge a confirmed write as soon as it is durable.

    A write is durable once it survives the loss of its primary. Until then
    its answer is held.
    """
    confirmation = position_records.Confirmation(
        connection.upstream,
        connection.sent_ms,
        now_ms,
        connection.place_before,
        reply.place,
    )
    outcome = _success_outcome(connection, reply, reply.place)
    upstream = state.upstreams.get(connection.upstream)
    if upstream is not None:
        upstream.confirmed_ms = now_ms
    if confirmations.is_durable(state, now_ms, confirmation):
        return _acknowledge(state, now_ms, work, confirmation, outcome)
    work.confirmation = confirmation
    state.counters['write_held'] += 1
    return _hold_for_proof(state, work, outcome, confirmation.sent_ms)


def _acknowledge(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    confirmation: position_records.Confirmation,
    outcome: outcomes.Done,
) -> list:
    reply_effects.note_confirmed(state, confirmation)
    state.unproven_write_ms = states.NEVER_MS
    events = _acknowledged_events(state, now_ms, work, confirmation)
    return events + answer(state, work, outcome)


def _acknowledged_events(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    confirmation: position_records.Confirmation,
) -> list:
    """Return a log event with the state of the members if one is unusual.

    The usual state: each other member is established, not paused, reachable
    and has run for a while, and the primary is not leaving.
    """
    is_usual = all(
        upstream.is_established
        and not upstream.held_term
        and not proofs.is_unreachable(state, now_ms, upstream)
        and now_ms - upstream.log_end_running_since_ms >= RECENT_RUN_MS
        for upstream in states.other_members(state)
    )
    if is_usual and not state.upstreams[state.primary].leaving:
        return []
    members = {
        upstream.name: {
            'log_end': str(upstream.log_end),
            'log_end_ms_ago': now_ms - upstream.log_end_sent_ms,
            'running_for_ms': now_ms - upstream.log_end_running_since_ms,
            'held_term': upstream.held_term,
            'reported_ms_ago': now_ms - upstream.answered_status_sent_ms,
            'unreachable': proofs.is_unreachable(state, now_ms, upstream),
            'listed_for_ms': now_ms - upstream.first_listed_ms,
        }
        for upstream in states.other_members(state)
    }
    inputs = {
        'upstream': confirmation.upstream,
        'place': str(confirmation.place),
        'sent_ms_ago': now_ms - confirmation.sent_ms,
        'no_promotion_ms_ago': now_ms - state.no_promotion_ms,
        'fence_term': state.fence_term,
        'woke_ms_ago': now_ms - state.resumed_ms,
        'members': members,
    }
    request_id = work.request.statement.request_id
    return [messages.LogDecision('acknowledged', request_id, inputs)]


def answer_proven(state: states.GroupState, now_ms: int) -> list:
    """Answer requests whose leadership proof has been obtained."""
    if not state.awaiting_proof:
        return []
    outs: list = []
    for key in sorted(state.awaiting_proof):
        work = state.work.get(key)
        if work is None or work.unproven_answer is None:
            state.awaiting_proof.discard(key)
        elif work.unproven_answer.served_by != state.primary:
            outs += _complete_after_replacement(state, now_ms, work)
        elif work.confirmation is not None:
            outs += _acknowledge_if_durable(state, now_ms, work)
    # A write acknowledged just now also proves leadership for the reads
    # that came before it.
    proven_ms = proofs.proven_until_ms(state)
    for key in sorted(state.awaiting_proof):
        work = state.work[key]
        if work.confirmation is None and work.proof_needed_ms <= proven_ms:
            state.awaiting_proof.discard(key)
            outs += answer(state, work, work.unproven_answer)
    return outs


def _acknowledge_if_durable(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list:
    confirmation = work.confirmation
    if not confirmations.is_durable(state, now_ms, confirmation):
        if confirmations.proves_leadership(state, confirmation):
            upstream = state.upstreams[confirmation.upstream]
            proofs.note_confirmed(upstream, confirmation.sent_ms)
        return []
    state.awaiting_proof.discard(work.request.key)
    return _acknowledge(
        state, now_ms, work, confirmation, work.unproven_answer
    )


def _complete_after_replacement(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list:
    """Complete a request answered by an upstream that no longer leads.

    The result of a read must not be used. A write is kept if the log with
    which the successor started includes it; while that is not known, its
    answer remains held.
    """
    is_kept: bool | None = False
    if work.confirmation is not None:
        is_kept = confirmations.is_in_successor_log(state, work.confirmation)
    is_fenced = state.term < state.fence_term
    if is_kept is None or (is_kept and is_fenced):
        return []
    state.awaiting_proof.discard(work.request.key)
    if is_kept:
        reply_effects.note_acknowledged(state, work.confirmation)
        return answer(state, work, work.unproven_answer)
    return _requeue_or_fail_replaced(state, now_ms, work)


def _requeue_or_fail_replaced(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list:
    work.unproven_answer = None
    if not has_no_lasting_effect(work):
        # The successor's log may or may not include the write.
        return give_up(state, now_ms, work, Reason.REPLACED, 0, maybe_ran=True)
    if work.request.transaction:
        return give_up(state, now_ms, work, Reason.TRANSACTION_LOST, 0)
    return requeue(state, now_ms, work, Reason.REPLACED)


def give_up(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    reason: outcomes.Reason,
    retry_after_ms: int,
    maybe_ran: bool = False,
) -> list:
    """End a request without a result, reporting whether it may have run."""
    request = work.request
    confirmation = work.confirmation
    if confirmation is not None and confirmation.upstream == state.primary:
        state.unproven_write_ms = now_ms
    outcome = unserved_outcome(work, reason, retry_after_ms, maybe_ran)
    decided = messages.LogDecision(
        'gave up',
        request.statement.request_id,
        {
            'outcome': type(outcome).__name__,
            'reason': str(reason),
            'after_ms': now_ms - request.arrived_ms,
            'offered': work.first_sent_ms is not None,
            'line': _queue_name(work),
            'primary': state.primary,
            'primary_lost_ms': (
                0
                if state.primary_lost_ms is None
                else now_ms - state.primary_lost_ms
            ),
            'retry_after_ms': retry_after_ms,
        },
    )
    outs: list = [decided]
    if request.transaction:
        outs += end_transaction(state, request.transaction)
    return outs + answer(state, work, outcome)


def cancel(state: states.GroupState, work: states.Work) -> list:
    """Complete a request whose caller is gone.

    A statement that was already sent is not interrupted; its reply is
    discarded.
    """
    outcome = unserved_outcome(
        work, Reason.CANCELLED, 0, may_have_run(state, work)
    )
    return answer(state, work, outcome)


def unserved_outcome(
    work: states.Work,
    reason: outcomes.Reason,
    retry_after_ms: int,
    maybe_ran: bool,
) -> outcomes.Outcome:
    """Return the outcome of a request that ends without a result."""
    if maybe_ran and not has_no_lasting_effect(work):
        return outcomes.Unknown(reason)
    return outcomes.NotRun(reason, retry_after_ms)


def _queue_name(work: states.Work) -> str:
    """Return the name of the queue in which a request waited."""
    if work.is_moved_to_primary:
        return 'primary, moved there'
    return 'primary' if work.primary_only else 'any'


def end_transaction(state: states.GroupState, key: int) -> list:
    """Remove a transaction; closing its connection rolls it back."""
    transaction = state.transactions.pop(key, None)
    if transaction is None:
        return []
    connection = state.connections[transaction.connection]
    return list(connections.close_connection(state, connection))


def enqueue(state: states.GroupState, now_ms: int, work: states.Work) -> list:
    """Queue a request; refuse the request that a full queue evicts for it.

    The evicted request may be this one. Without a refusal it would wait
    outside the queue until its deadline, and so would its caller.
    """
    evicted_key = request_queues.add(state, work)
    if evicted_key is None:
        return []
    evicted = state.work[evicted_key]
    evicted.is_queued = False
    retry_ms = BACKLOG_RETRY_MS
    if service_order.applies(state):
        left_ms = evicted.deadline_ms - now_ms
        retry_ms = return_schedule.spread(
            state.returns, BACKLOG_RETRY_MS, left_ms
        )
    return give_up(state, now_ms, evicted, Reason.BACKLOG, retry_ms)


def requeue(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    reason: outcomes.Reason,
    pause_ms: int = 0,
) -> list:
    """Put a request that did not run back in its queue."""
    state.counters[f'retry_{reason}'] += 1
    work.is_traced = True
    work.last_reason = reason
    work.not_before_ms = now_ms + pause_ms
    if work.running:
        # Another copy of a hedged read is still running.
        return []
    outs = enqueue(state, now_ms, work)
    return [
        *outs,
        messages.LogDecision(
            'retries',
            work.request.statement.request_id,
            {
                'reason': str(reason),
                'pause_ms': pause_ms,
                'passed_over': sorted(work.passed_over),
            },
        ),
    ]
