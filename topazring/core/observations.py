"""Handle reports of upstreams, other owners and the platform on a group."""

from topazring.core import completion
from topazring.core import expiry
from topazring.core import messages
from topazring.core import outcomes
from topazring.core import results
from topazring.core import rounds
from topazring.core import state as states
from topazring.core import suspicion
from topazring.core import view as views

__all__ = [
    'handle_grants',
    'handle_leaving',
    'handle_link_opened',
    'handle_owners',
    'handle_peer_suspicion',
    'handle_probe_failed',
    'handle_status',
    'update_view',
]

Out = list


def update_view(
    state: states.OwnerState, now_ms: int, status: messages.Status
) -> Out:
    """Apply a status and handle a change of the term or primary."""
    changed = views.apply_status(state.view, now_ms, status)
    if status.upstream == state.view.primary and status.leads:
        suspicion.note_alive(state.evidence, now_ms)
    if not changed:
        return []
    suspicion.reset(state.evidence, now_ms)
    outs = _change_term(state, now_ms)
    if state.view.primary:
        state.handing_over_since_ms = None
        outs.append(
            messages.RecordDecision(
                f'{state.view.primary} leads term {state.view.term}',
                f'seen at {state.name}',
            )
        )
    return outs


def _change_term(state: states.OwnerState, now_ms: int) -> Out:
    """Leave the old term; requests that waited for it are in doubt now."""
    if state.round_state.term == state.view.term:
        return []
    waiters = rounds.remove_all_waiters(state.round_state)
    state.round_state.term = state.view.term
    outs: Out = []
    for waiter in waiters:
        work = state.work.get(waiter.key)
        if work is not None:
            reason = outcomes.Reason.REPLACED
            outs += completion.resolve_in_doubt(state, now_ms, work, reason)
    for key, transaction in list(state.transactions.items()):
        if transaction.term < state.view.term and not transaction.busy:
            outs += expiry.withdraw(state, now_ms, messages.Withdraw(key))
    return outs


def handle_status(
    state: states.OwnerState, now_ms: int, message: messages.StatusReceived
) -> Out:
    """Handle the reply to a heartbeat or to a round."""
    status = message.status
    outs = update_view(state, now_ms, status)
    if message.round_id:
        needed = views.majority(state.view)
        for waiter in rounds.note_status(
            state.round_state, message.round_id, status, needed
        ):
            outs += results.complete_confirmed(state, now_ms, waiter)
        return outs
    _add_sample(state, message)
    return outs


def _add_sample(
    state: states.OwnerState, message: messages.StatusReceived
) -> None:
    """Add a sample of the primary's position for a round to confirm."""
    status = message.status
    current = status.accepted_term == state.view.term and status.leads
    if not current or status.place.log_term != state.view.term:
        return
    key = state.next_sample_key
    state.next_sample_key -= 1
    rounds.add_waiter(
        state.round_state,
        key,
        status.place,
        message.sent_ms,
        needs_position=False,
    )


def handle_link_opened(
    state: states.OwnerState, now_ms: int, message: messages.LinkOpened
) -> Out:
    """Repeat rounds that were requested without a connection.

    Otherwise they count as in flight for two seconds, which is longer than
    the deadline of a read: it would end unknown although all upstreams
    answer.
    """
    rounds.forget_requests(state.round_state, message.upstream)
    return []


def handle_probe_failed(
    state: states.OwnerState, now_ms: int, message: messages.ProbeFailed
) -> Out:
    """Handle a failed probe of an upstream."""
    rounds.forget_requests(state.round_state, message.upstream)
    if message.upstream == state.view.primary:
        suspicion.note_failure(state.evidence, now_ms, message.kind)
    return []


def handle_peer_suspicion(
    state: states.OwnerState, now_ms: int, message: messages.PeerSuspicion
) -> Out:
    """Record whether another owner suspects the primary."""
    if message.term < state.view.term:
        return []
    if message.term > max(state.view.term, state.peer_term):
        state.peer_term = message.term
        state.peer_term_since_ms = now_ms
    if message.suspects:
        state.peer_suspects[message.owner] = (message.term, now_ms)
    else:
        state.peer_suspects[message.owner] = (-1, now_ms)
    return []


def handle_owners(
    state: states.OwnerState, now_ms: int, message: messages.OwnersChanged
) -> Out:
    """Record the live owners."""
    state.owners = message.owners
    return []


def handle_grants(
    state: states.OwnerState, now_ms: int, message: messages.GrantsReceived
) -> Out:
    """Record the terms that are granted to this owner only."""
    usable = {term for term in message.terms if term > state.view.term}
    if state.attempt is not None:
        usable.discard(state.attempt.term)
    state.grants = usable - state.used_terms
    return []


def handle_leaving(
    state: states.OwnerState,
    now_ms: int,
    message: messages.UpstreamsLeaving,
) -> Out:
    """Record the upstreams that are leaving."""
    state.leaving_upstreams = message.names
    return []
