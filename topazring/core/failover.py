"""Decide when to promote an upstream, and drive the promotion."""

from topazring.core import expiry
from topazring.core import messages
from topazring.core import observations
from topazring.core import promotion
from topazring.core import state as states
from topazring.core import suspicion

__all__ = [
    'handle_fence_reply',
    'handle_lead_reply',
    'check_primary',
]

Out = list

# Delay before an owner promotes, for each owner above it in the preference
# order.
STAGGER_MS = 500
SUSPICION_INTERVAL_MS = 200
# How long another owner's report of its suspicion is used.
MAX_PEER_SUSPICION_AGE_MS = 1500
# How long an owner that reported a newer term is given to complete its
# promotion.
PEER_PROMOTION_WAIT_MS = 300
# How long to wait for a report of another owner.
PEER_REPLY_WAIT_MS = 1500
MIN_USABLE_GRANTS = 3
GRANT_REQUEST_INTERVAL_MS = 1000
# How long a hand-over waits for writes and transactions to end.
MAX_HAND_OVER_WAIT_MS = 2000


def check_primary(state: states.OwnerState, now_ms: int) -> Out:
    """Check the primary and take the next step of a promotion."""
    verdict, why = suspicion.judge(state.evidence, state.view, now_ms)
    outs = _send_suspicion(state, now_ms, verdict)
    outs += _request_grants(state, now_ms)
    if state.attempt is not None:
        return outs + _drive_promotion(state, now_ms)
    if verdict is suspicion.Verdict.SUSPECT:
        return outs + _consider_promotion(state, now_ms, why)
    state.suspected_since_ms = None
    outs += _record_local_failure(state, now_ms, verdict)
    return outs + _hand_over(state, now_ms)


def _record_local_failure(
    state: states.OwnerState, now_ms: int, verdict: suspicion.Verdict
) -> Out:
    """Record that the primary is alive but unreachable for this owner."""
    if verdict is not suspicion.Verdict.LOCAL_FAILURE:
        state.unreachable_since_ms = None
        return []
    if state.unreachable_since_ms is None:
        state.unreachable_since_ms = now_ms
    if not expiry.is_primary_unreachable(state, now_ms):
        return []
    return expiry.fail_primary_requests(state, now_ms)


def _send_suspicion(
    state: states.OwnerState, now_ms: int, verdict: suspicion.Verdict
) -> Out:
    suspects = verdict is suspicion.Verdict.SUSPECT
    is_peer_suspecting = any(
        term >= state.view.term and now_ms - at_ms < SUSPICION_INTERVAL_MS * 2
        for term, at_ms in state.peer_suspects.values()
    )
    is_alive = verdict is suspicion.Verdict.ALIVE
    if not suspects and not (is_alive and is_peer_suspecting):
        return []
    is_first = suspects and state.suspected_since_ms is None
    if (
        not is_first
        and now_ms - state.suspicion_sent_ms < SUSPICION_INTERVAL_MS
    ):
        return []
    state.suspicion_sent_ms = now_ms
    return [messages.SendSuspicion(state.view.term, suspects)]


def _request_grants(state: states.OwnerState, now_ms: int) -> Out:
    if now_ms - state.grants_requested_ms < GRANT_REQUEST_INTERVAL_MS:
        return []
    usable = [term for term in state.grants if term > state.view.term]
    if len(usable) >= MIN_USABLE_GRANTS:
        return []
    state.grants_requested_ms = now_ms
    return [messages.RequestGrants(state.view.term)]


def _consider_promotion(
    state: states.OwnerState, now_ms: int, why: str
) -> Out:
    outs: Out = []
    if state.suspected_since_ms is None:
        state.suspected_since_ms = now_ms
        outs.append(messages.RecordDecision('suspects its primary', why))
    is_agreed, reason = _check_agreement(state, now_ms)
    delay_ms = STAGGER_MS * _rank(state)
    is_due = now_ms >= max(
        state.retry_promotion_ms, state.suspected_since_ms + delay_ms
    )
    if not is_agreed or not is_due or _is_peer_promoting(state, now_ms):
        return outs
    return outs + _begin_promotion(state, now_ms, f'{why}; {reason}')


def _is_peer_promoting(state: states.OwnerState, now_ms: int) -> bool:
    """Return whether another owner is promoting, or has, under a newer term.

    Without this check two owners promote shortly after each other, and the
    writes of the first primary are cancelled. Since the other owner may have
    failed, the wait is limited to the time that a promotion and a status
    request take.
    """
    is_ahead = state.peer_term > state.view.term
    return (
        is_ahead and now_ms - state.peer_term_since_ms < PEER_PROMOTION_WAIT_MS
    )


def _rank(state: states.OwnerState) -> int:
    if state.name in state.owners:
        return state.owners.index(state.name)
    return len(state.owners)


