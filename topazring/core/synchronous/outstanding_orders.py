"""Track the promotion orders that the platform may still carry out.

An order without an answer may be carried out seconds later, when its upstream
has been replaced. A platform that checks tokens refuses it once it has seen a
higher one. Elsewhere no later call takes an order back, so while one may be
carried out, no other upstream is ordered and the members that were paused for
it remain paused: its upstream then holds every acknowledged write.
"""

import dataclasses

from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states

__all__ = [
    'blocks',
    'describe',
    'expire',
    'give_up_in_flight',
    'is_outstanding',
    'note_earlier',
    'note_ended',
    'note_leads',
    'note_listed',
    'note_result',
    'note_sent',
]

OrderResult = messages.OrderResult


@dataclasses.dataclass(slots=True)
class Outstanding:
    """Hold until when the orders for one upstream may be carried out."""

    # Orders that were sent and have not been answered or given up.
    in_flight: int = 0
    unanswered_until_ms: int = states.NEVER_MS
    # After an accepted order, unless the upstream is seen to lead before.
    accepted_until_ms: int = states.NEVER_MS
    # The upstream has ended, and cannot be promoted.
    has_ended: bool = False


def note_sent(state: states.GroupState, upstream: str) -> None:
    """Record that an order is about to be sent."""
    if state.limits.checks_tokens:
        return
    _outstanding(state, upstream).in_flight += 1
    state.recorded_orders |= {upstream}


def note_result(
    state: states.GroupState, now_ms: int, message: messages.PromotionOrdered
) -> None:
    """Record the answer to an order, or that there is none."""
    if state.limits.checks_tokens:
        return
    order = _outstanding(state, message.upstream)
    order.in_flight = max(0, order.in_flight - 1)
    until_ms = now_ms + state.limits.late_order_ms
    if message.result is OrderResult.UNANSWERED:
        order.unanswered_until_ms = until_ms
    elif message.result is OrderResult.ACCEPTED:
        leads = state.promotion is None and state.primary == message.upstream
        order.accepted_until_ms = states.NEVER_MS if leads else until_ms


def note_earlier(
    state: states.GroupState, now_ms: int, message: messages.PromotionLeaseSeen
) -> None:
    """Record the orders that an earlier lease holder may have sent."""
    if state.limits.checks_tokens:
        return
    until_ms = now_ms + state.limits.late_order_ms
    for upstream in message.ordered:
        _outstanding(state, upstream).unanswered_until_ms = until_ms
    state.recorded_orders = frozenset(message.ordered)
    if message.is_any_ordered:
        state.unknown_orders_until_ms = until_ms


def note_leads(state: states.GroupState, upstream: str) -> None:
    """Record that an upstream leads because its order was carried out."""
    order = state.outstanding_orders.get(upstream)
    if order is not None:
        order.accepted_until_ms = states.NEVER_MS


def note_ended(state: states.GroupState, upstream: str) -> None:
    """Record that an upstream has ended and cannot be promoted."""
    order = state.outstanding_orders.get(upstream)
    if order is not None:
        order.has_ended = True


def note_listed(state: states.GroupState, upstream: str) -> None:
    """Record that an upstream runs, perhaps a later one of this name."""
    order = state.outstanding_orders.get(upstream)
    if order is not None:
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


def _outstanding(state: states.GroupState, upstream: str) -> Outstanding:
    return state.outstanding_orders.setdefault(upstream, Outstanding())
