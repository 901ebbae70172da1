"""Record the promotion orders that this proxy has sent.

An order without an answer may be carried out seconds later. The record names
the order when an upstream leads that this proxy no longer wants to lead.
"""

import dataclasses

from topazring.core.synchronous import messages
from topazring.core.synchronous import outstanding_orders
from topazring.core.synchronous import state as states

__all__ = ['SentOrder', 'log_earlier_order', 'note_result', 'send']

# Orders that are kept for the log.
MAX_SENT_ORDERS = 32
_WITHOUT_ANSWER = (None, messages.OrderResult.UNANSWERED)


@dataclasses.dataclass(slots=True)
class SentOrder:
    """Hold one order, and the platform's answer once there is one."""

    upstream: str
    token: int
    why: str
    sent_ms: int
    # It only fences earlier orders, and promotes nobody.
    is_fence: bool = False
    result: messages.OrderResult | None = None


def send(
    state: states.GroupState,
    now_ms: int,
    upstream: str,
    token: int,
    why: str,
    is_fence: bool = False,
) -> messages.OrderPromotion:
    """Record an order and return the message that sends it."""
    order = SentOrder(upstream, token, why, now_ms, is_fence)
    state.sent_orders.append(order)
    while len(state.sent_orders) > MAX_SENT_ORDERS:
        state.sent_orders.popleft()
    if not is_fence:
        outstanding_orders.note_sent(state, upstream)
    state.counters['orders_sent'] += 1
    return messages.OrderPromotion(upstream, token, why)


def note_result(
    state: states.GroupState, now_ms: int, message: messages.PromotionOrdered
) -> None:
    """Record the answer to the oldest order that it can belong to."""
    state.counters[f'orders_{message.result}'] += 1
    unanswered = [
        order
        for order in state.sent_orders
        if (order.upstream, order.token) == (message.upstream, message.token)
        and order.result is None
    ]
    if unanswered:
        unanswered[0].result = message.result
    if not any(order.is_fence for order in unanswered):
        outstanding_orders.note_result(state, now_ms, message)


def log_earlier_order(
    state: states.GroupState, now_ms: int, upstream: str
) -> list:
    """Log that an upstream leads that this proxy ordered earlier, if it did.

    That is expected only of the upstream that an attempt now waits for. Of
    several orders the first one without an answer is named.
    """
    attempt = state.promotion
    if attempt is not None and attempt.chosen == upstream:
        return []
    earlier = [o for o in state.sent_orders if o.upstream == upstream]
    if not earlier:
        return []
    state.counters['earlier_orders_carried_out'] += 1
    unanswered = [o for o in earlier if o.result in _WITHOUT_ANSWER]
    order = unanswered[0] if unanswered else earlier[-1]
    inputs = {
        'upstream': upstream,
        'token': order.token,
        'why': order.why,
        'sent_ms_ago': now_ms - order.sent_ms,
        'copies': len(earlier),
        'unanswered': len(unanswered),
    }
    return [messages.LogDecision('leads by an earlier order', inputs=inputs)]
