"""Take in what upstreams, peers and the platform say of a group."""

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
    """Take in a status and what a new term or primary entails."""
    changed = views.apply_status(state.view, now_ms, status)
    if status.upstream == state.view.primary and status.leads:
        suspicion.note_alive(state.evidence, now_ms)
    if not changed:
        return []
    suspicion.reset(state.evidence, now_ms)
    outs = _turn_term(state, now_ms)
    if state.view.primary:
        state.handing_over_since_ms = None
        outs.append(
            messages.RecordDecision(
                f'{state.view.primary} leads term {state.view.term}',
                f'seen at {state.name}',
            )
        )
    return outs


def _turn_term(state: states.OwnerState, now_ms: int) -> Out:
    """Leave the old term: what waited for it has an open fate now."""
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
    """Take in the reply to a heartbeat or to a round."""
    status = message.status
    outs = update_view(state, now_ms, status)
    if message.round_id:
        needed = views.majority(state.view)
        for waiter in rounds.note_status(
            state.round_state, message.round_id, status, needed
        ):
            outs += results.complete_confirmed(state, now_ms, waiter)
        return outs
    _sample(state, message)
    return outs


def _sample(
    state: states.OwnerState, message: messages.StatusReceived
) -> None:
    """Have the age of the primary's place confirmed by the next round."""
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
        needs_place=False,
    )


def handle_link_opened(
    state: states.OwnerState, now_ms: int, message: messages.LinkOpened
) -> Out:
    """Have rounds that were asked without a connection asked again.

    Otherwise they count as under way for two seconds, which is longer than
    a read has: it would end unknown although all its upstreams answer.
    """
    rounds.forget_requests(state.round_state, message.upstream)
    return []


def handle_probe_failed(
    state: states.OwnerState, now_ms: int, message: messages.ProbeFailed
) -> Out:
    """Take in that an upstream did not answer."""
    rounds.forget_requests(state.round_state, message.upstream)
    if message.upstream == state.view.primary:
        suspicion.note_failure(state.evidence, now_ms, message.kind)
    return []


def handle_peer_suspicion(
    state: states.OwnerState, now_ms: int, message: messages.PeerSuspicion
) -> Out:
    """Take in what another owner thinks of the primary."""
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
    """Take in who the live owners are."""
    state.owners = message.owners
    return []


def handle_grants(
    state: states.OwnerState, now_ms: int, message: messages.GrantsReceived
) -> Out:
    """Take in the terms that are this owner's alone."""
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
    """Take in which upstreams are leaving."""
    state.leaving_upstreams = message.names
    return []
