"""End an attempt to replace a primary."""

from topazring.core.synchronous import attempts
from topazring.core.synchronous import messages
from topazring.core.synchronous import promotion_commands
from topazring.core.synchronous import state as states

__all__ = ['finish']

# Pause before the next attempt after one that was broken off.
RETRY_DELAY_MS = 300
# After these the next attempt begins at once.
IMMEDIATE_RETRY = frozenset({'succeeded', 'overtaken', 'lost meanwhile'})


def finish(
    state: states.GroupState, now_ms: int, attempt: attempts.Attempt, how: str
) -> list:
    """End an attempt; resume who was paused."""
    state.promotion = None
    state.next_promotion_ms = now_ms
    if attempt.is_query_only:
        state.replication_checked_ms = now_ms
    if how not in IMMEDIATE_RETRY:
        state.next_promotion_ms += RETRY_DELAY_MS
    state.counters['promotion_' + how.replace(' ', '_')] += 1
    decided = messages.LogDecision(
        'promotion ended',
        inputs={
            'how': how,
            'old': attempt.old_primary,
            'chosen': attempt.chosen,
            'acknowledged': str(state.acknowledged),
            'primary': state.primary,
            'took_ms': now_ms - attempt.began_ms,
        },
    )
    outs: list = [decided, *promotion_commands.resume_paused(state, now_ms)]
    if how != 'nobody may follow':
        return outs
    # On the wrong side of a partition: another may reach them.
    if not _heard_any(attempt):
        outs.append(messages.YieldPromotionLease('no replica can be reached'))
    elif attempt.list_read_ms is None and not attempt.is_query_only:
        outs.append(messages.YieldPromotionLease('the list cannot be read'))
    return outs


def _heard_any(attempt: attempts.Attempt) -> bool:
    """Say whether any member but the old primary answered."""
    return any(name != attempt.old_primary for name in attempt.reports)
