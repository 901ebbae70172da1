"""Handle the replies of upstreams to statements of transactions."""

from topazring.core import outcomes
from topazring.core.synchronous import completion
from topazring.core.synchronous import connections
from topazring.core.synchronous import dispatch
from topazring.core.synchronous import exchanges
from topazring.core.synchronous import primary
from topazring.core.synchronous import proofs
from topazring.core.synchronous import reply_effects
from topazring.core.synchronous.scheduling import organisation_shares
from topazring.core.synchronous import session_setup
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = ['send_first_statement', 'handle_reply', 'handle_setup']

Reason = outcomes.Reason
Code = statements.Code
SessionState = statements.SessionState


def send_first_statement(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    work: states.Work,
) -> list:
    request = work.request
    connection.transaction = request.transaction
    state.transactions[request.transaction] = states.Transaction(
        connection.number,
        request.read_only,
        request.policy.transaction_idle_ms,
        proofs.required_proof_ms(connection.commands, request),
        contended_limit_ms=organisation_shares.rest_limit_ms(request.policy),
    )
    command = exchanges.statement_command(request)
    return [
        connections.send(
            connection, now_ms, states.Purpose.STATEMENT, (command,)
        )
    ]


def handle_reply(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    work: states.Work | None,
    reply: statements.Reply,
) -> list:
    transaction = state.transactions.get(connection.transaction)
    if work is None or transaction is None:
        return _roll_back_unclaimed(state, now_ms, connection)
    request = work.request
    work.running.discard(connection.number)
    is_commit = request.statement.verb is statements.Verb.COMMIT
    if reply.code is None and not is_commit:
        return _statement_done(
            state, now_ms, connection, work, reply, transaction
        )
    if reply.code is None:
        return _committed(state, now_ms, connection, work, reply, transaction)
    return _statement_failed(
        state, now_ms, connection, work, reply, transaction
    )


def handle_setup(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    work: states.Work | None,
    last: statements.Reply,
    is_refused: bool,
) -> list:
    """Send a statement whose session is set up, or end its transaction."""
    transaction = state.transactions.get(connection.transaction)
    if work is None or transaction is None:
        return _roll_back_unclaimed(state, now_ms, connection)
    if not is_refused and last.state is SessionState.IN_TRANSACTION:
        return [session_setup.send_following(state, now_ms, connection)]
    state.counters['setup_refused'] += 1
    work.running.discard(connection.number)
    outs = _end_failed(state, now_ms, connection, work, last)
    return outs + completion.give_up(
        state, now_ms, work, Reason.TRANSACTION_LOST, 0
    )


def _end_failed(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    work: states.Work,
    reply: statements.Reply,
) -> list:
    """End a transaction in which a command failed."""
    state.transactions.pop(work.request.transaction, None)
    connections.mark_idle(connection, now_ms)
    if reply.state is SessionState.IDLE:
        return reply_effects.release_connection(
            state, now_ms, connection, reply
        )
    return dispatch.roll_back(state, now_ms, connection)


def _roll_back_unclaimed(
    state: states.GroupState, now_ms: int, connection: states.Connection
) -> list:
    """Roll back a transaction whose request was given up."""
    state.counters['late_result'] += 1
    state.transactions.pop(connection.transaction, None)
    connections.mark_idle(connection, now_ms)
    return dispatch.roll_back(state, now_ms, connection)


def _statement_done(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    work: states.Work,
    reply: statements.Reply,
    transaction: states.Transaction,
) -> list:
    if work.request.writes:
        transaction.wrote = True
    connections.mark_idle(connection, now_ms)
    needs_ms = None if work.request.writes else transaction.proof_needed_ms
    return completion.answer_success(state, work, connection, reply, needs_ms)


def _committed(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    work: states.Work,
    reply: statements.Reply,
    transaction: states.Transaction,
) -> list:
    state.transactions.pop(work.request.transaction, None)
    outs = reply_effects.release_connection(state, now_ms, connection, reply)
    if transaction.wrote:
        return outs + completion.acknowledge_when_durable(
            state, now_ms, work, connection, reply
        )
    return outs + completion.answer_success(state, work, connection, reply)


def _statement_failed(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    work: states.Work,
    reply: statements.Reply,
    transaction: states.Transaction,
) -> list:
    """Answer a statement whose failure ends its transaction.

    If it only found no free slot and its transaction is still open, it is
    sent again.
    """
    is_open = reply.state is SessionState.IN_TRANSACTION
    if reply.code is Code.BUSY and is_open:
        state.counters[f'retry_{Reason.SLOTS_BUSY}'] += 1
        connections.mark_idle(connection, now_ms)
        return dispatch.continue_transaction(state, now_ms, work)
    if reply.code is Code.NO_STATEMENT:
        session_setup.forget(connection)
    outs = _end_failed(state, now_ms, connection, work, reply)
    upstream = state.upstreams.get(connection.upstream)
    if reply.code is Code.READ_ONLY and upstream is not None:
        outs += primary.note_not_leading(state, now_ms, upstream)
    if reply.code in (Code.FAILED, Code.TIMEOUT, Code.OTHER):
        return outs + completion.answer(
            state, work, outcomes.Unknown(Reason.UPSTREAM_FAILED)
        )
    return outs + completion.give_up(
        state, now_ms, work, Reason.TRANSACTION_LOST, 0
    )
