"""Order the successor of a primary, and take in the platform's answers.

An order goes out only on a list of upstreams that has just been read.
"""

from topazring.core.synchronous import attempts
from topazring.core.synchronous import messages
from topazring.core.synchronous import promotion_end
from topazring.core.synchronous import promotion_lease
from topazring.core.synchronous import state as states

__all__ = [
    'order_promotion',
    'handle_order_result',
    'request_list',
    'resend_order',
]


def request_list(now_ms: int, attempt: attempts.Attempt) -> list:
    """Have the list read anew while the members are paused.

    A replica that this proxy does not know yet may be the only one that holds
    an acknowledged write: others knew it and asked it.
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
    """Order a member to lead, on a list of upstreams that is young enough."""
    if not attempts.has_fresh_list(attempt, now_ms):
        return request_list(now_ms, attempt)
    attempt.chosen = chosen
    attempt.chosen_position = attempt.reports[chosen].received
    attempt.ordered_ms = now_ms
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
            'listed_for_ms': {
                name: now_ms - upstream.first_listed_ms
                for name, upstream in state.upstreams.items()
            },
            'after_ms': now_ms - attempt.began_ms,
        },
    )
    return [decided, messages.OrderPromotion(chosen, attempt.token)]


def resend_order(
    state: states.GroupState, now_ms: int, attempt: attempts.Attempt
) -> list:
    """Send the order again that got no answer: same upstream, same token.

    The chosen one may have begun again meanwhile, empty.
    """
    if attempt.accepted or attempt.is_order_pending:
        return []
    if not attempts.has_fresh_list(attempt, now_ms):
        return request_list(now_ms, attempt)
    attempt.is_order_pending = True
    return [messages.OrderPromotion(attempt.chosen, attempt.token)]


def handle_order_result(
    state: states.GroupState, now_ms: int, message: messages.PromotionOrdered
) -> list:
    """Take in the platform's answer to an order."""
    attempt = state.promotion
    if message.token == state.fence_token:
        return promotion_lease.handle_fence_result(state, message)
    if attempt is None or attempt.token != message.token:
        return []
    match message.result:
        case messages.OrderResult.ACCEPTED:
            return _accepted(state, now_ms, attempt)
        case messages.OrderResult.UNANSWERED:
            attempt.is_order_pending = False
            return resend_order(state, now_ms, attempt)
        case messages.OrderResult.REFUSED:
            # Until the platform's service confirms the duty again, another
            # may hold it.
            state.holds_promotion_lease = False
            return promotion_end.finish(state, now_ms, attempt, 'refused')


def _accepted(
    state: states.GroupState, now_ms: int, attempt: attempts.Attempt
) -> list:
    attempt.accepted = True
    # This order's token outdoes all earlier ones as well.
    state.needs_fencing = False
    old = state.upstreams.get(attempt.old_primary)
    if state.primary == attempt.old_primary:
        state.primary = ''
        state.primary_lost_ms = now_ms
    if old is not None:
        old.refuted_ms = now_ms
    return []
