"""Process the replies of upstreams and the end of connections."""

import collections.abc

from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core import retries
from topazring.core.synchronous import completion
from topazring.core.synchronous import concurrency_limit
from topazring.core.synchronous import confirmations
from topazring.core.synchronous import connections
from topazring.core.synchronous import dispatch
from topazring.core.synchronous import exchanges
from topazring.core.synchronous import messages
from topazring.core.synchronous import primary
from topazring.core.synchronous import process_runs
from topazring.core.synchronous import proofs
from topazring.core.synchronous import refusals
from topazring.core.synchronous import reply_effects
from topazring.core.synchronous.scheduling import service_times
from topazring.core.synchronous import session_setup
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous import transactions

__all__ = [
    'handle_closed',
    'handle_replies',
    'record_log_positions',
]

Reason = outcomes.Reason
Code = statements.Code
SessionState = statements.SessionState

# Set-up commands take no slot, and each attempt repeats only what is not
# acknowledged yet.
SETUP_ATTEMPTS = 3
SERVICE_WEIGHT = 0.1
MIN_SERVICE_MS = 1.0

Handler = collections.abc.Callable[
    [states.GroupState, int, states.Connection, messages.Replied], list
]
_handlers: dict[states.Purpose, Handler] = {}


def _handler_for(
    purpose: states.Purpose,
) -> collections.abc.Callable[[Handler], Handler]:
    def register(handler: Handler) -> Handler:
        _handlers[purpose] = handler
        return handler

    return register


def handle_replies(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    message: messages.Replied,
) -> list:
    """Process the replies to the commands sent on a connection."""
    outs = record_log_positions(state, now_ms, connection, message.replies)
    handler = _handlers[connection.purpose]
    return outs + handler(state, now_ms, connection, message)


def record_log_positions(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    replies: tuple[statements.Reply, ...],
) -> list:
    """Record leadership and log positions reported in replies.

    A plain BEGIN succeeds only at an upstream that considered itself the
    primary after the command was sent. The log position in the reply becomes
    a sample once it is proved that no other upstream led then.
    """
    upstream = states.upstream_of(state, connection)
    if upstream is None or not replies:
        return []
    process_runs.note_replied(state, connection)
    positions = [reply.place for reply in replies if reply.place is not None]
    newest = positions[-1] if positions else None
    primary.note_log_position(state, now_ms, upstream, newest)
    if newest is not None:
        confirmations.note_log_position(
            upstream, connection.sent_ms, newest, connection.running_since_ms
        )
    outs: list = []
    for command, reply in zip(connection.commands, replies, strict=False):
        if not isinstance(command, statements.Begin) or command.read_only:
            continue
        if reply.code is Code.READ_ONLY:
            outs += primary.note_not_leading(state, now_ms, upstream)
            proofs.note_refusal(upstream, connection.sent_ms)
        elif reply.code is None:
            outs += primary.note_begin_accepted(
                state, now_ms, upstream, connection.sent_ms
            )
            if reply.place is not None and upstream.name == state.primary:
                sample = log_positions.Sample(connection.sent_ms, reply.place)
                state.pending_samples.append(sample)
    proofs.apply_proof(state)
    return outs


@_handler_for(states.Purpose.LEADERSHIP_CHECK)
@_handler_for(states.Purpose.ABORT)
def _release_connection(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    message: messages.Replied,
) -> list:
    return reply_effects.release_connection(
        state, now_ms, connection, message.replies[-1]
    )


@_handler_for(states.Purpose.STATUS_QUERY)
def _after_status_query(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    message: messages.Replied,
) -> list:
    reply = message.replies[-1]
    outs = reply_effects.release_connection(state, now_ms, connection, reply)
    upstream = states.upstream_of(state, connection)
    if upstream is None or reply.report is None:
        return outs
    outs += primary.note_report(
        state,
        now_ms,
        upstream,
        connection.sent_ms,
        reply.report,
        connection.running_since_ms,
    )
    proofs.apply_proof(state)
    return outs


