"""Gain and lose the duty to promote, and outdo earlier holders' orders."""

from topazring.core.synchronous import messages
from topazring.core.synchronous import proofs
from topazring.core.synchronous import state as states

__all__ = [
    'is_another_promoting',
    'handle_lease_change',
    'fence_earlier_orders',
    'handle_fence_result',
]

# A guard is answered within a few ms; a promotion takes 300 at least. So who
# proved to lead so long ago leads still.
PROOF_MAX_AGE_MS = 200
# What a member said of its pause counts for so long; a promotion takes 300 ms
# at least.
PAUSE_REPORT_MAX_AGE_MS = 300


def handle_lease_change(
    state: states.GroupState, now_ms: int, message: messages.PromotionLeaseSeen
) -> list:
    """Take in whether this proxy may promote, and from which token on.

    A holder that died may have left replicas paused; its successor resumes
    all that do not lead.
    """
    gained = message.holds and not state.holds_promotion_lease
    state.holds_promotion_lease = message.holds
    if message.holds:
        state.token = max(state.token, message.token)
    else:
        state.promotion = None
    if gained:
        state.fence_token = 0
        state.paused = set(state.upstreams) - {state.primary}
        state.needs_fencing = True
    return []


def is_another_promoting(state: states.GroupState, now_ms: int) -> bool:
    """Say whether a member is paused, and not by this proxy.

    Only the holder of the duty pauses. One that is cut off from the
    platform's store, with peers that know no more, would not hear otherwise
    that it was overtaken; one would notice by an order with a lower token
    than its successor's. What a holder before left paused counts as paused
    by the one that gained the duty, until that has resumed it.
    """
    return any(
        upstream.held_term > state.term
        and now_ms - upstream.answered_status_sent_ms
        <= PAUSE_REPORT_MAX_AGE_MS
        and upstream.name not in state.paused
        for upstream in state.upstreams.values()
    )


def fence_earlier_orders(state: states.GroupState, now_ms: int) -> list:
    """Make orders of earlier holders harmless.

    One that got no answer may be carried out seconds later, when the primary
    that it was to replace is back and has acknowledged more. An order for
    the primary itself changes nothing, and its token is higher. It is given
    only on proof that nobody else leads, the moment that proof arrives: by
    an old proof it would bring a replaced primary back, without what its
    successor acknowledged.
    """
    wanted = (
        state.holds_promotion_lease
        and state.needs_fencing
        and state.promotion is None
    )
    if not wanted or state.fence_token:
        return []
    if now_ms - proofs.proven_until_ms(state) > PROOF_MAX_AGE_MS:
        return []
    primary = state.upstreams[state.primary]
    if now_ms - primary.begin_accepted_sent_ms > PROOF_MAX_AGE_MS:
        return []
    state.token += 1
    state.fence_token = state.token
    return [messages.OrderPromotion(state.primary, state.token)]


def handle_fence_result(
    state: states.GroupState, message: messages.PromotionOrdered
) -> list:
    """Take in the answer to an order that was to fence."""
    state.fence_token = 0
    if message.result is messages.OrderResult.ACCEPTED:
        state.needs_fencing = False
    elif message.result is messages.OrderResult.REFUSED:
        state.holds_promotion_lease = False
    return []
