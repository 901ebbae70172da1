"""Order the promotion of a new primary, and process the platform's replies.

An order is sent only if the list of upstreams was read recently.
"""

from topazring.core.synchronous import attempts
from topazring.core.synchronous import messages
from topazring.core.synchronous import outstanding_orders
from topazring.core.synchronous import outstanding_resumes
from topazring.core.synchronous import promotion_end
from topazring.core.synchronous import promotion_lease
from topazring.core.synchronous import sent_orders
from topazring.core.synchronous import state as states

__all__ = [
    'handle_order_result',
    'order_promotion',
    'request_list',
    'resend_order',
]


def request_list(now_ms: int, attempt: attempts.Attempt) -> list:
    """Request the list of upstreams again while members are paused.

    A replica that this proxy has not seen yet may be the only one that holds
    an acknowledged write, because other proxies saw it and queried it.
    """
    if attempt.is_query_only or attempt.is_reading_list:
        return []
    if attempts.has_fresh_list(attempt, now_ms):
        return []
    attempt.is_reading_list = True
    return [messages.ReadUpstreamList(attempt.token)]


def order_promotion(
    state: states.GroupState,
    now_ms: int,
    attempt: attempts.Attempt,
    chosen: str,
) -> list:
    """Order a member's promotion if the list of upstreams is recent enough.

    Otherwise request the list first. While an order for another member may be
    carried out, nothing is ordered.
    """
    if outstanding_orders.blocks(state, now_ms, chosen):
        return _wait_for_earlier_order(state, now_ms, attempt, chosen)
    if not attempts.has_fresh_list(attempt, now_ms):
        return request_list(now_ms, attempt)
    attempt.chosen = chosen
    attempt.chosen_position = attempt.reports[chosen].received
    doubtful = outstanding_resumes.doubtful_members(state, now_ms)
    attempt.is_choice_receiving = (
        chosen in doubtful or chosen == attempt.successor
    )
    attempt.ordered_ms = now_ms
    attempt.ordered_term = attempt.term
    attempt.is_order_pending = True
    decided = messages.LogDecision(
        'promotion ordered',
        inputs={
            'old': attempt.old_primary,
            'chosen': chosen,
            'token': attempt.token,
            'places': {
                name: str(report.received)
                for name, report in attempt.reports.items()
            },
            'reported_ms_ago': {
                name: now_ms - reported_ms
                for name, reported_ms in attempt.reported_ms.items()
            },
            'list_read_ms_ago': now_ms - attempt.list_read_ms,
            'woke_ms_ago': now_ms - state.resumed_ms,
            'listed_for_ms': {
                name: now_ms - upstream.first_listed_ms
                for name, upstream in state.upstreams.items()
            },
            'departed': state.departed_members.describe(now_ms),
            'acknowledged': str(state.acknowledged),
            'may_be_resumed': sorted(doubtful),
            'after_ms': now_ms - attempt.began_ms,
        },
    )
    order = sent_orders.send(state, now_ms, chosen, attempt.token, attempt.why)
    if attempt.successor:
        return [decided, order]
    return [decided, messages.FenceUnfencedOwners(attempt.term), order]


def _wait_for_earlier_order(
    state: states.GroupState,
    now_ms: int,
    attempt: attempts.Attempt,
    chosen: str,
) -> list:
    if attempt.is_wait_logged:
        return []
    attempt.is_wait_logged = True
    state.counters['promotion_waits_for_order'] += 1
    inputs = {
        'chosen': chosen,
        'outstanding': outstanding_orders.describe(state, now_ms),
    }
    return [
        messages.LogDecision('promotion waits for an order', inputs=inputs)
    ]


def resend_order(
    state: states.GroupState, now_ms: int, attempt: attempts.Attempt
) -> list:
    """Send an unanswered order again, with the same upstream and token.

    This needs a recent list, because the chosen upstream may have been
    recreated empty in the meantime.
    """
    if attempt.accepted or attempt.is_order_pending:
        return []
    if not attempts.has_fresh_list(attempt, now_ms):
        return request_list(now_ms, attempt)
    attempt.is_order_pending = True
    return [
        sent_orders.send(
            state, now_ms, attempt.chosen, attempt.token, attempt.why
        )
    ]


def handle_order_result(
    state: states.GroupState, now_ms: int, message: messages.PromotionOrdered
) -> list:
    """Process the platform's reply to an order."""
    attempt = state.promotion
    sent_orders.note_result(state, now_ms, message)
    if message.token == state.fence_token:
        return promotion_lease.handle_fence_result(state, now_ms, message)
    if attempt is None or attempt.token != message.token:
        return []
    match message.result:
        case messages.OrderResult.ACCEPTED:
            return _record_accepted(state, now_ms, attempt)
        case messages.OrderResult.UNANSWERED:
            attempt.is_order_pending = False
            return resend_order(state, now_ms, attempt)
        case messages.OrderResult.WITHHELD:
            return _handle_withheld(state, now_ms, attempt)
        case messages.OrderResult.REFUSED:
            # Another proxy may hold the promotion lease until the platform's
            # service confirms it again.
            state.holds_promotion_lease = False
            return promotion_end.finish(state, now_ms, attempt, 'refused')


def _handle_withheld(
    state: states.GroupState, now_ms: int, attempt: attempts.Attempt
) -> list:
    """Choose again unless a copy of the order was sent before.

    What the choice rests on may be outdated by now.
    """
    attempt.is_order_pending = False
    if not outstanding_orders.is_outstanding(state, now_ms, attempt.chosen):
        attempt.chosen = ''
        attempt.is_withheld = True
    return []


def _record_accepted(
    state: states.GroupState, now_ms: int, attempt: attempts.Attempt
) -> list:
    attempt.accepted = True
    # This order's token also fences off all earlier orders.
    state.needs_fencing = False
    state.order_accepted_sent_ms = attempt.ordered_ms
    old_primary = state.upstreams.get(attempt.old_primary)
    if state.primary == attempt.old_primary:
        state.primary = ''
        state.primary_lost_ms = now_ms
    if old_primary is not None:
        old_primary.refuted_ms = now_ms
    return []