def _check_agreement(
    state: states.OwnerState, now_ms: int
) -> tuple[bool, str]:
    """Return whether another owner agrees or none responds, and the reason."""
    others = [name for name in state.owners if name != state.name]
    if not others:
        return True, 'no other owner is alive'
    reports = {
        name: term
        for name, (term, at_ms) in state.peer_suspects.items()
        if name in others and now_ms - at_ms <= MAX_PEER_SUSPICION_AGE_MS
    }
    for name, term in reports.items():
        if term >= state.view.term:
            return True, f'{name} agrees'
    if reports:
        return False, 'the other owners do not agree'
    if now_ms - state.suspected_since_ms >= PEER_REPLY_WAIT_MS:
        return True, 'no other owner answers'
    return False, 'no other owner has answered yet'


def _begin_promotion(state: states.OwnerState, now_ms: int, why: str) -> Out:
    usable = [term for term in state.grants if term > state.view.term]
    if not usable:
        state.counters['promotion_without_grant'] += 1
        return []
    term = min(usable)
    # Used even if the attempt fails: a term serves one attempt.
    state.grants.discard(term)
    state.used_terms.add(term)
    avoid = state.leaving_upstreams | {state.view.primary}
    state.attempt, fences = promotion.begin(
        term, now_ms, tuple(state.view.upstreams), avoid, why
    )
    state.counters['promotions_begun'] += 1
    began = messages.RecordDecision(
        f'begins a promotion under term {term}', why
    )
    return [began, messages.SendSuspicion(term, True), *fences]


def handle_fence_reply(
    state: states.OwnerState, now_ms: int, message: messages.FenceReply
) -> Out:
    """Handle the reply to a fence."""
    outs = observations.update_view(state, now_ms, message.status)
    if state.attempt is None:
        return outs
    outs += promotion.note_fenced(state.attempt, now_ms, message)
    return outs + _conclude_promotion(state, now_ms)


def handle_lead_reply(
    state: states.OwnerState, now_ms: int, message: messages.LeadReply
) -> Out:
    """Handle the reply of the upstream that was asked to lead."""
    outs = observations.update_view(state, now_ms, message.status)
    if state.attempt is None:
        return outs
    promotion.note_lead_reply(state.attempt, message)
    return outs + _conclude_promotion(state, now_ms)


def _drive_promotion(state: states.OwnerState, now_ms: int) -> Out:
    outs: Out = list(promotion.resend(state.attempt, now_ms))
    promotion.expire(state.attempt, now_ms)
    return outs + _conclude_promotion(state, now_ms)


def _conclude_promotion(state: states.OwnerState, now_ms: int) -> Out:
    attempt = state.attempt
    if attempt.phase is promotion.Phase.WON:
        state.attempt = None
        state.suspected_since_ms = None
        state.handing_over_since_ms = None
        state.counters['promotions_won'] += 1
        took_ms = now_ms - attempt.began_ms
        return [
            messages.RecordPrimary(attempt.term, attempt.chosen),
            messages.RecordDecision(
                f'promoted {attempt.chosen} under term {attempt.term} in '
                f'{took_ms} ms',
                attempt.why,
            ),
        ]
    if attempt.phase is promotion.Phase.FAILED:
        state.attempt = None
        pause_ms = 100 + state.rng.randrange(200) + 200 * _rank(state)
        state.retry_promotion_ms = now_ms + pause_ms
        state.counters['promotions_failed'] += 1
        return [
            messages.RecordDecision(
                f'gave up the promotion under term {attempt.term}',
                f'fenced {sorted(attempt.fenced)}, chose '
                f'{attempt.chosen or "none"}, highest term seen '
                f'{state.view.term}',
            )
        ]
    return []


def _hand_over(state: states.OwnerState, now_ms: int) -> Out:
    """Promote a successor of a leaving primary without interrupting writes.

    The wait for writes, transactions and replicas ends after
    MAX_HAND_OVER_WAIT_MS.
    """
    is_leaving = state.view.primary in state.leaving_upstreams
    if not is_leaving or _rank(state) != 0:
        state.handing_over_since_ms = None
        return []
    if state.handing_over_since_ms is None:
        state.handing_over_since_ms = now_ms
    waited_ms = now_ms - state.handing_over_since_ms
    in_flight = state.in_flight.get(state.view.primary, 0)
    is_drained = (
        not in_flight
        and not state.transactions
        and _is_replica_caught_up(state)
    )
    if not is_drained and waited_ms < MAX_HAND_OVER_WAIT_MS:
        return []
    if now_ms < state.retry_promotion_ms:
        return []
    return _begin_promotion(state, now_ms, f'{state.view.primary} is leaving')


def _is_replica_caught_up(state: states.OwnerState) -> bool:
    primary = state.view.upstreams[state.view.primary]
    return any(
        seen.place >= primary.place
        for seen in state.view.upstreams.values()
        if seen.name != state.view.primary
        and seen.name not in state.leaving_upstreams
    )