@_handler_for(states.Purpose.BEGIN_TRANSACTION)
def _after_begin(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    message: messages.Replied,
) -> list:
    work = state.work.get(connection.work)
    last = message.replies[-1]
    commands = connection.commands
    session_setup.note_replies(connection, message.replies)
    refusal = exchanges.first_refusal(commands, message.replies)
    if refusal is None and last.code is not None:
        refusal = last
    if work is None or refusal is not None and last.code is None:
        # The caller is gone, or a leadership check was refused before this
        # BEGIN succeeded.
        connections.mark_idle(connection, now_ms)
        outs = dispatch.roll_back(state, now_ms, connection)
    elif refusal is not None:
        outs = reply_effects.release_connection(
            state, now_ms, connection, last
        )
    else:
        return transactions.send_first_statement(
            state, now_ms, connection, work
        )
    if work is None:
        return outs
    work.running.discard(connection.number)
    if refusal.code in refusals.FAILURES:
        work.passed_over.add(connection.upstream)
    return outs + refusals.requeue_not_run(
        state, now_ms, work, connection, refusal, commands
    )


@_handler_for(states.Purpose.SESSION_SETUP)
def _after_setup(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    message: messages.Replied,
) -> list:
    """Send the statement for which a connection was set up."""
    work = state.work.get(connection.work)
    last = message.replies[-1]
    commands = connection.commands
    session_setup.note_replies(connection, message.replies)
    refusal = next((r for r in message.replies if r.code is not None), None)
    if connection.transaction:
        return transactions.handle_setup(
            state, now_ms, connection, work, last, refusal is not None
        )
    if last.state is SessionState.IDLE and _may_still_send(
        state, now_ms, work, connection
    ):
        if refusal is None:
            return [session_setup.send_following(state, now_ms, connection)]
        connection.refused_setups += 1
        if connection.refused_setups < SETUP_ATTEMPTS:
            state.counters['setup_repeated'] += 1
            setup = session_setup.setup_commands(connection, work.request)
            return [
                session_setup.send(
                    connection, now_ms, setup, connection.following
                )
            ]
    outs = reply_effects.release_connection(state, now_ms, connection, last)
    if work is None:
        return outs
    work.running.discard(connection.number)
    if work.unproven_answer is not None:
        return outs
    if refusal is None:
        is_late = now_ms >= work.deadline_ms
        reason = Reason.DEADLINE if is_late else Reason.REPLACED
        return outs + completion.requeue(state, now_ms, work, reason)
    return outs + refusals.requeue_unsent(
        state, now_ms, work, connection, refusal, commands
    )


def _may_still_send(
    state: states.GroupState,
    now_ms: int,
    work: states.Work | None,
    connection: states.Connection,
) -> bool:
    """Return whether what held when a setup began still holds."""
    upstream = state.upstreams.get(connection.upstream)
    if work is None or upstream is None:
        return False
    if states.is_closed_to_work(upstream, now_ms):
        return False
    if work.unproven_answer is not None or now_ms >= work.deadline_ms:
        return False
    needs_primary = work.request.writes or exchanges.checks_leadership(
        connection.following
    )
    return not needs_primary or connection.upstream == state.primary


@_handler_for(states.Purpose.STATEMENT)
def _after_statement(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    message: messages.Replied,
) -> list:
    last = message.replies[-1]
    _record_service_time(state, now_ms, connection, last)
    work = state.work.get(connection.work)
    commands = connection.commands
    refusal = exchanges.first_refusal(commands, message.replies)
    if connection.transaction:
        return transactions.handle_reply(state, now_ms, connection, work, last)
    outs = reply_effects.release_connection(state, now_ms, connection, last)
    if work is None:
        state.counters['late_result'] += 1
        return outs
    work.running.discard(connection.number)
    if work.unproven_answer is not None:
        # Another copy of this read has been answered already, and its answer
        # waits for a leadership proof.
        return outs
    if refusal is not None and not work.request.writes:
        return outs + refusals.requeue_not_run(
            state, now_ms, work, connection, refusal, commands
        )
    if last.code is None:
        return outs + _succeeded(
            state, now_ms, work, connection, last, commands
        )
    if last.code in refusals.FAILURES:
        return outs + _failed(state, now_ms, work, connection, last)
    return outs + refusals.requeue_not_run(
        state, now_ms, work, connection, last, commands
    )


