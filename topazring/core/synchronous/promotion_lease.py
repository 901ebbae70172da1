"""Gain and lose the promotion lease, and fence off earlier orders."""

from topazring.core.synchronous import confirmations
from topazring.core.synchronous import messages
from topazring.core.synchronous import outstanding_orders
from topazring.core.synchronous import outstanding_resumes
from topazring.core.synchronous import proofs
from topazring.core.synchronous import sent_orders
from topazring.core.synchronous import state as states

__all__ = [
    'FENCE_WHY',
    'VERIFY_WHY',
    'WITHOUT_EFFECT',
    'fence_earlier_orders',
    'handle_fence_result',
    'handle_lease_change',
    'handle_lease_verified',
    'is_another_promoting',
    'may_resume',
    'surely_held_recently',
    'verify',
    'VERIFIED_FOR_MS',
]

# A leadership check is answered within a few ms and a promotion takes at least
# 300 ms, so an upstream with a leadership proof of this age still leads.
PROOF_MAX_AGE_MS = 200
# How long a member's report that it is paused remains valid; a promotion takes
# at least 300 ms.
PAUSE_REPORT_MAX_AGE_MS = 300
# Longer than an order takes. A proxy that gains the lease after it was sent
# has hardly ordered another upstream by then.
RESUME_AFTER_ORDER_MS = 500
# For how long a lease that was verified is held at least. An attempt that
# orders nobody ends before that, so that it can resume what it has paused.
VERIFIED_FOR_MS = 1000
# Time for what is sent to arrive.
RESUME_MARGIN_MS = 100
# The store answers within a few ms, or is away for a while.
VERIFY_INTERVAL_MS = 250
# Why an order is sent that changes nothing.
FENCE_WHY = 'fence earlier orders'
VERIFY_WHY = 'verify the lease'
WITHOUT_EFFECT = (FENCE_WHY, VERIFY_WHY)


def handle_lease_change(
    state: states.GroupState, now_ms: int, message: messages.PromotionLeaseSeen
) -> list:
    """Record whether this proxy holds the promotion lease, and its tokens.

    A previous holder that died may have left replicas paused, so the new
    holder resumes those that report it. One that is not paused is sent no
    resume: it might arrive after the next holder has paused the member. A
    higher block of tokens shows that another proxy may have held the lease
    since the last grant.
    """
    is_gained = message.holds and (
        not state.holds_promotion_lease or message.token > state.granted_token
    )
    state.holds_promotion_lease = message.holds
    if is_gained or not message.holds:
        state.member_record.ordered = None
        _drop_attempt(state, now_ms)
    if message.holds:
        state.token = max(state.token, message.token)
    if is_gained:
        if message.token > state.granted_token:
            outstanding_orders.note_earlier(state, now_ms, message)
            outstanding_resumes.note_earlier(state, now_ms, message)
        state.granted_token = message.token
        state.lease_gained_ms = now_ms
        state.fence_token = 0
        state.verification_sent_ms = states.NEVER_MS
        others = state.upstreams.keys() - {state.primary}
        state.paused = set()
        state.may_be_paused = dict.fromkeys(others, now_ms)
        state.departed_members.forget_pauses()
        state.needs_fencing = True
        state.is_fence_accepted = False
        primary = state.upstreams.get(state.primary)
        if primary is not None:
            # Its term may be newer than any seen here.
            primary.has_pending_claim = True
    return []


def _drop_attempt(state: states.GroupState, now_ms: int) -> None:
    """Drop the attempt; the upstream that it ordered may lead before long."""
    attempt, state.promotion = state.promotion, None
    if attempt is not None and attempt.chosen not in ('', state.primary):
        confirmations.note_term_ended(state, now_ms, attempt.ordered_term - 1)


def is_another_promoting(state: states.GroupState, now_ms: int) -> bool:
    """Return whether a member is paused, but not by this proxy.

    Only the lease holder pauses members. A holder that is cut off from the
    platform's store, with peers that have no newer information, has no other
    way to detect that it was replaced; the symptom would be an order with a
    lower token than that of the new holder. Members that a previous holder
    left paused count as paused by the new holder until it resumes them.
    """
    return any(
        upstream.held_term > state.term
        and now_ms - upstream.answered_status_sent_ms
        <= PAUSE_REPORT_MAX_AGE_MS
        and upstream.name not in state.paused | state.may_be_paused.keys()
        for upstream in state.upstreams.values()
    )


def may_resume(state: states.GroupState) -> bool:
    """Return whether no promotion depends on members that are paused.

    A primary that leads by its own entry alone may not reach a member, which
    would then follow the replaced primary again. An earlier order may still be
    carried out, or its upstream may lead unseen. Its choice is safe only while
    the members that were paused for it remain paused.
    """
    return (
        bool(state.primary)
        and state.proven_primary == state.primary
        and not state.needs_fencing
        and not state.successor_gone
    )


