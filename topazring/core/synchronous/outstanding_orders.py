"""Track the promotion orders that the platform may still carry out.

An order without an answer may be carried out seconds later, when its upstream
has been replaced. A platform that checks tokens does not accept it once it has
seen a higher one. But what it has accepted takes effect, whatever is called
later, so while an order may take effect, no other upstream is ordered and the
members that were paused for it remain paused: its upstream then holds every
acknowledged write.

Where tokens are checked, an order of this proxy without an answer does not
keep it from ordering another upstream, as that order fences the earlier one.
"""

import dataclasses

from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states

__all__ = [
    'EFFECT_TIMEOUT_MS',
    'blocks',
    'describe',
    'expire',
    'give_up_in_flight',
    'is_outstanding',
    'may_replace',
    'note_earlier',
    'note_ended',
    'note_fenced',
    'note_leads',
    'note_listed',
    'note_recreated',
    'note_result',
    'note_sent',
    'note_unknown',
]

OrderResult = messages.OrderResult

# A promotion takes some hundred ms from the call that the platform accepts. If
# its upstream does not lead after this long, it has failed.
EFFECT_TIMEOUT_MS = 3000


@dataclasses.dataclass(slots=True)
class Outstanding:
    """Hold until when the orders for one upstream may be carried out."""

    # Orders that were sent and have not been answered or given up.
    in_flight: int = 0
    unanswered_until_ms: int = states.NEVER_MS
    # After an accepted order, or one that may have been accepted, unless the
    # upstream is seen to lead before.
    accepted_until_ms: int = states.NEVER_MS
    # The upstream has ended, and cannot be promoted.
    has_ended: bool = False


def note_sent(state: states.GroupState, upstream: str) -> None:
    """Record that an order is about to be sent."""
    order = _outstanding(state, upstream)
    order.in_flight += 1
    order.has_ended = False
    state.recorded_orders |= {upstream}


def note_result(
    state: states.GroupState, now_ms: int, message: messages.PromotionOrdered
) -> None:
    """Record the answer to an order, or that there is none."""
    order = _outstanding(state, message.upstream)
    order.in_flight = max(0, order.in_flight - 1)
    if message.result is OrderResult.UNANSWERED:
        order.unanswered_until_ms = now_ms + state.limits.late_order_ms
    elif message.result is OrderResult.ACCEPTED:
        leads = state.promotion is None and state.primary == message.upstream
        until_ms = now_ms + _effect_ms(state)
        order.accepted_until_ms = states.NEVER_MS if leads else until_ms
        note_fenced(state, now_ms, message.upstream)


def note_fenced(
    state: states.GroupState, now_ms: int, upstream: str = ''
) -> None:
    """Record that the platform has accepted the newest token.

    It accepts no earlier order any more, but for the same upstream. One that
    it accepted before, without an answer that arrived, may take effect.
    """
    if not state.limits.checks_tokens:
        return
    for name, order in state.outstanding_orders.items():
        if name == upstream:
            continue
        if order.in_flight or now_ms < order.unanswered_until_ms:
            order.accepted_until_ms = now_ms + EFFECT_TIMEOUT_MS
        order.in_flight = 0
        order.unanswered_until_ms = states.NEVER_MS


def note_earlier(
    state: states.GroupState, now_ms: int, message: messages.PromotionLeaseSeen
) -> None:
    """Record the orders that an earlier lease holder may have sent."""
    for upstream in message.ordered:
        order = _outstanding(state, upstream)
        order.unanswered_until_ms = now_ms + state.limits.late_order_ms
        order.accepted_until_ms = now_ms + _effect_ms(state)
    state.recorded_orders = frozenset(message.ordered)
    if message.is_any_ordered:
        note_unknown(state, now_ms)


def note_unknown(state: states.GroupState, since_ms: int) -> None:
    """Record that orders may have been sent that nobody has a record of."""
    until_ms = since_ms + _effect_ms(state)
    state.unknown_orders_until_ms = max(
        state.unknown_orders_until_ms, until_ms
    )


def note_leads(state: states.GroupState, upstream: str) -> None:
    """Record that an upstream leads because its order was carried out.

    Where tokens are checked, copies of the order change nothing while it
    leads, and are refused once another upstream was ordered.
    """
    order = state.outstanding_orders.get(upstream)
    if order is None:
        return
    order.accepted_until_ms = states.NEVER_MS
    if state.limits.checks_tokens:
        order.in_flight = 0
        order.unanswered_until_ms = states.NEVER_MS


