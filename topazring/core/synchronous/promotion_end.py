"""End an attempt to replace a primary."""

from topazring.core.synchronous import acknowledgement_fence
from topazring.core.synchronous import attempts
from topazring.core.synchronous import messages
from topazring.core.synchronous import promotion_commands
from topazring.core.synchronous import state as states

__all__ = ['finish']

# Delay before the next attempt after an attempt that was aborted.
RETRY_DELAY_MS = 300
# After these results the next attempt starts immediately.
IMMEDIATE_RETRY = frozenset({'succeeded', 'overtaken', 'lost meanwhile'})


def finish(
    state: states.GroupState, now_ms: int, attempt: attempts.Attempt, how: str
) -> list:
    """End an attempt with the given result; resume paused members."""
    state.promotion = None
    if state.primary and state.primary == attempt.chosen:
        # A promotion resumes all replicas that its upstream reaches.
        state.may_be_paused |= dict.fromkeys(state.paused, now_ms)
        state.paused.clear()
    if attempt.chosen and attempt.chosen != state.primary:
        # An order that was sent may still be carried out, even if accepted.
        state.needs_fencing = True
        state.is_fence_accepted = False
        acknowledgement_fence.fence_own(state, now_ms)
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
            'chosen_place': str(attempt.chosen_position),
            'acknowledged': str(state.acknowledged),
            'silent': sorted(
                set(attempts.required_members(state, attempt))
                - attempt.reports.keys()
            ),
            'places': {
                name: str(report.received)
                for name, report in attempt.reports.items()
            },
            'departed': state.departed_members.describe(now_ms),
            'missing': sorted(
                name for name, _ in state.member_record.unlisted.known
            ),
            'primary': state.primary,
            'took_ms': now_ms - attempt.began_ms,
        },
    )
    outs: list = [decided, *promotion_commands.resume_paused(state, now_ms)]
    if how != 'nobody may follow':
        return outs
    # This proxy may be on the wrong side of a partition, and another proxy
    # may reach the replicas.
    if not _has_any_report(attempt):
        outs.append(messages.YieldPromotionLease('no replica can be reached'))
    elif attempt.list_read_ms is None and not attempt.is_query_only:
        outs.append(messages.YieldPromotionLease('the list cannot be read'))
    return outs


def _has_any_report(attempt: attempts.Attempt) -> bool:
    """Return whether any member other than the old primary reported."""
    return any(name != attempt.old_primary for name in attempt.reports)
