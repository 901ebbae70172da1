"""Give each request its one final answer, or put it back in line.

What a caller may be told follows from what was sent. A read keeps nothing
whatever became of it, and a transaction keeps nothing until its COMMIT was
sent, for its connection is closed. A single write or a COMMIT that was sent
and not answered may have taken effect; it is never sent again.
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
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'answer',
    'answer_proven',
    'cancel',
    'acknowledge_when_durable',
    'answer_success',
    'end_transaction',
    'give_up',
    'has_no_lasting_effect',
    'enqueue',
    'may_have_run',
    'requeue',
    'unserved_outcome',
]

Reason = outcomes.Reason

# When a caller whose request found the line full may come back: a line
# moves on by its whole length in about that time.
BACKLOG_RETRY_MS = 150


def has_no_lasting_effect(work: states.Work) -> bool:
    """Say whether nothing of the request can last, whatever became of it."""
    request = work.request
    if request.statement.verb is statements.Verb.COMMIT:
        return False
    return not request.writes or request.transaction != 0


def may_have_run(work: states.Work) -> bool:
    """Say whether an upstream has the request, or has answered it."""
    return bool(work.running) or work.unproven_answer is not None


def answer(
    state: states.GroupState, work: states.Work, outcome: outcomes.Outcome
) -> list:
    """Give the final answer.

    Connections that still run a copy of the request go on: what they return
    belongs to nobody any more.
    """
    del state.work[work.request.key]
    if work.is_queued:
        request_queues.remove(state, work)
    state.counters[_label(outcome)] += 1
    answered = messages.Answer(work.request.key, outcome)
    if not work.is_traced:
        return [answered]
    return [answered, _tell_answered(work, outcome)]


def _tell_answered(
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
    needs_ms: int | None = None,
) -> list:
    """Answer a success: the upstream's own rows and signature.

    One that needs the lead proved for a moment waits for that.
    """
    outcome = _success(connection, reply, None)
    if needs_ms is None:
        return answer(state, work, outcome)
    leads = connection.upstream == state.primary
    if leads and needs_ms <= proofs.proven_until_ms(state):
        return answer(state, work, outcome)
    work.proof_needed_ms = needs_ms
    return _hold(state, work, outcome, needs_ms)


def _success(
    connection: states.Connection,
    reply: statements.Reply,
    place: log_positions.LogPosition | None,
) -> outcomes.Done:
    return outcomes.Done(
        list(reply.rows),
        place,
        connection.upstream,
        signature=reply.signature or '',
    )


def _hold(
    state: states.GroupState,
    work: states.Work,
    outcome: outcomes.Done,
    at_ms: int,
) -> list:
    """Keep an answer until the lead is proved for a moment, or more."""
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
    """Acknowledge a write that its upstream confirmed, once that is sound."""
    confirmation = position_records.Confirmation(
        connection.upstream,
        connection.sent_ms,
        now_ms,
        connection.place_before,
        reply.place,
    )
    outcome = _success(connection, reply, reply.place)
    upstream = state.upstreams.get(connection.upstream)
    if upstream is not None:
        upstream.confirmed_ms = now_ms
    if confirmations.is_durable(state, now_ms, confirmation):
        return _acknowledge(state, now_ms, work, confirmation, outcome)
    work.confirmation = confirmation
    state.counters['write_held'] += 1
    return _hold(state, work, outcome, confirmation.sent_ms)


def _acknowledge(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    confirmation: position_records.Confirmation,
    outcome: outcomes.Done,
) -> list:
    reply_effects.note_confirmed(state, confirmation)
    state.unproven_write_ms = states.NEVER_MS
    told = _tell_acknowledged(state, now_ms, work, confirmation)
    return told + answer(state, work, outcome)


def _tell_acknowledged(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    confirmation: position_records.Confirmation,
) -> list:
    """Tell what was known of the members when one is not as usual."""
    usual = all(
        upstream.is_established and not upstream.held_term
        for upstream in states.other_members(state)
    )
    if usual and not state.upstreams[state.primary].leaving:
        return []
    members = {
        upstream.name: {
            'log_end': str(upstream.log_end),
            'held_term': upstream.held_term,
            'reported_ms_ago': now_ms - upstream.answered_status_sent_ms,
            'listed_for_ms': now_ms - upstream.first_listed_ms,
        }
        for upstream in states.other_members(state)
    }
    inputs = {
        'upstream': confirmation.upstream,
        'place': str(confirmation.place),
        'sent_ms_ago': now_ms - confirmation.sent_ms,
        'members': members,
    }
    request_id = work.request.statement.request_id
    return [messages.LogDecision('acknowledged', request_id, inputs)]


def answer_proven(state: states.GroupState, now_ms: int) -> list:
    """Answer what waits for the proof that its upstream led."""
    if not state.awaiting_proof:
        return []
    outs: list = []
    for key in sorted(state.awaiting_proof):
        work = state.work.get(key)
        if work is None or work.unproven_answer is None:
            state.awaiting_proof.discard(key)
        elif work.unproven_answer.served_by != state.primary:
            outs += _after_replacement(state, now_ms, work)
        elif work.confirmation is not None:
            outs += _acknowledge_held(state, now_ms, work)
    # What was just acknowledged proves the lead for reads before it.
    proven = proofs.proven_until_ms(state)
    for key in sorted(state.awaiting_proof):
        work = state.work[key]
        if work.confirmation is None and work.proof_needed_ms <= proven:
            state.awaiting_proof.discard(key)
            outs += answer(state, work, work.unproven_answer)
    return outs


def _acknowledge_held(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list:
    confirmation = work.confirmation
    if not confirmations.is_durable(state, now_ms, confirmation):
        return []
    state.awaiting_proof.discard(work.request.key)
    return _acknowledge(
        state, now_ms, work, confirmation, work.unproven_answer
    )


def _after_replacement(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list:
    """Judge an answer of an upstream that leads no more.

    What it read is not to be used. What was written lasts if its successor
    began with it.
    """
    carried_on: bool | None = False
    if work.confirmation is not None:
        carried_on = confirmations.is_in_successor_log(
            state, work.confirmation
        )
    if carried_on is None:
        return []
    state.awaiting_proof.discard(work.request.key)
    if carried_on:
        return answer(state, work, work.unproven_answer)
    return _replaced(state, now_ms, work)


def _replaced(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list:
    work.unproven_answer = None
    if not has_no_lasting_effect(work):
        # Its upstream was replaced, with or without what it wrote.
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
    """Refuse a request for good, and say truthfully what is kept of it."""
    request = work.request
    held = work.confirmation
    if held is not None and held.upstream == state.primary:
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
            'line': _line_of(work),
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
    """Answer a request whose caller is gone.

    Its connection goes on with what was sent, for nobody.
    """
    outcome = unserved_outcome(work, Reason.CANCELLED, 0, may_have_run(work))
    return answer(state, work, outcome)


def unserved_outcome(
    work: states.Work,
    reason: outcomes.Reason,
    retry_after_ms: int,
    maybe_ran: bool,
) -> outcomes.Outcome:
    """Say what is kept of a request that is not served."""
    if maybe_ran and not has_no_lasting_effect(work):
        return outcomes.Unknown(reason)
    return outcomes.NotRun(reason, retry_after_ms)


def _line_of(work: states.Work) -> str:
    """Name the line in which a request waited."""
    if work.is_moved_to_primary:
        return 'primary, moved there'
    return 'primary' if work.primary_only else 'any'


def end_transaction(state: states.GroupState, key: int) -> list:
    """Forget a transaction; closing its connection rolls it back."""
    transaction = state.transactions.pop(key, None)
    if transaction is None:
        return []
    connection = state.connections[transaction.connection]
    return list(connections.close_connection(state, connection))


def enqueue(state: states.GroupState, now_ms: int, work: states.Work) -> list:
    """Put a request in line; refuse the one that has to leave a full one.

    It may be the same. Unrefused it would wait outside the line for its whole
    time, and the caller with it.
    """
    left_out = request_queues.add(state, work)
    if left_out is None:
        return []
    last = state.work[left_out]
    last.is_queued = False
    return give_up(state, now_ms, last, Reason.BACKLOG, BACKLOG_RETRY_MS)


def requeue(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    reason: outcomes.Reason,
    pause_ms: int = 0,
) -> list:
    """Put a request that did not run back in line."""
    state.counters[f'retry_{reason}'] += 1
    work.is_traced = True
    work.last_reason = reason
    work.not_before_ms = now_ms + pause_ms
    if work.running:
        # Another copy of a hedged read is still under way.
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