def _record_service_time(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    last: statements.Reply,
) -> None:
    upstream = state.upstreams.get(connection.upstream)
    if upstream is None or last.code is not None:
        return
    took_ms = now_ms - connection.sent_ms
    work = state.work.get(connection.work)
    if work is not None:
        service_times.record(
            state.service_by_database,
            work.request.policy.database,
            took_ms,
            bool(connection.transaction),
        )
    upstream.service_ms += (took_ms - upstream.service_ms) * SERVICE_WEIGHT
    upstream.service_ms = max(MIN_SERVICE_MS, upstream.service_ms)
    upstream.service_updated_ms = now_ms
    concurrency_limit.adjust_limit(state, upstream)
    upstream.lagging_pause_ms = 0
    retries.earn(state.budget)


def _succeeded(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    connection: states.Connection,
    reply: statements.Reply,
    commands: tuple[statements.Command, ...],
) -> list:
    request = work.request
    if request.writes:
        return completion.acknowledge_when_durable(
            state, now_ms, work, connection, reply
        )
    at_primary = connection.upstream == state.primary
    where = 'primary' if at_primary else 'replica'
    state.counters[f'read_{request.policy.freshness}_at_{where}'] += 1
    proof_needed_ms = proofs.required_proof_ms(commands, request)
    return completion.answer_success(
        state, work, connection, reply, proof_needed_ms
    )


def _failed(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    connection: states.Connection,
    reply: statements.Reply,
) -> list:
    """Answer a request that ran and failed, or retry a read elsewhere."""
    if work.running:
        return []
    if not work.request.writes and retries.spend(state.budget):
        work.passed_over.add(connection.upstream)
        return completion.requeue(state, now_ms, work, Reason.UPSTREAM_FAILED)
    reason = Reason.UPSTREAM_FAILED
    if reply.code is Code.TIMEOUT:
        reason = Reason.UPSTREAM_TIMEOUT
    return completion.answer(state, work, outcomes.Unknown(reason))


def handle_closed(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    message: messages.Closed,
) -> list:
    """Process the end of a connection and complete or requeue its request."""
    outs = record_log_positions(state, now_ms, connection, message.replies)
    outs += connections.handle_closed(state, now_ms, connection, message)
    work = state.work.get(connection.work)
    if work is None or work.running or work.unproven_answer is not None:
        return outs
    return outs + _connection_lost(
        state, now_ms, connection, work, message.reason
    )


def _connection_lost(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    work: states.Work,
    reason: outcomes.Reason,
) -> list:
    """Complete or requeue a request whose connection ended unanswered."""
    request = work.request
    was_sent = connection.purpose is states.Purpose.STATEMENT
    if request.continues_transaction:
        # Until its COMMIT is sent, the end of the connection rolls the
        # transaction back.
        is_commit = request.statement.verb is statements.Verb.COMMIT
        return completion.give_up(
            state,
            now_ms,
            work,
            reason if is_commit and was_sent else Reason.TRANSACTION_LOST,
            0,
            maybe_ran=was_sent,
        )
    if completion.has_no_lasting_effect(work) or not was_sent:
        if retries.spend(state.budget):
            work.passed_over.add(connection.upstream)
            return completion.requeue(state, now_ms, work, reason)
    return completion.give_up(
        state, now_ms, work, reason, 0, maybe_ran=was_sent
    )