def note_ended(state: states.GroupState, upstream: str) -> None:
    """Record that an upstream has ended and cannot be promoted."""
    order = state.outstanding_orders.get(upstream)
    if order is not None:
        order.has_ended = True


def note_recreated(state: states.GroupState, upstream: str) -> None:
    """Record that an upstream was recreated after it may have been ordered.

    Where tokens are checked, another one is ordered at once: it leads after
    the empty one, if that is promoted at all.
    """
    if state.limits.checks_tokens:
        note_ended(state, upstream)


def note_listed(state: states.GroupState, upstream: str) -> None:
    """Record that an upstream runs, perhaps a later one of this name."""
    order = state.outstanding_orders.get(upstream)
    if order is not None and not state.limits.checks_tokens:
        order.has_ended = False


def give_up_in_flight(state: states.GroupState) -> None:
    """Count the orders in flight as unanswered; some may not have been sent.

    The answers that still arrive are counted as usual.
    """
    until_ms = state.stepped_ms + state.limits.late_order_ms
    for order in state.outstanding_orders.values():
        if order.in_flight:
            order.in_flight = 0
            order.unanswered_until_ms = until_ms


def expire(state: states.GroupState, now_ms: int) -> list:
    """Drop the orders that are settled; report a change to the record.

    An attempt may order the same upstream again.
    """
    if not state.holds_promotion_lease or state.promotion is not None:
        return []
    left = {
        name: order
        for name, order in state.outstanding_orders.items()
        if _may_be_carried_out(order, now_ms)
    }
    state.outstanding_orders = left
    if left.keys() == state.recorded_orders:
        return []
    state.recorded_orders = frozenset(left)
    return [messages.OrdersOutstanding(state.recorded_orders)]


def is_outstanding(
    state: states.GroupState, now_ms: int, upstream: str
) -> bool:
    """Return whether an order for an upstream may still be carried out."""
    order = state.outstanding_orders.get(upstream)
    return order is not None and _may_be_carried_out(order, now_ms)


def blocks(state: states.GroupState, now_ms: int, upstream: str) -> bool:
    """Return whether no order for an upstream may be sent yet.

    An order for another one may be carried out after it or, where tokens are
    checked, may have been accepted before.
    """
    if state.limits.checks_tokens:
        return any(
            name != upstream and _may_be_accepted(order, now_ms)
            for name, order in state.outstanding_orders.items()
        )
    return may_replace(state, now_ms, upstream)


def may_replace(state: states.GroupState, now_ms: int, upstream: str) -> bool:
    """Return whether an order for any other upstream may be carried out."""
    if now_ms < state.unknown_orders_until_ms:
        return True
    return any(
        name != upstream and _may_be_carried_out(order, now_ms)
        for name, order in state.outstanding_orders.items()
    )


def describe(state: states.GroupState, now_ms: int) -> dict[str, int]:
    """Return for how long orders may still be carried out, by upstream.

    An empty name stands for orders that nobody has a record of.
    """
    until_ms = {
        name: max(
            order.unanswered_until_ms,
            order.accepted_until_ms,
            now_ms + state.limits.late_order_ms if order.in_flight else 0,
        )
        for name, order in state.outstanding_orders.items()
    }
    until_ms[''] = state.unknown_orders_until_ms
    return {
        name: until - now_ms
        for name, until in until_ms.items()
        if until > now_ms
    }


def _may_be_carried_out(order: Outstanding, now_ms: int) -> bool:
    if order.in_flight:
        return True
    until_ms = max(order.unanswered_until_ms, order.accepted_until_ms)
    return now_ms < until_ms and not order.has_ended


def _may_be_accepted(order: Outstanding, now_ms: int) -> bool:
    """Return whether the platform may have accepted an order."""
    return now_ms < order.accepted_until_ms and not order.has_ended


def _effect_ms(state: states.GroupState) -> int:
    """Return how long an accepted order may take to have effect."""
    if state.limits.checks_tokens:
        return EFFECT_TIMEOUT_MS
    return state.limits.late_order_ms


def _outstanding(state: states.GroupState, upstream: str) -> Outstanding:
    return state.outstanding_orders.setdefault(upstream, Outstanding())
