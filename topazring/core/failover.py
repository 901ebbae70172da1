"""Decide when to promote, and see a promotion through."""

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

# Owners lower in the preference order hold back that long for each above.
STAGGER_MS = 500
TELL_MS = 200
# A peer's word is taken for that long.
PEER_WORD_MS = 1500
# An owner that knows of a newer term is left so long to see it through.
PEER_PROMOTION_WAIT_MS = 300
# Silent peers are not waited for longer than this.
ALONE_AFTER_MS = 1500
GRANTS_WANTED = 3
ASK_GRANTS_MS = 1000
# A hand-over waits that long for writes and transactions to end.
HAND_OVER_MS = 2000


def check_primary(state: states.OwnerState, now_ms: int) -> Out:
    """Judge the primary and take the next step of a promotion."""
    verdict, why = suspicion.judge(state.evidence, state.view, now_ms)
    outs = _tell_peers(state, now_ms, verdict)
    outs += _want_grants(state, now_ms)
    if state.attempt is not None:
        return outs + _drive(state, now_ms)
    if verdict is suspicion.Verdict.SUSPECT:
        return outs + _consider(state, now_ms, why)
    state.suspected_since_ms = None
    outs += _note_cut_off(state, now_ms, verdict)
    return outs + _hand_over(state, now_ms)


def _note_cut_off(
    state: states.OwnerState, now_ms: int, verdict: suspicion.Verdict
) -> Out:
    """Notice that the primary is there but not for this owner."""
    if verdict is not suspicion.Verdict.LOCAL_FAILURE:
        state.unreachable_since_ms = None
        return []
    if state.unreachable_since_ms is None:
        state.unreachable_since_ms = now_ms
    if not expiry.is_primary_unreachable(state, now_ms):
        return []
    return expiry.fail_primary_requests(state, now_ms)


def _tell_peers(
    state: states.OwnerState, now_ms: int, verdict: suspicion.Verdict
) -> Out:
    suspects = verdict is suspicion.Verdict.SUSPECT
    asked = any(
        term >= state.view.term and now_ms - at_ms < TELL_MS * 2
        for term, at_ms in state.peer_suspects.values()
    )
    alive = verdict is suspicion.Verdict.ALIVE
    if not suspects and not (alive and asked):
        return []
    first = suspects and state.suspected_since_ms is None
    if not first and now_ms - state.suspicion_sent_ms < TELL_MS:
        return []
    state.suspicion_sent_ms = now_ms
    return [messages.SendSuspicion(state.view.term, suspects)]


def _want_grants(state: states.OwnerState, now_ms: int) -> Out:
    if now_ms - state.grants_requested_ms < ASK_GRANTS_MS:
        return []
    usable = [term for term in state.grants if term > state.view.term]
    if len(usable) >= GRANTS_WANTED:
        return []
    state.grants_requested_ms = now_ms
    return [messages.RequestGrants(state.view.term)]


def _consider(state: states.OwnerState, now_ms: int, why: str) -> Out:
    outs: Out = []
    if state.suspected_since_ms is None:
        state.suspected_since_ms = now_ms
        outs.append(messages.RecordDecision('suspects its primary', why))
    agreed, grounds = _agreed(state, now_ms)
    hold_ms = STAGGER_MS * _rank(state)
    ready = now_ms >= max(
        state.retry_promotion_ms, state.suspected_since_ms + hold_ms
    )
    if not agreed or not ready or _peer_is_ahead(state, now_ms):
        return outs
    return outs + _begin(state, now_ms, f'{why}; {grounds}')


def _peer_is_ahead(state: states.OwnerState, now_ms: int) -> bool:
    """Say whether another owner promotes, or has, under a newer term.

    Without this two owners promote one right after the other, and what the
    first primary took in is cancelled. Whoever is ahead may be gone, so it
    is waited for only as long as a promotion and a look at it take.
    """
    ahead = state.peer_term > state.view.term
    return ahead and now_ms - state.peer_term_since_ms < PEER_PROMOTION_WAIT_MS


def _rank(state: states.OwnerState) -> int:
    if state.name in state.owners:
        return state.owners.index(state.name)
    return len(state.owners)


def _agreed(state: states.OwnerState, now_ms: int) -> tuple[bool, str]:
    """Say whether another owner agrees, or none is there to ask."""
    others = [name for name in state.owners if name != state.name]
    if not others:
        return True, 'no other owner is alive'
    words = {
        name: term
        for name, (term, at_ms) in state.peer_suspects.items()
        if name in others and now_ms - at_ms <= PEER_WORD_MS
    }
    for name, term in words.items():
        if term >= state.view.term:
            return True, f'{name} agrees'
    if words:
        return False, 'the other owners do not agree'
    if now_ms - state.suspected_since_ms >= ALONE_AFTER_MS:
        return True, 'no other owner answers'
    return False, 'no other owner has answered yet'


def _begin(state: states.OwnerState, now_ms: int, why: str) -> Out:
    usable = [term for term in state.grants if term > state.view.term]
    if not usable:
        state.counters['promotion_without_grant'] += 1
        return []
    term = min(usable)
    # Used up whatever comes of it: a term serves one attempt.
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
    """Take in the reply to a fence."""
    outs = observations.update_view(state, now_ms, message.status)
    if state.attempt is None:
        return outs
    outs += promotion.note_fenced(state.attempt, now_ms, message)
    return outs + _conclude(state, now_ms)


def handle_lead_reply(
    state: states.OwnerState, now_ms: int, message: messages.LeadReply
) -> Out:
    """Take in the reply of the upstream that was told to lead."""
    outs = observations.update_view(state, now_ms, message.status)
    if state.attempt is None:
        return outs
    promotion.note_lead_reply(state.attempt, message)
    return outs + _conclude(state, now_ms)


def _drive(state: states.OwnerState, now_ms: int) -> Out:
    outs: Out = list(promotion.resend(state.attempt, now_ms))
    promotion.expire(state.attempt, now_ms)
    return outs + _conclude(state, now_ms)


def _conclude(state: states.OwnerState, now_ms: int) -> Out:
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
    """Move the lead off a primary that is leaving, without cutting writes."""
    leaving = state.view.primary in state.leaving_upstreams
    if not leaving or _rank(state) != 0:
        state.handing_over_since_ms = None
        return []
    if state.handing_over_since_ms is None:
        state.handing_over_since_ms = now_ms
    waited_ms = now_ms - state.handing_over_since_ms
    in_flight = state.in_flight.get(state.view.primary, 0)
    quiet = not in_flight and not state.transactions and _caught_up(state)
    if not quiet and waited_ms < HAND_OVER_MS:
        return []
    if now_ms < state.retry_promotion_ms:
        return []
    return _begin(state, now_ms, f'{state.view.primary} is leaving')


def _caught_up(state: states.OwnerState) -> bool:
    primary = state.view.upstreams[state.view.primary]
    return any(
        seen.place >= primary.place
        for seen in state.view.upstreams.values()
        if seen.name != state.view.primary
        and seen.name not in state.leaving_upstreams
    )