def surely_held_recently(state: states.GroupState, now_ms: int) -> bool:
    """Return whether this proxy has just been shown to hold the lease.

    A holder that is cut off from the platform's store does not know that it
    was replaced. If it resumed members that its successor has paused, they
    would confirm writes that the ordered upstream lacks.
    """
    since_order_ms = now_ms - state.order_accepted_sent_ms
    since_check_ms = now_ms - state.lease_verified_ms
    return (
        since_order_ms <= RESUME_AFTER_ORDER_MS
        or since_check_ms <= VERIFIED_FOR_MS - RESUME_MARGIN_MS
    )


def fence_earlier_orders(state: states.GroupState, now_ms: int) -> list:
    """Fence off the orders of earlier lease holders.

    An unanswered order may be carried out seconds later, when the primary
    that it was to replace has returned and acknowledged more writes. To
    prevent that, order the promotion of the current primary: this changes
    nothing, but carries a higher token. The order is sent only on proof that
    no other upstream leads, and as soon as that proof arrives. Based on an
    old proof, it would reinstate a replaced primary without the writes that
    its successor acknowledged.

    The same order shows that this proxy still holds the lease and that the
    platform takes orders. Both are needed before it resumes paused members
    and before it replaces a primary that works.

    A platform that checks no tokens is sent no such order: it would fence
    nothing off, and could itself be carried out late. Earlier orders are
    waited for instead, and the lease is verified without an order.
    """
    if not state.holds_promotion_lease or state.promotion is not None:
        return []
    if state.fence_token:
        return []
    if state.needs_fencing and state.is_fence_accepted:
        return _wait_for_effects(state, now_ms)
    is_relief_due = now_ms < state.relief_until_ms
    is_to_verify = _must_resume(state) or is_relief_due
    is_shown = surely_held_recently(state, now_ms)
    if not state.needs_fencing and (is_shown or not is_to_verify):
        return []
    if now_ms - proofs.proven_until_ms(state) > PROOF_MAX_AGE_MS:
        return []
    primary = state.upstreams[state.primary]
    if now_ms - primary.begin_accepted_sent_ms > PROOF_MAX_AGE_MS:
        return []
    if not state.limits.checks_tokens:
        return _wait_for_earlier_orders(state, now_ms)
    state.token += 1
    state.fence_token = state.token
    state.fence_sent_ms = now_ms
    why = FENCE_WHY if state.needs_fencing else VERIFY_WHY
    return [
        sent_orders.send(
            state, now_ms, state.primary, state.token, why, is_fence=True
        )
    ]


def _must_resume(state: states.GroupState) -> bool:
    """Return whether a member may be paused for an attempt that ended."""
    return bool(state.paused - {state.primary})


def _wait_for_effects(state: states.GroupState, now_ms: int) -> list:
    """Wait until no order that was accepted before the fence has effect."""
    if _has_found_pause(state):
        # An earlier holder may have ordered without the store.
        outstanding_orders.note_unknown(state, state.lease_gained_ms)
    if not outstanding_orders.may_replace(state, now_ms, state.primary):
        state.needs_fencing = False
    return []


def _has_found_pause(state: states.GroupState) -> bool:
    """Return whether an earlier holder has paused a member for an attempt."""
    return any(
        upstream.held_term > state.term and upstream.name not in state.paused
        for upstream in states.other_members(state)
    )


def _wait_for_earlier_orders(state: states.GroupState, now_ms: int) -> list:
    """Verify the lease once no order would replace the proven primary."""
    if outstanding_orders.may_replace(state, now_ms, state.primary):
        return []
    state.needs_fencing = False
    if not _must_resume(state) or surely_held_recently(state, now_ms):
        return []
    return verify(state, now_ms)


def verify(state: states.GroupState, now_ms: int) -> list:
    """Verify that the lease is held, but not too often."""
    if now_ms - state.verification_sent_ms < VERIFY_INTERVAL_MS:
        return []
    state.verification_sent_ms = now_ms
    return [messages.VerifyLease()]


def handle_lease_verified(
    state: states.GroupState, now_ms: int, message: messages.LeaseVerified
) -> list:
    """Record that the lease was held when that was asked.

    If it was lost, `PromotionLeaseSeen` reports so.
    """
    if not message.holds or not state.holds_promotion_lease:
        return []
    state.lease_verified_ms = state.verification_sent_ms
    if state.promotion is not None:
        state.promotion.is_lease_shown = True
    return []


def handle_fence_result(
    state: states.GroupState, now_ms: int, message: messages.PromotionOrdered
) -> list:
    """Process the reply to a fencing order."""
    state.fence_token = 0
    if message.result is messages.OrderResult.ACCEPTED:
        outstanding_orders.note_fenced(state, now_ms)
        state.is_fence_accepted = True
        state.order_accepted_sent_ms = state.fence_sent_ms
        return _wait_for_effects(state, now_ms)
    if message.result is messages.OrderResult.REFUSED:
        state.holds_promotion_lease = False
    return []
